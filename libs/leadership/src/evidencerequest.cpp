#include "leadership/evidencerequest.h"

#include "leadership/promotionbounds.h"

namespace fescuespring {

Instant TermEvidence::Request::pollAt(std::size_t index) const
{
    const Ballot &ballot = ballots[index];
    if (!ballot.polledAt)
        return askedAt + firstPoll;
    const bool mustHold = !isPrimary(index) && (commit || !electorate.needsAllVotes);
    const bool isEnough = mustHold ? ballot.holds : ballot.agrees;
    // A database that is leaving is asked once, as it may report a later term.
    const bool cannotConfirm = !electorate.voters[index].counts && ballot.status;
    if (isEnough || cannotConfirm)
        return Instant::max();
    const unsigned doublings = std::min(ballot.polls - 1, 10U);
    return *ballot.polledAt + std::min(interval * (1U << doublings), longestInterval);
}

void TermEvidence::Request::polled(const DatabaseId &database, Instant now)
{
    for (std::size_t i = 0; i < ballots.size(); ++i) {
        if (electorate.voters[i].database != database)
            continue;
        ballots[i].polledAt = now;
        ++ballots[i].polls;
    }
}

void TermEvidence::Request::count(const DatabaseId &database, const UpstreamStatus &status)
{
    highestTerm = std::max(highestTerm, status.term);
    if (database == primary) {
        isStopped = status.role != Role::Primary;
        if (!leader && !isStopped)
            leader = status;
    }
    for (std::size_t i = 0; i < ballots.size(); ++i) {
        if (electorate.voters[i].database == database)
            ballots[i].status = status;
        // The answer of the primary may come last, and decides which term the others confirm.
        Ballot &ballot = ballots[i];
        if (!ballot.status)
            continue;
        ballot.agrees = ballot.agrees || agrees(i, *ballot.status);
        const bool holdsNow = holds(i, *ballot.status);
        ballot.holds = ballot.holds || holdsNow;
        // Leadership is a statement about the time of the request: no promotion can drop it later.
        const bool showsNoPause = !commit || wouldReportPause(*ballot.status, sentAt);
        ballot.excludesPause = ballot.excludesPause || (holdsNow && showsNoPause);
    }
}

std::optional<Term> TermEvidence::Request::term() const
{
    if (commit)
        return commit->term;
    return leader ? std::optional(leader->term) : std::nullopt;
}

bool TermEvidence::Request::agrees(std::size_t index, const UpstreamStatus &status) const
{
    // A database that is leaving would have been promoted in sight of this VM, too; but the list
    // may lack the one that takes its place if it is outdated.
    const bool counts = electorate.voters[index].counts || (!commit && !electorate.needsAllVotes);
    if (!term() || !counts)
        return false;
    if (isPrimary(index))
        return status.role == Role::Primary && status.term == *term();
    return status.term <= *term() && status.heldTerm <= *term();
}

// An entry of an earlier term proves nothing: the log of a replica may have entries that the
// promotion at the start of this term has dropped.
bool TermEvidence::Request::holds(std::size_t index, const UpstreamStatus &status) const
{
    if (!electorate.voters[index].counts || !agrees(index, status))
        return false;
    if (isPrimary(index))
        return true;
    if (status.received.term != *term())
        return false;
    return commit ? status.received >= *commit : status.received > leader->received;
}

std::size_t TermEvidence::Request::votes(bool Ballot::*vote) const
{
    return static_cast<std::size_t>(
            std::ranges::count_if(ballots, [vote](const Ballot &ballot) { return ballot.*vote; }));
}

bool TermEvidence::Request::isDenied() const
{
    return (!commit && isStopped) || (term() && highestTerm > *term());
}

bool TermEvidence::Request::isConfirmed() const
{
    if (isDenied() || electorate.size < 2)
        return false;
    const bool isMajorityEnough =
            !electorate.needsAllVotes && isMajority(votes(&Ballot::excludesPause));
    const bool hasAll = votes(commit ? &Ballot::holds : &Ballot::agrees) >= electorate.size;
    return (isMajorityEnough && (commit || leader)) || hasAll;
}

bool TermEvidence::Request::isDecided() const
{
    return isDenied() || isConfirmed();
}

TermEvidence::Outcome TermEvidence::Request::outcome() const
{
    const bool isUncontested =
            !isDenied() && leader && electorate.size > 1 && isMajority(votes(&Ballot::agrees));
    Outcome outcome{
            .isConfirmed = isConfirmed(), .isUncontested = isUncontested, .askedAt = askedAt};
    for (std::size_t i = 0; commit && i < ballots.size(); ++i) {
        if (ballots[i].holds)
            outcome.holders.push_back(electorate.voters[i].database);
    }
    if (leader) {
        outcome.primaryTerm = leader->term;
        outcome.primaryPosition = leader->received;
    }
    return outcome;
}

} // namespace fescuespring
