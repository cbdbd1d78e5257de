#pragma once

#include "base/types.h"
#include "statements/statement.h"

#include <cstddef>
#include <cstdint>
#include <functional>
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

        // Number of databases besides the previous primary that may hold commits, and of all that
        // may, including recently lost ones.
        std::size_t otherMembers = 0;
        std::size_t members = 0;

        // The last entry of the log with which the previous term began, if known.
        std::optional<LogPoint> base = {};

        // The change takes so long that a log beyond base is preferred to no primary.
        bool isOverdue = false;

        // Replicas that have received a commit before it is acknowledged.
        std::uint32_t synchronousReplicas = 0;
    };

    explicit SuccessorChoice(Facts facts);

    // The database with the most advanced log among those that may be promoted; null if none may.
    //
    // A candidate must have taken part in the previous term: any other one lacks its commits, and
    // may have entries that the promotion at its start dropped. Without one, a database of an
    // earlier term may be promoted once all databases of the group reply and none is of the
    // previous term, as those that were are gone; and only if its log is not beyond base, unless
    // that is unknown or the change is overdue. The rule does not apply to planned changes without
    // a candidate of the term, to groups of one database, and where commits need replicas: there
    // holdsAcknowledgedCommits decides.
    const DatabaseAnswer *mostAdvanced(const DatabaseAnswers &answers) const;

    // Whether the promotion of this candidate discards what was committed in the previous term.
    bool discardsTerm(const DatabaseAnswer &candidate) const;

    // The highest term that a replica reports; 0 if none replied.
    Term newestFollowedTerm(const DatabaseAnswers &answers) const;

    // A database that leads the previous term and is not draining: the previous primary, if it has
    // restarted under another name, or if no other database that replies is of its term. Null
    // unless every queried database replies and none reports a later term; otherwise another one
    // may have been promoted in the meantime.
    const DatabaseAnswer *returnedPrimary(const DatabaseAnswers &answers) const;

    // Whether a majority of the group accepts no further entries of the previous term.
    bool isMajorityStopped(const DatabaseAnswers &answers) const;

    // Whether the candidate is known to hold every commit that was acknowledged after
    // synchronousReplicas replicas had received it. It does if it has the whole log of the stopped
    // primary and no database that replies is ahead of it; or if too few replicas are left that
    // could hold more than it does: all others accept no further entries and are not ahead of it.
    // True if commits need no replica.
    bool holdsAcknowledgedCommits(const DatabaseAnswer &candidate,
                                  const DatabaseAnswers &answers) const;

    // Whether a replica that is not leaving has received the primary's log up to this point.
    bool isFollowed(const DatabaseAnswers &answers, LogPoint point) const;

    // Whether every database of the group but the previous primary replied.
    bool haveOthersReplied(const DatabaseAnswers &answers) const;

private:
    bool isPrevious(const DatabaseAnswer &answer) const;
    bool isOfTerm(const DatabaseAnswer &answer) const;
    bool mustBeOfTerm() const;
    bool isTermGone(const DatabaseAnswers &answers) const;
    const DatabaseAnswer *
    mostAdvancedOf(const DatabaseAnswers &answers,
                   const std::function<bool(const DatabaseAnswer &)> &mayLead) const;
    const DatabaseAnswer *mostAdvancedOfEarlierTerms(const DatabaseAnswers &answers) const;

    // Whether a replica accepts no further entries of the previous term.
    bool isPaused(const DatabaseAnswer &answer) const;

    Facts m_facts;
};

} // namespace fescuespring::detail
