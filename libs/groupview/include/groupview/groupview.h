#pragma once

#include "session/termhistory.h"

#include <optional>
#include <vector>

namespace fescuespring {

// A database of a group as settings and the platform's list give it.
struct DatabaseSite
{
    DatabaseId database = {};
    DataCentreId dataCentre = {};
    Endpoint endpoint = {};

    // The platform says that its VM is about to leave.
    bool leaving = false;

    bool operator==(const DatabaseSite &) const = default;
};

// What a slice owner knows of one database, and since when.
struct DatabaseView
{
    DatabaseSite site = {};

    // Whether the last probe was answered; false before the first.
    bool reachable = false;

    // The newest status. It says what held at some moment between askedAt, when its probe was sent,
    // and heardAt, when its answer came.
    std::optional<DatabaseStatus> status = {};
    Instant askedAt = {};
    Instant receivedAt = {};

    // Time between the two, smoothed.
    Duration roundTrip{0};

    // Entries that the database applies per second, smoothed; 0 until known.
    double appliedPerSecond = 0;

    // Statements sent to it and not yet answered, and the time one takes, smoothed.
    unsigned inFlight = 0;
    Duration serviceTime{0};
};

// The primary of a group as far as a view knows it.
struct PrimaryView
{
    DatabaseId database = {};
    Term term = {};
};

// What one slice owner knows of a group: the last word of each database and when it was asked for.
// Evidence about terms counts from askedAt, as a status may have waited on its way. Not thread
// safe; belongs to the thread that owns the slice.
//
//     GroupView view(group);
//     view.setSites(sites);
//     view.heard(status, probeSentAt, now);
//     if (const auto primary = view.primary())
//         ...
class GroupView
{
public:
    explicit GroupView(GroupId group);

    // Replaces the sites; what is known of databases that stay is kept.
    void setSites(const std::vector<DatabaseSite> &sites);

    // A status arrived: of a probe, a fence, a promotion or a repointing sent at askedAt.
    void applyStatus(const DatabaseStatus &status, Instant askedAt, Instant now);

    // A probe sent at askedAt failed or was not answered in time.
    void probeFailed(const DatabaseId &database, Instant askedAt);

    // An answer of database showed that its reads see point. Raises what reads may be sent to it
    // between two probes; it is no evidence of terms or copies.
    void raiseApplied(const DatabaseId &database, LogPoint point);

    // History from elsewhere: the group's object in the store, a peer.
    void learnHistory(const TermHistory &history);

    // A statement was sent; it was answered, or its connection was lost.
    void sent(const DatabaseId &database);
    void answered(const DatabaseId &database, Duration serviceTime);
    void lost(const DatabaseId &database);

    // Puts inFlight in place of what was counted, where the scheduler of the database knows better.
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

    // Databases that make a majority; 1 for a group of none, so that nothing is ever confirmed.
    std::size_t majority() const;

    // The latest history that any database or learnHistory told.
    const TermHistory &history() const
    {
        return m_history;
    }

    // Highest term that any database has said to be at.
    Term highestTerm() const;

    // The database that is primary of its term, of the highest such term, unless a majority has
    // gone beyond that term. Says nothing about whether it can be reached.
    std::optional<PrimaryView> primary() const;

    // The latest moment at which term is known to have held: a majority was at exactly this term at
    // that moment or later, and terms never fall, so no primary of a higher term had been made.
    std::optional<Instant> heldUntil(Term term) const;

    // Whether a majority is above term, so that nothing can be confirmed under it any more.
    bool isSuperseded(Term term) const;

    // Databases that are known to hold point, which the primary of term has in its log, in such a
    // way that a majority of them cannot lose it: they were at term and had received an entry of
    // term at or after point. A point of an older term, as the repeated answer to a write shows,
    // needs the entry that began term.
    std::size_t copiesOf(LogPoint point, Term term) const;

    // Upper bound of the age that data read at database now has: as old as the database says, plus
    // the time since it was asked, and no younger than the moment its term is known to have held,
    // as a primary cut off from a successor tells its replicas that they are up to date. Nothing if
    // it is not known.
    std::optional<Duration> ageBound(const DatabaseView &database, Instant now) const;

private:
    DatabaseView *findMutable(const DatabaseId &database);

    GroupId m_group;
    std::vector<DatabaseView> m_databases;
    TermHistory m_history;
};

} // namespace fescuespring
