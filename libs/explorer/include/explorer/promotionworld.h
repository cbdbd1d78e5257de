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

// The order of some moments, without their distances.
class MomentRanks
{
public:
    void add(Instant moment);
    void sort();
    std::uint64_t rank(Instant moment) const;

private:
    std::vector<Instant> m_moments;
};

} // namespace detail

// A deliberate break of the protocol, put in where messages pass, to see that it is found.
enum class ProtocolBreak {
    None,

    // Only one database is fenced; the others' consent is made up from their status.
    SkipFence,

    // A write is acknowledged as soon as the database has answered.
    SkipEvidence,

    // Evidence counts that was asked for before the answer came.
    StaleEvidence,

    // Promoters see positions without their terms.
    PositionsWithoutTerms,

    // A term that another promoter holds is taken for one's own.
    ContinueUnderAnothersTerm,

    // Terms drawn without the store are equal.
    EqualDraws,
};

// How the group stands when the exploration begins. Database 0 is the primary of term 1 at first.
enum class PromotionScenario {
    // All three databases are level.
    Level,

    // Database 1 is the primary of term 2 and has an acknowledged write with database 2; database 0
    // is back, at term 1, with a longer tail that was never acknowledged.
    ReturnedPrimary,
};

struct PromotionWorldOptions
{
    PromotionScenario scenario = PromotionScenario::Level;
    ProtocolBreak protocolBreak = ProtocolBreak::None;

    // Writes under Durability::Primary may be lost by an unplanned change, and by no planned one.
    Durability durability = Durability::Replicated;
    PromotionKind kind = PromotionKind::Unplanned;

    // Whether an unplanned change passes over the primary, as one that reaches no other database.
    bool avoidsPrimary = false;

    // What each of the two VMs may do.
    std::array<unsigned, 2> starts{1, 1};
    std::array<unsigned, 2> writes{1, 0};

    // Whether every answer travels in a step of its own. Otherwise an answer is heard as soon as it
    // is given, but for that to a write: who hears late sends late, and what it sends may wait on
    // its way for as long. What is lost is answers that overtake each other.
    bool answersTravel = false;

    // Faults in all: VMs killed and started again, calls to the store that are told as failed
    // (whether they take effect, before or later, is open), timers that go off.
    unsigned crashes = 0;
    unsigned storeFailures = 0;
    unsigned timers = 0;
};

// Two VMs, three databases and the store's object of the group, for the Explorer: the real
// Promoter, Confirmer and GroupView at each VM, the model's Database, and every message between
// them a step of its own, in any order or never (answers to Follow and to the last write of the
// record are never heard: they change nothing that is checked). A VM that is paused is one whose
// messages wait. A VM may begin a change whenever it likes: what is checked must not rest on how a
// loss is found.
//
// What must hold: no two databases are primary of one term; logs that share an entry share all
// before it; the primary of a term holds every write acknowledged under a lower term or its own; no
// write is acknowledged that was answered after another had been promoted at a higher term.
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

    // Writes that were acknowledged so far, and changes of primary.
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

    // A call on its way to a database or the store, or its answer on the way back.
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
    void answerTo(Message &message, bool travels);
    void reachDatabase(Message message);
    void reachStore(Message message);
    void reachVm(const Message &message);
    void hearStatus(Vm &vm, std::size_t index, const Message &message);
    void hearWriteAnswer(Vm &vm, const Message &message);
    void hearStore(Vm &vm, std::size_t index, const Message &message);
    void afterEvent(Vm &vm, std::size_t index);
    void probeAll(const Vm &vm, std::size_t index);
    void perform(std::size_t vm, const PromotionActions &actions);
    void performStoreCall(std::size_t vm, const PromotionAction &action);
    bool isFenceSkipped(const PromotionAction &action) const;
    bool mustSurvive(const Write &write, const DatabaseStatus &primary) const;
    void check();
    bool agreeUpToSharedEntry(const Log &left, const Log &right) const;
    static std::string describe(const Message &message);
    static std::uint64_t printOf(const Database &database);
    static std::uint64_t printOf(const Vm &vm);
    static std::uint64_t printOf(const Message &message);
    static bool isDone(const Vm &vm);
    detail::MomentRanks momentsOf(std::size_t vm, std::size_t database) const;
    std::uint64_t evidenceOf(std::size_t vm, Instant askedAt) const;
    std::uint64_t printOf(std::size_t vm) const;

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
