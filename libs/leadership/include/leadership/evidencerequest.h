#pragma once

#include "leadership/termevidence.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace fescuespring {

// One request of a TermEvidence, and the votes for it. Decides which answers count. Sends nothing
// and reads no clock, so that a model can explore it.
//
//     request.polled(database, now);
//     request.count(database, status);
//     if (request.isDecided())
//         request.done(request.outcome());
struct TermEvidence::Request
{
    // What one database has reported since the request.
    struct Ballot
    {
        // When it was last asked, and how often.
        std::optional<Instant> polledAt = {};
        unsigned polls = 0;
        std::optional<UpstreamStatus> status = {};

        // It was once neither in a later term nor paused for one; and it held the log up to the
        // point of the request then.
        bool agrees = false;
        bool holds = false;

        // It held the log, and had run for so long that it would report a pause from before the
        // commit.
        bool excludesPause = false;
    };

    DatabaseId primary;

    // The point of the commit, and when its statement was sent; empty for leadership.
    std::optional<LogPoint> commit = {};
    Instant sentAt = {};
    Duration firstPoll = {};
    Duration interval = {};
    Duration longestInterval = {};
    Done done;
    Instant askedAt = {};
    Instant deadline = {};
    Electorate electorate = {};
    std::vector<Ballot> ballots = {};

    // First answer of the primary that leads, and highest term that any database has reported.
    std::optional<UpstreamStatus> leader = {};
    Term highestTerm = {};
    bool isStopped = false;

    // When a database is to be asked next; never if it has nothing to add.
    Instant pollAt(std::size_t index) const;
    void polled(const DatabaseId &database, Instant now);
    void count(const DatabaseId &database, const UpstreamStatus &status);
    bool isDecided() const;
    Outcome outcome() const;

private:
    bool isPrimary(std::size_t index) const
    {
        return electorate.voters[index].database == primary;
    }
    std::optional<Term> term() const;
    bool isDenied() const;
    bool isConfirmed() const;
    bool isMajority(std::size_t votes) const
    {
        return votes * 2 > electorate.size;
    }
    bool agrees(std::size_t index, const UpstreamStatus &status) const;
    bool holds(std::size_t index, const UpstreamStatus &status) const;
    std::size_t votes(bool Ballot::*vote) const;
};

} // namespace fescuespring
