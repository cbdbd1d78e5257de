#pragma once

#include "groupview/groupview.h"
#include "promotion/grouprecord.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fescuespring {

enum class PromotionKind {
    // The primary is gone.
    Unplanned,

    // The primary is leaving and still serves; nothing may be lost.
    Planned,
};

enum class PromotionStep {
    Idle,
    ReadingRecord,
    Claiming,
    Draining,
    CatchingUp,
    Fencing,
    Promoting,
    Recording,
};

const char *toString(PromotionStep step);

enum class PromotionActionKind {
    // Read the group's object; answer by recordRead or storeFailed.
    ReadRecord,

    // Write record if the object's version is ifVersion; answer by recordWritten, recordConflict or
    // storeFailed, the last also where the answer was lost.
    WriteRecord,

    // Keep new writes back, say drained once none is in flight; let them go again.
    HoldWrites,
    ReleaseWrites,

    // Calls to database; answer by statusReceived. Failures need not be told.
    Probe,
    Fence,
    Promote,
    Follow,
};

const char *toString(PromotionActionKind kind);

// Something the caller is to do now. Fields that the kind does not name are empty.
struct PromotionAction
{
    PromotionActionKind kind = PromotionActionKind::ReadRecord;
    DatabaseId database = {};
    Term term = {};

    // With Follow: the primary to follow.
    DatabaseId primary = {};

    // With WriteRecord.
    GroupRecord record = {};
    ObjectVersion ifVersion = {};

    // With ReadRecord and WriteRecord: to be handed back with the answer.
    std::uint64_t call = 0;
};

using PromotionActions = std::vector<PromotionAction>;

enum class PromotionEnd {
    // The group has a new primary under term.
    Promoted,

    // Another promoter has gone further; probe the group to learn of it.
    Outbid,

    // The step could not be finished in time; the group is as it was, or without a primary.
    TimedOut,
};

const char *toString(PromotionEnd end);

// How a change ended and where its time went.
struct PromotionReport
{
    PromotionKind kind = PromotionKind::Unplanned;
    PromotionEnd end = PromotionEnd::TimedOut;
    Term term = {};
    DatabaseId primary = {};

    // Whether the term was taken without the store.
    bool unaided = false;

    // From the primary's last sign of life to the verdict; to the start; until the term was taken;
    // until writes had ceased and the replica was level; until a majority was fenced; until the new
    // primary answered.
    Duration detect{0};
    Duration decide{0};
    Duration store{0};
    Duration drain{0};
    Duration fence{0};
    Duration promote{0};
};

struct PromoterOptions
{
    VmId vm = {};

    // Any 64 bits, different for each call on every VM.
    std::function<std::uint64_t()> random = {};

    // Time the store is given to hand out a term.
    Duration storeTimeout = std::chrono::milliseconds(400);

    // Whether a term may be taken without the store once storeTimeout is over.
    bool mayActUnaided = true;

    // Calls to databases are repeated after this time without an answer.
    Duration callRetry = std::chrono::milliseconds(50);

    // Time that the databases beyond the majority are given to answer a fence.
    Duration fenceGrace = std::chrono::milliseconds(10);

    Duration fenceTimeout = std::chrono::milliseconds(1500);
    Duration promoteTimeout = std::chrono::milliseconds(500);
    Duration drainTimeout = std::chrono::milliseconds(2000);
    Duration catchUpTimeout = std::chrono::milliseconds(500);

    // Time between probes while the replica comes level.
    Duration catchUpPoll = std::chrono::milliseconds(1);

    // Time that another promoter who has taken a higher term is given before it is outbid.
    Duration takeoverAfter = std::chrono::milliseconds(400);

    // Time between tries to bring a trailing record up to date.
    Duration recordRetry = std::chrono::milliseconds(500);
};

// What a change starts from.
struct PromotionRequest
{
    PromotionKind kind = PromotionKind::Unplanned;

    // With Planned: the primary that is leaving.
    DatabaseId leaving = {};

    // With Unplanned: a primary that answers but reaches no other database. It is chosen again only
    // if the others that were fenced are no majority; writes that it alone holds are dropped.
    DatabaseId avoid = {};

    // When the primary last gave a sign of life and when it was found lost, for the report.
    Instant silentSince = {};
    Instant foundAt = {};
};

// Changes the primary of one group, without any other orderer:
//
// 1. takes a term that nobody else has, by a conditional update of the group's record;
// 2. fences a majority of the databases at it, so that no lower term can be confirmed any more;
// 3. chooses the furthest log among those fenced, comparing terms before positions;
// 4. promotes that database, repoints the others and writes the record.
//
// A term is used for one choice only. Who finds a change half done, its own included, starts again
// at a higher term and never goes on under that one. Safety rests on the databases refusing what
// comes under a lower term and on terms being given out once, not on time and not on the store:
// where the store does not answer, a term is drawn at random far above those that the store hands
// out, and the record trails.
//
//     perform(promoter.start(request, view, now));
//     perform(promoter.statusReceived(status, askedAt, now));   // every status, whatever asked for
//     it perform(promoter.tick(now));                  // at nextTimer if (const auto report =
//     promoter.takeReport())
//         ...
class Promoter
{
public:
    explicit Promoter(PromoterOptions options);

    // Begins a change. Nothing happens while one is under way, nor before view holds a status: a
    // term must lie above the one that the group's databases began with, which no record holds.
    PromotionActions start(const PromotionRequest &request, const GroupView &view, Instant now);

    PromotionActions recordRead(std::uint64_t call, const std::optional<StoredRecord> &stored,
                                Instant now);
    PromotionActions recordWritten(std::uint64_t call, ObjectVersion version, Instant now);
    PromotionActions recordConflict(std::uint64_t call, Instant now);
    PromotionActions storeFailed(std::uint64_t call, Instant now);

    // A status whose probe or call was sent at askedAt.
    PromotionActions statusReceived(const DatabaseStatus &status, Instant askedAt, Instant now);

    PromotionActions drained(Instant now);
    PromotionActions tick(Instant now);

    // When to call tick; nothing while idle.
    std::optional<Instant> nextTimer() const;

    // The report of a change that has ended, once. The change of primary itself ends with
    // Promoting; the record is written afterwards.
    std::optional<PromotionReport> takeReport();

    // Whether a change is under way. Bringing a trailing record up to date is none: while the store
    // is away that may take as long as the outage, and another change may start.
    bool isChanging() const
    {
        return m_step != PromotionStep::Idle && m_step != PromotionStep::Recording;
    }

    PromotionStep step() const
    {
        return m_step;
    }
    Term term() const
    {
        return m_term;
    }

    // The state in one line, without times: for logs, and to tell states apart in a search.
    std::string describe() const;

private:
    struct Member
    {
        DatabaseId database = {};
        bool leaving = false;
        std::optional<DatabaseStatus> fenced = {};
        std::optional<DatabaseStatus> heard = {};
    };

    PromotionActions readRecord(Instant now);
    PromotionActions claim(const std::optional<StoredRecord> &stored, Instant now);
    PromotionActions claimUnaided(Instant now);
    PromotionActions claimed(Instant now);
    PromotionActions drain(Instant now);
    PromotionActions catchUp(Instant now);
    PromotionActions fence(Instant now);
    PromotionActions choose(Instant now);
    PromotionActions promoted(const DatabaseStatus &status, Instant now);
    PromotionActions writeRecord(Instant now);
    PromotionActions end(PromotionEnd end, Instant now);
    PromotionActions recordReadWhileRecording(Instant now);
    PromotionActions tickStore(Instant now);
    PromotionActions tickFencing(Instant now);
    PromotionActions timedOut(Instant now);

    bool closeCall(std::uint64_t call);
    bool isOurs(const GroupRecord &record) const;
    bool mustYield(const GroupRecord &record, Instant now);
    bool isFencingDone(Instant now) const;
    std::size_t fencedCount() const;
    const Member *furthestFenced() const;
    bool mayAvoid() const;
    bool isCaughtUp() const;
    bool isCallingDatabases() const;
    void enter(PromotionStep step, Duration timeout, Instant now);
    void repeatAfter(Duration time, Instant now);
    void chargeTime(Duration PromotionReport::*part, Instant now);
    Member *member(const DatabaseId &database);
    GroupRecord recordNow(RecordPhase phase) const;
    PromotionAction databaseCall(PromotionActionKind kind, const DatabaseId &database) const;

    PromoterOptions m_options;
    PromotionStep m_step = PromotionStep::Idle;
    PromotionRequest m_request;
    std::vector<Member> m_members;
    Term m_highest;
    Term m_term;
    std::uint64_t m_attempt = 0;
    std::uint64_t m_call = 0;
    bool m_callOpen = false;
    bool m_holding = false;
    std::optional<StoredRecord> m_stored;
    DatabaseId m_chosen;
    DatabaseStatus m_primaryStatus;
    std::optional<Instant> m_majorityAt;
    Instant m_drainedAt;
    Term m_yieldedTo;
    Instant m_yieldedAt;
    Instant m_partBegan;
    Instant m_stepEnds;
    Instant m_nextRepeat;
    PromotionReport m_report;
    std::optional<PromotionReport> m_finished;
};

// Calls that bring the databases in line with the primary that view knows: every other one that can
// be reached and is still at a lower term, or was not yet repointed. Safe to repeat, by any VM.
PromotionActions repointStragglers(const GroupView &view);

} // namespace fescuespring
