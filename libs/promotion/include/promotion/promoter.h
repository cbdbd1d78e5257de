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

    // The primary is leaving and still serves; no write may be lost.
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
    // Read the group's object; reply with recordRead or storeFailed.
    ReadRecord,

    // Write record if the object's version is ifVersion; reply with recordWritten, recordConflict
    // or storeFailed, the last also if the store's reply was lost.
    WriteRecord,

    // Hold new writes back and call drained once none is in flight; release the held writes.
    HoldWrites,
    ReleaseWrites,

    // Calls to database; reply with statusReceived. Failures need not be reported.
    Probe,
    Fence,
    Promote,
    Follow,
};

const char *toString(PromotionActionKind kind);

// An action for the caller to perform now. Fields that do not apply to the kind are empty.
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

    // With ReadRecord and WriteRecord: identifies the call in the reply.
    std::uint64_t call = 0;
};

using PromotionActions = std::vector<PromotionAction>;

enum class PromotionEnd {
    // The group has a new primary under term.
    Promoted,

    // Another promoter has a higher term; probe the group for its current state.
    Outbid,

    // A step did not finish in time; the group is unchanged, or has no primary.
    TimedOut,
};

const char *toString(PromotionEnd end);

// Outcome of a change of primary and the time spent in each part.
struct PromotionReport
{
    PromotionKind kind = PromotionKind::Unplanned;
    PromotionEnd end = PromotionEnd::TimedOut;
    Term term = {};
    DatabaseId primary = {};

    // Whether the term was claimed without the store.
    bool unaided = false;

    // Consecutive parts: from the primary's last answer to the verdict; to the start; until the
    // term was claimed; until writes had drained and a replica had caught up; until a majority was
    // fenced; until the new primary answered.
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

    // Returns 64 random bits, different for each call on every VM.
    std::function<std::uint64_t()> random = {};

    // Time limit for claiming a term through the store.
    Duration storeTimeout = std::chrono::milliseconds(400);

    // Whether a term may be claimed without the store after storeTimeout.
    bool mayClaimWithoutStore = true;

    // Interval at which unanswered calls are repeated.
    Duration callRetry = std::chrono::milliseconds(50);

    // Time for which the remaining databases are awaited once a majority is fenced.
    Duration fenceGrace = std::chrono::milliseconds(10);

    Duration fenceTimeout = std::chrono::milliseconds(1500);
    Duration promoteTimeout = std::chrono::milliseconds(500);
    Duration drainTimeout = std::chrono::milliseconds(2000);
    Duration catchUpTimeout = std::chrono::milliseconds(500);

    // Interval between probes while a replica catches up.
    Duration catchUpPoll = std::chrono::milliseconds(1);

    // Time granted to another promoter with a higher term before its term is outbid.
    Duration takeoverAfter = std::chrono::milliseconds(400);

    // Interval between attempts to update a lagging record.
    Duration recordRetry = std::chrono::milliseconds(500);
};

// Reason and starting point of a change of primary.
struct PromotionRequest
{
    PromotionKind kind = PromotionKind::Unplanned;

    // With Planned: the primary that is leaving.
    DatabaseId leaving = {};

    // With Unplanned: a primary that answers but reaches no other database. It is chosen again only
    // if the other fenced databases are not a majority; writes that only it holds are dropped.
    DatabaseId avoid = {};

    // When the primary last answered and when it was declared lost, for the report.
    Instant silentSince = {};
    Instant foundAt = {};
};

// Changes the primary of one group, without a central coordinator:
//
// 1. claims a unique term by a conditional update of the group's record;
// 2. fences a majority of the databases at it, so that no lower term can be confirmed any more;
// 3. chooses the most advanced log among those fenced, comparing terms before positions;
// 4. promotes that database, repoints the others and writes the record.
//
// A term is used for a single choice. A promoter that finds an unfinished change, even its own,
// starts again at a higher term and never continues under the old one. Safety depends on the
// databases refusing calls of a lower term and on each term being claimed once, not on clocks and
// not on the store: if the store does not answer, a random term far above those from the store is
// used, and the record lags.
//
//     perform(promoter.start(request, view, now));
//     perform(promoter.statusReceived(status, askedAt, now)); // every status from any source
//     perform(promoter.tick(now));                            // at nextTimer
//     if (const auto report = promoter.takeReport())
//         ...
class Promoter
{
public:
    explicit Promoter(PromoterOptions options);

    // Begins a change. Does nothing while one is under way or before view holds a status: the new
    // term must be higher than the initial term of the group's databases, which no record contains.
    PromotionActions start(const PromotionRequest &request, const GroupView &view, Instant now);

    PromotionActions recordRead(std::uint64_t call, const std::optional<StoredRecord> &stored,
                                Instant now);
    PromotionActions recordWritten(std::uint64_t call, ObjectVersion version, Instant now);
    PromotionActions recordConflict(std::uint64_t call, Instant now);
    PromotionActions storeFailed(std::uint64_t call, Instant now);

    // Processes a status whose probe or call was sent at askedAt.
    PromotionActions statusReceived(const DatabaseStatus &status, Instant askedAt, Instant now);

    PromotionActions drained(Instant now);
    PromotionActions tick(Instant now);

    // When to call tick; nothing while idle.
    std::optional<Instant> nextTimer() const;

    // Returns the report of a finished change once. The change itself ends with Promoting; the
    // record is written afterwards.
    std::optional<PromotionReport> takeReport();

    // Whether a change is under way. Updating a lagging record does not count: it may last as long
    // as an outage of the store, and another change may start meanwhile.
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

    // The state in one line, without times: for logs, and to distinguish states in a state-space
    // search.
    std::string describe() const;

private:
    struct Member
    {
        DatabaseId database = {};
        bool leaving = false;
        std::optional<DatabaseStatus> fenced = {};
        std::optional<DatabaseStatus> latest = {};
    };

    PromotionActions readRecord(Instant now);
    PromotionActions claim(const std::optional<StoredRecord> &stored, Instant now);
    PromotionActions claimWithoutStore(Instant now);
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
    const Member *mostAdvancedFenced() const;
    bool mayAvoid() const;
    bool isCaughtUp() const;
    bool isCallingDatabases() const;
    void enter(PromotionStep step, Duration timeout, Instant now);
    void scheduleRepeat(Duration time, Instant now);
    void addPartTime(Duration PromotionReport::*part, Instant now);
    Member *member(const DatabaseId &database);
    GroupRecord currentRecord(RecordPhase phase) const;
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
    bool m_isHoldingWrites = false;
    std::optional<StoredRecord> m_stored;
    DatabaseId m_chosen;
    DatabaseStatus m_primaryStatus;
    std::optional<Instant> m_majorityAt;
    Instant m_drainedAt;
    Term m_yieldedTo;
    Instant m_yieldedAt;
    Instant m_partStartedAt;
    Instant m_stepDeadline;
    Instant m_nextRepeat;
    PromotionReport m_report;
    std::optional<PromotionReport> m_finished;
};

// Returns the calls that make lagging databases follow the primary in view: every other reachable
// database that is at a lower term or was not yet repointed. Any VM may repeat them safely.
PromotionActions repointStragglers(const GroupView &view);

} // namespace fescuespring
