#pragma once

#include "base/types.h"
#include "statements/statement.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace fescuespring::detail {

// The reply of one database to a status, pause or demote request.
struct DatabaseAnswer
{
    DatabaseId database;
    bool isDraining = false;

    // Empty if it did not reply in time.
    std::optional<UpstreamStatus> status = {};
};

using DatabaseAnswers = std::vector<DatabaseAnswer>;

// Chooses the successor of a primary from one round of replies. Every decision of a change of
// primary that depends on what the databases report is made here.
//
//     const SuccessorChoice choice({.previousPrimary = record.primary, ...});
//     if (const DatabaseAnswer *best = choice.mostAdvanced(answers))
//         ...
//
// Pure functions of their arguments. Pointers that they return point into the replies.
class SuccessorChoice
{
public:
    struct Facts
    {
        DatabaseId previousPrimary;

        // The term that it led.
        Term previousTerm;

        // The last entry of its log, once it is known to be stopped.
        std::optional<LogPoint> previousPosition = {};
        bool isPlanned = false;

        // Databases that the platform refused to promote.
        std::set<DatabaseId> refused = {};

        // Number of databases in the group, including recently lost ones.
        std::size_t groupSize = 0;

        // Number of databases besides the previous primary that may hold commits.
        std::size_t otherMembers = 0;

        // Replicas that have received a commit before it is acknowledged.
        std::uint32_t synchronousReplicas = 0;
    };

    explicit SuccessorChoice(Facts facts);

    // The database with the most advanced log among those that may be promoted; null if none may.
    const DatabaseAnswer *mostAdvanced(const DatabaseAnswers &answers) const;

    // The previous primary if it has restarted under another name, that is, a database that leads
    // the previous term and is not draining. Null unless every queried database replies and none
    // reports a later term; otherwise another one may have been promoted in the meantime.
    const DatabaseAnswer *returnedPrimary(const DatabaseAnswers &answers) const;

    // Whether a majority of the group accepts no further entries of the previous term.
    bool isMajorityStopped(const DatabaseAnswers &answers) const;

    // Whether the candidate is known to hold every commit that was acknowledged after
    // synchronousReplicas replicas had received it. It does if it has the whole log of the stopped
    // primary; or if too few replicas are left that could hold more than it does: all others accept
    // no further entries and are not ahead of it. True if commits need no replica.
    bool holdsAcknowledgedCommits(const DatabaseAnswer &candidate,
                                  const DatabaseAnswers &answers) const;

    // Whether a replica that is not leaving has received the primary's log up to this point.
    bool isFollowed(const DatabaseAnswers &answers, LogPoint point) const;

    // Whether every database of the group but the previous primary replied.
    bool haveOthersReplied(const DatabaseAnswers &answers) const;

private:
    bool isPrevious(const DatabaseAnswer &answer) const;

    // Whether a replica accepts no further entries of the previous term.
    bool isPaused(const DatabaseAnswer &answer) const;

    Facts m_facts;
};

} // namespace fescuespring::detail
