#pragma once

#include "session/termhistory.h"

#include <optional>
#include <vector>

namespace fescuespring {

// A database of a group as listed by the settings and the platform.
struct DatabaseSite
{
    DatabaseId database = {};
    DataCentreId dataCentre = {};
    Endpoint endpoint = {};

    // The platform has announced that the VM of the database will leave.
    bool leaving = false;

    bool operator==(const DatabaseSite &) const = default;
};

// What a slice owner has last observed of one database.
struct DatabaseView
{
    DatabaseSite site = {};

    // Whether the last probe was answered; false before the first.
    bool reachable = false;

    // The newest status. It was true at some moment between askedAt, when the probe was sent, and
    // receivedAt, when the answer arrived.
    std::optional<DatabaseStatus> status = {};
    Instant askedAt = {};
    Instant receivedAt = {};

    // Smoothed time between the two.
    Duration roundTrip{0};

    // Smoothed number of log entries that the database applies per second; 0 until known.
    double appliedPerSecond = 0;

    // Statements sent but not yet answered, and the smoothed time that a statement takes.
    unsigned inFlight = 0;
    Duration serviceTime{0};
};

// The primary of a group according to a view.
struct PrimaryView
{
    DatabaseId database = {};
    Term term = {};
};

// A slice owner's view of a group: the last status of each database and when it was requested.
// Evidence about terms counts from askedAt, as a status may be delayed on its way. Not thread-safe;
// belongs to the thread that owns the slice.
//
//     GroupView view(group);
//     view.setSites(sites);
//     view.applyStatus(status, probeSentAt, now);
//     if (const auto primary = view.primary())
//         ...
class GroupView
{
public:
    explicit GroupView(GroupId group);

    // Replaces the sites; keeps the state of databases that remain.
    void setSites(const std::vector<DatabaseSite> &sites);

    // Applies a status that answered a probe, fence, promotion or repointing sent at askedAt.
    void applyStatus(const DatabaseStatus &status, Instant askedAt, Instant now);

    // Records that a probe sent at askedAt failed or was not answered in time.
    void probeFailed(const DatabaseId &database, Instant askedAt);

    // Raises the applied position of database after an answer showed that its reads see point, so
    // that more reads may be routed to it between probes. No evidence of terms or copies.
    void raiseApplied(const DatabaseId &database, LogPoint point);

    // Merges a history from another source: the group's object in the store or a peer.
    void mergeHistory(const TermHistory &history);

    // Count statements in flight: one was sent, was answered, or lost its connection.
    void sent(const DatabaseId &database);
    void answered(const DatabaseId &database, Duration serviceTime);
    void lost(const DatabaseId &database);

    // Overrides the counted statements in flight with the more accurate number of the database's
    // scheduler.
    void setInFlight(const DatabaseId &database, unsigned inFlight);

    const GroupId &group() const
    {
        return m_group;
    }
    const std::vector<DatabaseView> &databases() const
    {
        return m_databases;
    }
    const DatabaseView *find(const DatabaseId &database) const;

    // Number of databases that form a majority; 1 for an empty group, so nothing can be confirmed.
    std::size_t majority() const;

    // The latest history from any database or mergeHistory.
    const TermHistory &history() const
    {
        return m_history;
    }

    // Highest term that any database has reported.
    Term highestTerm() const;

    // The database that is primary of its term, with the highest such term, unless a majority is at
    // higher terms. It may be unreachable.
    std::optional<PrimaryView> primary() const;

    // The latest moment at which term is known to have been current: a majority was at exactly this
    // term at that moment or later, and terms never decrease, so no primary of a higher term had
    // been promoted.
    std::optional<Instant> heldUntil(Term term) const;

    // Whether a majority is at higher terms, so that nothing can be confirmed under term any more.
    bool isSuperseded(Term term) const;

    // Number of databases known to hold point, which is in the log of the primary of term, such
    // that a majority of them cannot lose it: they were at term and had received an entry of term
    // at or after point. For a point of an older term, as in the repeated answer to a write, they
    // must have received the first entry of term.
    std::size_t copiesOf(LogPoint point, Term term) const;

    // Upper bound of the age of data read at database now; nothing if unknown. It is the age that
    // the database reported plus the time since the probe, but at least the time since its term is
    // known to have been current: an isolated primary that has been replaced still reports to its
    // replicas that they are up to date.
    std::optional<Duration> ageBound(const DatabaseView &database, Instant now) const;

private:
    DatabaseView *findMutable(const DatabaseId &database);

    GroupId m_group;
    std::vector<DatabaseView> m_databases;
    TermHistory m_history;
};

} // namespace fescuespring
