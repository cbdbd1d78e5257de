#pragma once

#include "confirmation/confirmer.h"
#include "databasemodel/database.h"
#include "explorer/copyonwrite.h"
#include "messages/plans.h"
#include "promotion/promoter.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace fescuespring {

namespace detail {

// Ranks of a set of instants, without their distances.
class InstantRanks
{
public:
    void add(Instant instant);
    void sort();
    std::uint64_t rank(Instant instant) const;

private:
    std::vector<Instant> m_instants;
};

} // namespace detail

// A deliberate defect of the protocol, injected into the messages, that must be detected.
enum class ProtocolBreak {
    None,

    // Only one database is fenced; replies of the others are forged from their status.
    SkipFence,

    // A write is acknowledged as soon as the database answers.
    SkipEvidence,

    // Evidence requested before the answer arrived is accepted.
    StaleEvidence,

    // Promoters receive positions without their terms.
    PositionsWithoutTerms,

    // A promoter continues under a term that another promoter has claimed.
    ContinueUnderForeignTerm,

    // Random terms drawn without the store are equal.
    EqualDraws,
};

// State of the group when the exploration starts. Database 0 is the first primary, of term 1.
enum class PromotionScenario {
    // All three databases have the same log.
    Level,

    // Database 1 is the primary of term 2 and shares an acknowledged write with database 2;
    // database 0 has returned, at term 1, with a longer tail that was never acknowledged.
    ReturnedPrimary,
};

struct PromotionWorldOptions
{
    PromotionScenario scenario = PromotionScenario::Level;
    ProtocolBreak protocolBreak = ProtocolBreak::None;

    // An unplanned change may lose writes under Durability::Primary; a planned one may not.
    Durability durability = Durability::Replicated;
    PromotionKind kind = PromotionKind::Unplanned;

    // Whether an unplanned change avoids the primary because it is isolated from the databases.
    bool avoidsPrimary = false;

    // Maximum number of promotions and of writes that each of the two VMs starts.
    std::array<unsigned, 2> starts{1, 1};
    std::array<unsigned, 2> writes{1, 0};

    // Whether every answer is delivered in a step of its own. Otherwise all answers but those to
    // writes are delivered immediately: a late answer only causes late messages, which can be
    // delayed themselves. This does not cover answers that overtake each other.
    bool delaysAnswers = false;

    // Total number of faults: VMs killed and restarted, calls to the store that are reported as
    // failed (they may take effect earlier, later or never), timers that fire.
    unsigned crashes = 0;
    unsigned storeFailures = 0;
    unsigned timers = 0;
};

// Two VMs, three databases and the store's object of the group, for the Explorer: the real
// Promoter, Confirmer and GroupView at each VM, the model's Database, and every message between
// them as a step of its own, in any order or never (answers to Follow and to the last write of the
// record are never delivered: they do not affect the invariants). A paused VM is one whose messages
// are delayed. A VM may start a change at any time, so that the invariants do not depend on how a
// loss is detected.
//
// Invariants: no two databases are primary of one term; logs that share an entry share all entries
// before it; the primary of a term has every write acknowledged under a lower term or its own; no
// write is acknowledged that was answered after another database was promoted at a higher term.
class PromotionWorld
{
public:
    explicit PromotionWorld(const PromotionWorldOptions &options);

    enum class StepKind {
        Deliver,
        FailStoreCall,
        Start,
        Write,
        Crash,
        Timer,
        Poll,
        Drained,
        Replicate,
    };

    // Index of a message, VM or database, by kind.
    struct Step
    {
        StepKind kind = StepKind::Deliver;
        std::size_t index = 0;
    };

    std::vector<Step> steps() const;
    void take(const Step &step);
    std::string describe(const Step &step) const;
    std::uint64_t fingerprint() const;
    const std::optional<std::string> &violation() const
    {
        return m_violation;
    }

    // Numbers of acknowledged writes and of changes of primary so far.
    std::size_t acknowledgedWrites() const;
    std::size_t promotions() const
    {
        return m_promotedTerms.size();
    }

private:
    enum class MessageKind {
        Status,
        Fence,
        Promote,
        Follow,
        Write,
        ReadRecord,
        WriteRecord,
    };

    // A call in flight to a database or the store, or its answer.
    struct Message
    {
        MessageKind kind = MessageKind::Status;
        bool isAnswer = false;
        std::size_t vm = 0;
        unsigned incarnation = 0;
        std::size_t database = 0;
        Instant askedAt = {};
        Term term = {};
        std::size_t primary = 0;
        std::size_t write = 0;
        std::uint64_t call = 0;
        GroupRecord record = {};
        ObjectVersion version = {};
        bool conflict = false;
        std::optional<StoredRecord> stored = {};
        DatabaseStatus status = {};
        StatementAnswer answer = {};
    };

    struct Vm
    {
        GroupView view;
        Promoter promoter;
        Confirmer confirmer;
        Instant now = {};
        unsigned incarnation = 0;
        unsigned starts = 0;
        unsigned writes = 0;
        bool isHolding = false;
    };

    enum class WriteState {
        Sent,
        Answered,
        Acknowledged,
        Unknown,
    };

    struct Write
    {
        std::size_t vm = 0;
        Term term = {};
        LogPoint point = {};
        Instant since = {};
        WriteState state = WriteState::Sent;
        bool termHeld = false;

        // A higher term had been promoted before the answer arrived.
        bool wasReplaced = false;
    };

    Vm newVm(std::size_t index) const;
    void replicateAll();
    void makeReturnedPrimary();
    void startPromotion(std::size_t vm);
    void sendWrite(std::size_t vm);
    void crash(std::size_t vm);
    void fireTimer(std::size_t vm);
    void poll(std::size_t vm);
    void replicate(std::size_t database);
    std::optional<LogBatch> batchFor(std::size_t database) const;
    void failStoreCall(std::size_t message);
    void deliver(std::size_t message);
    void answerTo(Message &message, bool delayed);
    void deliverToDatabase(Message message);
    void deliverToStore(Message message);
    void deliverToVm(const Message &message);
    void receiveStatus(Vm &vm, std::size_t index, const Message &message);
    void receiveWriteAnswer(Vm &vm, const Message &message);
    void receiveStoreAnswer(Vm &vm, std::size_t index, const Message &message);
    void afterEvent(Vm &vm, std::size_t index);
    void probeAll(const Vm &vm, std::size_t index);
    void perform(std::size_t vm, const PromotionActions &actions);
    void performStoreCall(std::size_t vm, const PromotionAction &action);
    bool isFenceSkipped(const PromotionAction &action) const;
    bool mustSurvive(const Write &write, const DatabaseStatus &primary) const;
    void check();
    bool agreeUpToSharedEntry(const Log &left, const Log &right) const;
    static std::string describe(const Message &message);
    static std::uint64_t fingerprintOf(const Database &database);
    static std::uint64_t fingerprintOf(const Vm &vm);
    static std::uint64_t fingerprintOf(const Message &message);
    static bool isDone(const Vm &vm);
    detail::InstantRanks probeTimeRanks(std::size_t vm, std::size_t database) const;
    std::uint64_t evidenceOf(std::size_t vm, Instant askedAt) const;
    std::uint64_t fingerprintOf(std::size_t vm) const;

    PromotionWorldOptions m_options;
    std::vector<CopyOnWrite<Database>> m_databases;
    std::vector<CopyOnWrite<Vm>> m_vms;
    std::vector<CopyOnWrite<Message>> m_messages;
    std::optional<StoredRecord> m_record;
    std::vector<Write> m_writes;
    std::vector<Term> m_promotedTerms;
    std::optional<std::string> m_violation;
};

} // namespace fescuespring
