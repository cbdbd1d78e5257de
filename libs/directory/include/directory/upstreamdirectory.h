#pragma once

#include "messages/upstream.h"
#include "statements/upstreamchannel.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace fescuespring {

// How long a database stays in use after its entry vanished: entries that expired during a store
// outage reappear within two seconds of its end.
inline constexpr Duration missingEntryGrace = std::chrono::milliseconds(2300);

// Longest time between two answers of the store that shows that it was in reach meanwhile: entries
// expire after a longer silence only.
inline constexpr Duration longestAnswerGap = std::chrono::milliseconds(1200);

// How long a removed database still counts towards the size of its group, unless it had announced
// that it was leaving: it may still be running but unable to reach the store.
inline constexpr Duration lostDatabaseRetention = std::chrono::seconds(15);

// How long a database that left after announcing it is remembered: a restore of the store may bring
// its entry back.
inline constexpr Duration departedDatabaseRetention = std::chrono::seconds(120);

// Databases that a group has as a rule; a directory that is not complete may lack some of them.
inline constexpr std::size_t usualGroupSize = 3;

// A database as described by its own entry in the store.
struct UpstreamEntry
{
    UpstreamTarget target;
    DataCentreId dataCentre;

    // The database is leaving and takes no new work.
    bool isDraining = false;

    // The role that the database reports for itself.
    Role role = Role::Replica;

    // Statements that it can run concurrently.
    std::uint32_t slots = 1;

    // Reported start time in ms since 1970; distinguishes its incarnations.
    std::int64_t startedAt = 0;
};

// The known databases. An entry that vanishes is kept for missingEntryGrace, unless another
// database of the group takes its address. A database that announced that it is leaving does not
// return in the same incarnation, even with an older entry. Not thread-safe; reads no clock.
//
// A VM that has just started may have listed the entries before those that expired during an outage
// of the store were back. The databases of a group may be counted only if the directory is
// complete:
//
//     directory.storeAnswered(records.askedAt, now);   // after each read of the store
//     if (directory.isComplete())
//         majority = directory.groupSize(group, now) / 2 + 1;
class UpstreamDirectory
{
public:
    struct Hooks
    {
        // A database was added or changed; isNewIncarnation is true if it is new, restarted, or
        // has another address or group.
        std::function<void(const UpstreamEntry &, bool isNewIncarnation)> onEntry = {};
        std::function<void(const UpstreamEntry &)> onGone = {};
    };

    explicit UpstreamDirectory(Hooks hooks);

    // Adds or replaces an entry.
    void update(const UpstreamEntry &entry);

    // The entry is no longer in the store.
    void vanished(const DatabaseId &database, Instant now);

    // Applies a complete list: entries not listed have vanished.
    void replaceAll(const std::vector<UpstreamEntry> &entries, Instant now);

    // Removes entries whose grace period has ended; to be called every few hundred ms.
    void expire(Instant now);

    // The store answered a request that was made at askedAt, directly or through another VM.
    void storeAnswered(Instant askedAt, Instant now);

    // Whether the directory holds each database that is alive and reaches the store, as the store
    // has answered for missingEntryGrace since this VM first reached it. The directory then remains
    // complete while it counts the databases that it has lost: until the store answers again after
    // a gap longer than lostDatabaseRetention.
    bool isComplete() const
    {
        return m_isComplete;
    }

    // A database of which this VM has no entry had announced that it was leaving, perhaps before
    // this VM started: counted as one that has just left.
    void departed(const UpstreamTarget &target, std::int64_t startedAt, Instant now);

    // Whether a database that left after announcing it may hold commits that no other one has; see
    // otherMembers.
    bool isRecentlyDeparted(const DatabaseId &database, Instant now) const;

    const UpstreamEntry *find(const DatabaseId &database) const;

    // Databases of a group, ordered by name, including those in their grace period. Valid until the
    // directory changes.
    std::vector<const UpstreamEntry *> group(const GroupId &group) const;
    std::vector<UpstreamEntry> all() const;

    // Groups that have a database, ordered by name: all of them, or at most count that follow a
    // given group, wrapping around after the last.
    std::vector<GroupId> groups() const;
    std::vector<GroupId> groupsAfter(const GroupId &group, std::size_t count) const;

    std::size_t groupCount() const
    {
        return m_groups.size();
    }

    bool isEmpty() const
    {
        return m_entries.empty();
    }

    // Calls visit for each entry, ordered by name; visit must not change the directory.
    void forEach(const std::function<void(const UpstreamEntry &)> &visit) const;

    // Number of databases in the group, including those lost within lostDatabaseRetention. Too low
    // unless the directory is complete, and so is that of otherMembers.
    std::size_t groupSize(const GroupId &group, Instant now) const;

    // The size of the group for what must be decided although the directory may not be complete:
    // groupSize, but not less than usualGroupSize until it is.
    std::size_t assumedGroupSize(const GroupId &group, Instant now) const;

    // Number of databases in the group besides one of them that may hold what was written: those of
    // groupSize, and those that left after announcing it within lostDatabaseRetention, until
    // another database has their address and so their log.
    std::size_t otherMembers(const GroupId &group, const DatabaseId &without, Instant now) const;

private:
    Hooks m_hooks;
    struct Lost
    {
        GroupId group;
        Endpoint endpoint;
        Instant lostAt;
    };

    // A database that announced that it was leaving and is gone.
    struct Departed
    {
        GroupId group;
        Endpoint endpoint;
        std::int64_t startedAt = 0;

        // Another database of the group has its address.
        bool isReplaced = false;

        // When expire was first called after that.
        std::optional<Instant> goneAt = {};
    };

    static bool isRecentlyLost(const Lost &lost, Instant now);
    static bool isRecentlyDeparted(const Departed &departed, Instant now);
    void removeFromGroup(const UpstreamEntry &entry);
    void removeReplaced(const UpstreamEntry &entry);
    UpstreamEntry remove(const DatabaseId &database);

    std::map<DatabaseId, UpstreamEntry> m_entries;

    // When entries of m_entries vanished.
    std::map<DatabaseId, Instant> m_missingSince;
    std::map<GroupId, std::set<DatabaseId>> m_groups;
    std::map<DatabaseId, Lost> m_lost;
    std::map<DatabaseId, Departed> m_departed;

    // When the last request was made that the store answered, and since when it has answered
    // without a gap; empty before the first answer.
    std::optional<Instant> m_lastAskedAt;
    Instant m_answersSince;
    bool m_isComplete = false;
};

} // namespace fescuespring
