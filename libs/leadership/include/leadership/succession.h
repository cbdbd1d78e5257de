#pragma once

#include "base/counters.h"
#include "base/timers.h"
#include "leadership/leadershipview.h"
#include "logging/log.h"
#include "statements/statement.h"
#include "store/objectstore.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fescuespring {

// Outcome of a request to promote a database.
enum class PromotionOutcome {
    Accepted,

    // The database cannot be promoted at present.
    Refused,

    // The request had no effect and may be repeated.
    NotDone,

    // There was no answer; the request may still take effect.
    Unknown,
};

const char *toString(PromotionOutcome outcome);

// A request to promote a database.
struct PromotionCall
{
    GroupId group;
    DatabaseId database;
    std::uint64_t fencingToken = 0;

    // Asked right before the request is written, as opening a connection takes time: whether this
    // VM still holds the promotion lock under this token. If not, the request must not be sent.
    std::function<bool()> mayBeSent = {};
};

// A database of a group, as the VMs observe it.
struct SuccessionCandidate
{
    DatabaseId database;
    bool isDraining = false;

    // It reports that it is the primary.
    bool reportsPrimaryRole = false;

    // The VMs that observe it get no answer from it.
    bool isLost = false;
};

// One run of a VM; a restarted VM has another incarnation.
struct VmIncarnation
{
    VmId vm;
    std::string incarnation;
};

// The services of its VM that a Succession uses.
struct SuccessionPorts
{
    // Groups to check in this tick. Every group with databases is included about once a second.
    std::function<std::vector<GroupId>()> groups;
    std::function<std::vector<SuccessionCandidate>(const GroupId &)> databases;

    // Whether the directory holds each database that is alive and reaches the store, by a list that
    // was read from the store for this. If not, starts to read it; called again in the next tick.
    // May be empty: the directory holds all databases.
    std::function<bool()> areDatabasesKnown = {};

    // Number of databases in the group, including recently lost ones.
    std::function<std::size_t(const GroupId &)> groupSize;

    // Number of databases of the group besides one that may hold commits, including those that left
    // recently. With an empty id, the number of all.
    std::function<std::size_t(const GroupId &, const DatabaseId &without)> otherMembers;

    // Replicas that must have received a commit before the group's databases acknowledge it.
    std::function<std::uint32_t(const GroupId &)> synchronousReplicas;

    // Sends a statement to a database; the callback gets nothing if no answer came in time.
    std::function<void(const DatabaseId &, const Statement &, Duration timeout,
                       std::function<void(const std::optional<StatementReply> &)>)>
            command;

    std::function<void(const ObjectWrite &, ObjectStore::WriteDone)> write;

    // Requests a promotion. After a second without an answer the call is aborted and its outcome is
    // Unknown; it is NotDone if the request was not sent.
    std::function<void(const PromotionCall &, std::function<void(PromotionOutcome)>)>
            requestPromotion;

    // Schedules another read of the records soon.
    std::function<void()> refresh;

    // After a change was announced: reads from the store which VMs may hold a lease without having
    // read the announcement. Does not call back if that cannot be determined. May be empty; the
    // change then waits until all leases have expired.
    std::function<void(std::function<void(std::vector<VmIncarnation>)>)> leaseHolders = {};

    // Whether a VM has reported that it read this announcement or a later one of the group.
    std::function<bool(const VmIncarnation &, const GroupId &, ObjectVersion announcement)>
            hasRead = {};

    // This VM's rank among the live VMs, from 0, those that certainly reach the store first;
    // staggers takeovers of the promotion lock.
    std::function<std::size_t()> rank;
};

struct SuccessionOptions
{
    Timers &timers;
    Log &log;
    Counters &counters;
    LeadershipView &view;
    VmId self;

    // Distinguishes runs of this VM.
    std::string incarnation;
};

namespace detail {
template <typename Task>
class GroupTask;
class LeadershipChange;
class PausedReplicas;
class PrimaryConfirmation;
} // namespace detail

// Replaces the primary of a group where that is due, while this VM holds the promotion lock. Takes
// the lock over if its holder does not carry out a due change. The steps are:
//
// 1. The holder announces the change of primary in the leadership record of the group. If commits
//    need a replica and the primary is leaving, it first waits until a replica follows it.
// 2. It waits until all VMs have reported that they read the announcement, or until the leases of
//    those that have not have expired.
// 3. It stops the previous primary if that is reachable, and pauses a majority of the databases
//    for a later term, so that no VM can confirm any more that the previous primary leads.
// 4. It requests the promotion of the database with the most advanced log position among those that
//    took part in the last term, by a round of replies that began after step 2, with the version of
//    the promotion lock as fencing token. If none did, it waits for one, or until all that did are
//    gone for good. If commits need a replica, it waits until that database is known to hold every
//    acknowledged one.
// 5. When the database reports that it leads, the holder records it as the primary.
//
// Safe because steps 2 and 3 are both complete before step 4. In a planned change step 2 precedes
// step 3; otherwise step 3 runs during the wait of step 2, and is repeated after it. A restart
// of a database undoes its pause or its stop; the VMs count no evidence of such a database until
// the promotion has taken effect (promotionbounds.h).
//
// A holder that has not needed the lock for some seconds releases it, so that the next change need
// not wait for the lease of a holder that may have been lost together with the primary.
//
// After a restore of the store, the records may lack changes, and a holder of the lock in the
// previous epoch may still act on its lease. The holder in the present epoch waits until no such
// lease is left; then it asks the databases of each group who leads, and writes the record anew.
// Until then the VMs treat the group as one whose change is announced.
//
// Before its first change of primary a group has no record, and its primary is the database that
// reports itself as such. If that is lost, a VM that starts later knows of none. The holder then
// asks the databases in the same way, and replaces the unknown primary if none of them leads.
//
// A holder that has started recently counts the databases only once it knows all of them: those
// that it has not seen may be well, and hold what the databases that it sees lack.
//
// A holder does nothing unless it has read the lock as its own within the last lease. After taking
// the lock over, it requests no promotion and keeps no returned primary until the previous holder's
// lease has expired and its calls have ended.
//
//     succession.tick();   // every 100 ms or so
//
// One thread only.
class Succession
{
public:
    Succession(SuccessionOptions options, SuccessionPorts ports);
    ~Succession();
    Succession(const Succession &) = delete;
    Succession &operator=(const Succession &) = delete;

    void tick();

    // Called after each read of the records, also while this VM must not act yet.
    void recordsRead();

    // Releases the promotion lock, for example before this VM stops, unless a change is in
    // progress.
    void release();

    // Whether this VM holds the promotion lock according to the last records, and the lease on
    // them is valid.
    bool holdsPromotionLock() const;

private:
    template <typename Task>
    friend class detail::GroupTask;
    friend class detail::LeadershipChange;
    friend class detail::PrimaryConfirmation;

    // Why a group needs another primary.
    enum class ChangeReason {
        None,
        Planned,
        Lost,
        AnnouncedEarlier,

        // The store was restored, and the primary has not been recorded since; or no primary is
        // known.
        Unconfirmed,
    };

    ChangeReason changeReason(const GroupId &group) const;
    void evaluateGroup(const GroupId &group);
    bool mayTakeTime(ChangeReason reason, const GroupId &group) const;
    Duration takeoverDelay(bool mayTakeTime) const;
    bool isLockHeld() const;
    void acquireLock(Instant neededSince, bool mayTakeTime);
    void lockAcquired(ObjectVersion version, bool hadPrevious, bool isHistoryKnown);
    bool mayPromote() const;
    void confirmPrimary(const GroupId &group);
    void confirmationEnded(const GroupId &group);
    void startChange(const GroupId &group, bool isPlanned, Term seenTerm = {},
                     bool hasNoOtherPromoter = false);
    void demotePreviousPrimaries(const GroupId &group);
    void resumePausedReplicas(const GroupId &group);
    void changeEnded(const GroupId &group);
    Instant changeBeganAt(const GroupId &group) const;
    bool isOwnPromotionPending(const GroupId &group) const;
    bool isEarlierPromotionPending() const;
    void releaseIfIdle();

    SuccessionOptions m_options;
    SuccessionPorts m_ports;
    std::map<GroupId, Instant> m_neededSince;

    // When this VM started the first of the changes of a group that have not recorded a primary.
    std::map<GroupId, Instant> m_changeBeganAt;
    std::map<GroupId, std::shared_ptr<detail::LeadershipChange>> m_changes;
    std::map<GroupId, std::shared_ptr<detail::PrimaryConfirmation>> m_confirmations;
    std::map<DatabaseId, Instant> m_demotedAt;
    std::unique_ptr<detail::PausedReplicas> m_paused;
    bool m_isAcquiring = false;
    bool m_isReleasing = false;

    // When the lock was last needed.
    Instant m_lastNeededAt;
    ObjectVersion m_lockVersion;

    // Version of the lock as last read, and when this version was first observed.
    ObjectVersion m_observedLockVersion;
    Instant m_holderSince;

    // When the lease of every earlier holder is over, and when its calls have ended too.
    Instant m_earlierLeasesEndAt;
    Instant m_mayPromoteFrom;

    // When every promotion that an earlier holder requested has taken effect.
    Instant m_earlierPromotionsEndAt;

    // When this VM last requested a promotion in each group, unless that has taken effect.
    std::map<GroupId, Instant> m_promotionRequestedAt;

    // The epoch of the store as last read, and when it was first observed.
    StoreEpoch m_observedEpoch;
    Instant m_epochSince;

    // The newest version of a record as last read, and when it changed last.
    ObjectVersion m_observedRecordVersion;
    Instant m_recordChangedAt;
};

} // namespace fescuespring
