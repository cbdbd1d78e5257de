#pragma once

#include "leadership/leadershiprecord.h"

#include <deque>
#include <map>
#include <optional>

namespace fescuespring {

// How long a VM may rely on the records after it requested them. A VM that has announced a change
// waits this long plus leadershipMargin before it requests a promotion, so the leases of all VMs
// that have not read the announcement have expired by then. It waits less if all VMs that may hold
// a lease have reported that they read the announcement.
inline constexpr Duration leadershipLease = std::chrono::milliseconds(1200);

// Added to the lease to allow for timer delays and clock drift.
inline constexpr Duration leadershipMargin = std::chrono::milliseconds(100);

// The primary of a group as last known to this VM.
struct LastKnownPrimary
{
    DatabaseId database;

    // Lowest term that it can lead; 0 while no term is known.
    Term term;

    // A change of primary is announced, or may be in progress, as the store was restored and the
    // primary has not been confirmed since.
    bool isChanging = false;
};

// This VM's view of the primaries of all groups, from the leadership records in the store and from
// positions that primaries reported. Each piece of evidence counts from the moment at which it was
// requested. Does not read a clock; callers pass the time.
//
//     view.snapshot(decoded, askedAt);
//     if (view.isLeading(group, database, now))
//         acknowledge();
//     if (const auto floor = view.floor(group, bound, now))
//         readAfter(*floor);
//
// After a restore of the store, the records may lack changes. What this VM knew of later terms is
// kept, but no group has a confirmed primary until its record was written again.
//
// One thread only.
class LeadershipView
{
public:
    // Applies the records as they were at some moment after askedAt. Ignored if a later snapshot,
    // or one of a later epoch of the store, was applied.
    void snapshot(const LeadershipSnapshot &snapshot, Instant askedAt);

    // Extends the lease: the records of the last snapshot were still current at some moment after
    // askedAt.
    void revalidate(Instant askedAt);

    // Applies a single record that was written or read. Does not extend the lease. Ignored if the
    // store was restored since.
    void applyRecord(const LeadershipRecord &record);

    // Sets the database that reports itself as primary; used for groups without a record.
    void setReportedPrimary(const GroupId &group, const DatabaseId &database);

    std::optional<LastKnownPrimary> primary(const GroupId &group) const;

    // The higher of the term of the record and that of the newest position; 0 if there is neither.
    Term knownTerm(const GroupId &group) const;

    // The stored record; if there is none, one with version 0. If the store was restored, primary
    // and term may be later than those stored.
    LeadershipRecord record(const GroupId &group) const;

    // Whether the last record of the group that was read announces a change of primary.
    bool isChangeAnnounced(const GroupId &group) const;

    // Whether the record of the group, or its absence, is of the present epoch of the store.
    bool isConfirmed(const GroupId &group) const;

    // Whether the store has lost nothing since the installation first started.
    bool isStoreOriginal() const;

    // The highest version of the records read.
    ObjectVersion newestRecordVersion() const
    {
        return m_newestVersion;
    }

    // Epoch of the store in the last snapshot.
    StoreEpoch epoch() const
    {
        return m_epoch;
    }

    const std::optional<PromotionLock> &promotionLock() const
    {
        return m_promotionLock;
    }

    // The presence of this VM to the other VMs: since when and until when, and in which epoch of
    // the store its record was written.
    struct Presence
    {
        Instant since;
        Instant end;
        StoreEpoch epoch;
    };

    // Restricts the lease to a presence: it is valid only if its records were requested at the
    // beginning or later, in the same epoch of the store, and only until the end. Unlimited by
    // default.
    void limitLease(const Presence &presence);

    // Whether the lease on the last snapshot is valid.
    bool holdsLease(Instant now) const;

    // When the records were last requested, by a snapshot or a revalidation.
    std::optional<Instant> askedAt() const
    {
        return m_askedAt;
    }

    // Whether database has led its group until now: it is the primary in the last snapshot, the
    // lease is valid, and no change is announced.
    bool isLeading(const GroupId &group, const DatabaseId &database, Instant now) const;

    // Adds a floor: the primary had reached position at some moment after askedAt. Call only if
    // isLeading or a TermEvidence round, on this VM or another, has confirmed the primary. A
    // position requested less than 50 ms after the previous one is dropped.
    void addPrimaryPosition(const GroupId &group, LogPoint position, Instant askedAt);

    // The oldest known point that covers every commit acknowledged more than bound ago, since
    // replicas are most likely to hold that one.
    std::optional<LogPoint> floor(const GroupId &group, Duration bound, Instant now) const;

    // The newest known point, which covers every commit acknowledged before askedAt.
    struct ObservedPoint
    {
        LogPoint point;
        Instant askedAt;
    };
    std::optional<ObservedPoint> newestFloor(const GroupId &group) const;

    // Age of the newest known point of a group.
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
        DatabaseId reported;
        std::deque<Floor> floors;
    };

    static DatabaseId primaryOf(const Group &group);
    void beginEpoch(StoreEpoch epoch);
    bool isConfirmed(const Group &group) const;

    std::map<GroupId, Group> m_groups;
    std::optional<PromotionLock> m_promotionLock;
    std::optional<Instant> m_askedAt;
    ObjectVersion m_newestVersion;
    StoreEpoch m_epoch;
    std::optional<StoreEpoch> m_origin;
    std::optional<Presence> m_presence;
};

} // namespace fescuespring
