#include "leadership/successorchoice.h"

#include <algorithm>
#include <utility>

namespace fescuespring::detail {

SuccessorChoice::SuccessorChoice(Facts facts)
    : m_facts(std::move(facts))
{}

bool SuccessorChoice::isPrevious(const DatabaseAnswer &answer) const
{
    return answer.database == m_facts.previousPrimary;
}

bool SuccessorChoice::isPaused(const DatabaseAnswer &answer) const
{
    return answer.status && answer.status->heldTerm > m_facts.previousTerm;
}

// A demoted primary may report the term of the DEMOTE, which is later.
bool SuccessorChoice::isOfTerm(const DatabaseAnswer &answer) const
{
    return answer.status && answer.status->term >= m_facts.previousTerm;
}

bool SuccessorChoice::mustBeOfTerm() const
{
    return m_facts.members > 1 && m_facts.synchronousReplicas == 0;
}

// Whether every database that may be of the previous term replies, and none is.
bool SuccessorChoice::isTermGone(const DatabaseAnswers &answers) const
{
    const auto earlier = std::ranges::count_if(answers, [this](const DatabaseAnswer &answer) {
        return answer.status && !isOfTerm(answer);
    });
    const auto count = static_cast<std::size_t>(earlier);
    return count == answers.size() && count >= m_facts.members;
}

const DatabaseAnswer *
SuccessorChoice::mostAdvancedOf(const DatabaseAnswers &answers,
                                const std::function<bool(const DatabaseAnswer &)> &mayLead) const
{
    const DatabaseAnswer *best = nullptr;
    for (const DatabaseAnswer &answer : answers) {
        if (!answer.status || m_facts.refused.contains(answer.database) || !mayLead(answer))
            continue;
        if (!best || answer.status->received > best->status->received
            || (answer.status->received == best->status->received && best->isDraining))
            best = &answer;
    }
    return best;
}

const DatabaseAnswer *SuccessorChoice::mostAdvanced(const DatabaseAnswers &answers) const
{
    // The previous primary is leaving, was lost, or is being replaced: it is excluded from a
    // planned change, and from any other change if more than one database was queried.
    const auto mayReplace = [this, &answers](const DatabaseAnswer &answer) {
        return !isPrevious(answer) || (!m_facts.isPlanned && answers.size() == 1);
    };
    if (!mustBeOfTerm())
        return mostAdvancedOf(answers, mayReplace);
    const DatabaseAnswer *best = mostAdvancedOf(answers, [&](const DatabaseAnswer &answer) {
        return mayReplace(answer) && isOfTerm(answer);
    });
    if (best)
        return best;
    if (m_facts.isPlanned)
        return mostAdvancedOf(answers, mayReplace);
    // The previous primary, stopped by this change or returned as a replica.
    best = mostAdvancedOf(answers, [this](const DatabaseAnswer &answer) {
        return isOfTerm(answer) && answer.status->role == Role::Replica;
    });
    return best || !isTermGone(answers) ? best : mostAdvancedOfEarlierTerms(answers);
}

const DatabaseAnswer *
SuccessorChoice::mostAdvancedOfEarlierTerms(const DatabaseAnswers &answers) const
{
    return mostAdvancedOf(answers, [this](const DatabaseAnswer &answer) {
        return !m_facts.base || m_facts.isOverdue || answer.status->received <= *m_facts.base;
    });
}

bool SuccessorChoice::discardsTerm(const DatabaseAnswer &candidate) const
{
    return mustBeOfTerm() && !isOfTerm(candidate);
}

Term SuccessorChoice::newestFollowedTerm(const DatabaseAnswers &answers) const
{
    Term newest;
    for (const DatabaseAnswer &answer : answers) {
        const bool follows =
                !isPrevious(answer) && answer.status && answer.status->role == Role::Replica;
        newest = std::max(newest, follows ? answer.status->term : Term());
    }
    return newest;
}

const DatabaseAnswer *SuccessorChoice::returnedPrimary(const DatabaseAnswers &answers) const
{
    const DatabaseAnswer *returned = nullptr;
    std::size_t ofTerm = 0;
    for (const DatabaseAnswer &answer : answers) {
        if (!answer.status || answer.status->term > m_facts.previousTerm)
            return nullptr;
        ofTerm += isOfTerm(answer) ? 1 : 0;
        if (answer.status->role == Role::Primary && answer.status->term == m_facts.previousTerm)
            returned = &answer;
    }
    if (!returned || returned->isDraining)
        return nullptr;
    const bool isOnlyOne = ofTerm == 1 && mustBeOfTerm() && !m_facts.isPlanned;
    return !isPrevious(*returned) || isOnlyOne ? returned : nullptr;
}

bool SuccessorChoice::isMajorityStopped(const DatabaseAnswers &answers) const
{
    const auto stopped = std::ranges::count_if(answers, [this](const DatabaseAnswer &answer) {
        const bool isDemoted =
                isPrevious(answer) && answer.status && answer.status->role == Role::Replica;
        return isDemoted || isPaused(answer);
    });
    return static_cast<std::size_t>(stopped) * 2 > m_facts.groupSize;
}

bool SuccessorChoice::holdsAcknowledgedCommits(const DatabaseAnswer &candidate,
                                               const DatabaseAnswers &answers) const
{
    if (m_facts.synchronousReplicas == 0)
        return true;
    if (!candidate.status)
        return false;
    const LogPoint held = candidate.status->received;
    // A replica is never ahead of its stopped primary, unless that has restarted: without its log,
    // or as the primary again.
    const bool isAnyAhead = std::ranges::any_of(answers, [held](const DatabaseAnswer &answer) {
        return answer.status && answer.status->received > held;
    });
    if (m_facts.previousPosition == held && !isAnyAhead)
        return true;
    std::size_t notAhead = 0;
    for (const DatabaseAnswer &answer : answers) {
        if (!isPrevious(answer) && isPaused(answer) && answer.status->received <= held)
            ++notAhead;
    }
    return notAhead + m_facts.synchronousReplicas > m_facts.otherMembers;
}

bool SuccessorChoice::isFollowed(const DatabaseAnswers &answers, LogPoint point) const
{
    return std::ranges::any_of(answers, [this, point](const DatabaseAnswer &answer) {
        return !isPrevious(answer) && !answer.isDraining && answer.status
               && answer.status->received >= point;
    });
}

bool SuccessorChoice::haveOthersReplied(const DatabaseAnswers &answers) const
{
    const auto replied = std::ranges::count_if(answers, [this](const DatabaseAnswer &answer) {
        return !isPrevious(answer) && answer.status.has_value();
    });
    return static_cast<std::size_t>(replied) >= m_facts.otherMembers;
}

} // namespace fescuespring::detail
