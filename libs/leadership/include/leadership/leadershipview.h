#pragma once

#include "leadership/leadershiprecord.h"

#include <deque>
#include <map>
#include <optional>

namespace fescuespring {

// A promoter that has announced a change waits this long before it orders one: by then every VM
// that has not read the announcement has stopped trusting what it read before.
inline constexpr Duration leadershipLease = std::chrono::milliseconds(1200);

// On top of the lease, for timers and clocks that run apart.
inline constexpr Duration leadershipMargin = std::chrono::milliseconds(100);

// The primary of a group as this VM believes it.
struct BelievedPrimary
{
    DatabaseId database;

    // Lowest term that it can lead; 0 while nothing is known of terms.
    Term term;

    // A change has been announced.
    bool isChanging = false;
};

// What this VM may conclude about who leads: from the store's records, each read counting from the
// moment it was asked for, and from positions that primaries reported. Knows no clock.
//
//     view.snapshot(decoded, askedAt);
//     if (view.isLeading(group, database, now))
//         acknowledge();
//     if (const auto floor = view.floor(group, bound, now))
//         readAfter(*floor);
//
// One thread only.
class LeadershipView
{
public:
    // Takes over the records as they were at some moment after askedAt.
    void snapshot(const LeadershipSnapshot &snapshot, Instant askedAt);

    // The records of the last snapshot still stood at some moment after askedAt.
    void revalidate(Instant askedAt);

    // A record that was written or read by itself; no evidence of anything at a later moment.
    void learn(const LeadershipRecord &record);

    // The database that says of itself that it leads; counts for groups without a record.
    void setReportedPrimary(const GroupId &group, const DatabaseId &database);

    std::optional<BelievedPrimary> primary(const GroupId &group) const;

    // Highest term that a record or a position of the primary showed; 0 if none has.
    Term knownTerm(const GroupId &group) const;

    // The stored record; one without version if there is none.
    LeadershipRecord record(const GroupId &group) const;

    const std::optional<DutyRecord> &promotionLock() const
    {
        return m_promotionLock;
    }

    // Leases count only while the others can know of this VM: for questions that were asked at
    // since or later, and before end. Without a call they always count.
    void limitLease(Instant since, Instant end);

    // Whether the last snapshot still counts.
    bool holdsLease(Instant now) const;

    // When the question of the last snapshot was asked.
    std::optional<Instant> askedAt() const
    {
        return m_askedAt;
    }

    // Whether database has led its group until now: it does in the last snapshot, which still
    // counts, and no change is announced there.
    bool isLeading(const GroupId &group, const DatabaseId &database, Instant now) const;

    // The primary had reached position at some moment after askedAt; to be called only where
    // isLeading holds or a round of statuses has shown the same.
    void addPrimaryPosition(const GroupId &group, LogPoint position, Instant askedAt);

    // A point that covers every commit acknowledged more than bound ago. The oldest such point,
    // since replicas are the likeliest to hold it; nothing if none is known.
    std::optional<LogPoint> floor(const GroupId &group, Duration bound, Instant now) const;

    // The newest such point, with the moment before which it covers every commit.
    struct DatedPoint
    {
        LogPoint point;
        Instant askedAt;
    };
    std::optional<DatedPoint> newestFloor(const GroupId &group) const;

    // How old the newest point of a group is; nothing if there is none.
    std::optional<Duration> newestFloorAge(const GroupId &group, Instant now) const;

private:
    struct Floor
    {
        Instant askedAt;
        LogPoint point;
    };
    struct Group
    {
        std::optional<LeadershipRecord> record;
        DatabaseId announced;
        std::deque<Floor> floors;
    };

    static DatabaseId leaderOf(const Group &group);

    std::map<GroupId, Group> m_groups;
    std::optional<DutyRecord> m_promotionLock;
    std::optional<Instant> m_askedAt;
    Instant m_leaseSince = Instant::min();
    Instant m_leaseEnd = Instant::max();
};

} // namespace fescuespring
