#pragma once

#include "leadership/evidencerequest.h"
#include "leadership/leadershiprecord.h"
#include "leadership/promotionbounds.h"
#include "leadership/successorchoice.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fescuespring {

// A deliberate defect, as the rules were once, that the search must find.
enum class TermWorldBreak {
    None,

    // Every database that reports no later term counts as evidence, whatever it has received.
    CountEveryAnswer,

    // A successor need not have taken part in the newest term.
    IgnoreTerms,

    // The answer of a database counts however short a time it has run.
    IgnoreRestarts,
};

// The number of events of each kind that a search may use.
struct TermWorldOptions
{
    TermWorldBreak broken = TermWorldBreak::None;

    // Writes of a VM with a lease on the records, and writes and reads of one that cannot reach the
    // store and knows only the first record.
    unsigned writes = 0;
    unsigned isolatedWrites = 0;
    unsigned isolatedReads = 0;

    // Databases that the holder of the lock does not reach; crashes of databases; crashed ones that
    // are gone for good; and holders lost, at any moment.
    unsigned cuts = 0;
    unsigned crashes = 0;
    unsigned departures = 0;
    unsigned lostHolders = 0;
    unsigned changes = 2;

    // With 1, no promotion may drop an acknowledged write. Then there are to be no writes of a VM
    // with a lease, as these do not wait for a replica.
    std::uint32_t synchronousReplicas = 0;
};

// Three databases, the platform that promotes them, the leadership record, the holder of the
// promotion lock and two VMs that acknowledge writes, for the Explorer: the real SuccessorChoice
// and the real decisions of TermEvidence. A database that receives no updates is one that takes no
// Replicate step. Time is left out: a lease ends when a change is announced, and the next holder
// orders nothing while an order of an earlier one is in flight, as it waits longer than that. The
// clock only tells which restarts came long before a commit: it goes on before each round and with
// each promotion, by as much as a database must have run to count as evidence.
//
//     const ExplorationResult result = Explorer<TermWorld>({.depth = 12}).run(TermWorld(options));
//
// Invariants: a write that was committed, or a read that began, after another database had been
// promoted is not acknowledged at the old primary; no promotion discards an acknowledged write of
// the newest term by a database that took no part in it, while a database that holds it may return;
// a write that was dropped by a recorded promotion is not in force again. Where commits need a
// replica, the choice is not by terms, and instead of the last two: no promotion drops an
// acknowledged write.
class TermWorld
{
public:
    enum class StepKind {
        Write,
        IsolatedWrite,
        IsolatedRead,
        Ask,
        Replicate,
        Cut,
        Heal,
        Crash,
        Return,
        Depart,
        Announce,
        Round,
        TakeEffect,
        Record,
        LoseHolder,
    };

    // Index of a database, where the step concerns one.
    struct Step
    {
        StepKind kind = StepKind::Write;
        std::size_t index = 0;
    };

    explicit TermWorld(const TermWorldOptions &options);

    std::vector<Step> steps() const;
    void take(const Step &step);
    std::string describe(const Step &step) const;
    std::uint64_t fingerprint() const;
    const std::optional<std::string> &violation() const
    {
        return m_violation;
    }

    std::size_t acknowledgedWrites() const;
    Term platformTerm() const
    {
        return m_term;
    }

private:
    static constexpr std::size_t databaseCount = 3;

    struct Entry
    {
        Term term;
        std::size_t write = 0;

        bool operator==(const Entry &) const = default;
    };

    struct Node
    {
        Role role = Role::Replica;
        Term term{1};
        std::vector<Entry> log = {};
        Term heldTerm = {};
        bool isUp = true;
        bool isCut = false;
        bool isGone = false;
        Instant startedAt = {};
    };

    struct Write
    {
        Term term;
        bool isAcknowledged = false;

        // A recorded promotion began a term without it.
        bool isDropped = false;

        // A later term had been promoted when it was committed.
        bool wasReplaced = false;
    };

    // A write or read of the VM without a lease that waits for evidence.
    struct Pending
    {
        TermEvidence::Request request;
        std::optional<std::size_t> write = {};

        // The newest term when it began.
        Term newestTerm;
    };

    struct Order
    {
        std::size_t database = 0;

        // The database lacks the newest term, and where that began is unknown.
        bool isUnbounded = false;
        bool isInFlight = true;
    };

    bool isReachable(std::size_t database) const;
    bool canReplicate(std::size_t database) const;
    UpstreamStatus status(std::size_t database) const;
    std::size_t commit(std::size_t database);
    void beginRequest(std::size_t database, bool isWrite);
    void ask(std::size_t database);
    void replicate(std::size_t database);
    void returnDatabase(std::size_t database);
    void announce();
    void round();
    void checkPreviousPrimary();
    void awaitAcknowledgedCommits();
    detail::DatabaseAnswers pauseAll();
    bool adoptLaterTerm(const detail::SuccessorChoice &choice,
                        const detail::DatabaseAnswers &answers);
    detail::SuccessorChoice successorChoice() const;
    void takeEffect();
    void checkPromotion(const Node &chosen, const Order &order);
    void checkAcknowledgedWrites(const Node &chosen);
    void record(std::size_t database, std::optional<LogPoint> base);
    bool canRecord() const;
    bool holds(const Node &node, std::size_t write) const;

    TermWorldOptions m_options;
    std::array<Node, databaseCount> m_nodes;
    std::vector<Write> m_writes;
    std::optional<Pending> m_pending;
    Instant m_now = Instant() + pauseToEffectTime;

    // The platform's primary and term.
    std::size_t m_primary = 0;
    Term m_term{1};

    // The record, and what the present holder has found out.
    LeadershipRecord m_record;
    std::optional<LogPoint> m_previousPosition;
    std::optional<Order> m_order;
    bool m_isHolderOfOrder = false;
    std::optional<std::string> m_violation;
};

} // namespace fescuespring
