#include "successorchoice.h"

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

const DatabaseAnswer *SuccessorChoice::mostAdvanced(const DatabaseAnswers &answers) const
{
    const DatabaseAnswer *best = nullptr;
    for (const DatabaseAnswer &answer : answers) {
        if (!answer.status || m_facts.refused.contains(answer.database))
            continue;
        // The previous primary is leaving, was lost, or is being replaced: it is excluded from a
        // planned change, and from any other change if more than one database was queried.
        if (isPrevious(answer) && (m_facts.isPlanned || answers.size() > 1))
            continue;
        if (!best || answer.status->received > best->status->received
            || (answer.status->received == best->status->received && best->isDraining))
            best = &answer;
    }
    return best;
}

const DatabaseAnswer *SuccessorChoice::returnedPrimary(const DatabaseAnswers &answers) const
{
    const DatabaseAnswer *returned = nullptr;
    for (const DatabaseAnswer &answer : answers) {
        if (!answer.status || answer.status->term > m_facts.previousTerm)
            return nullptr;
        if (answer.status->role == Role::Primary && answer.status->term == m_facts.previousTerm)
            returned = &answer;
    }
    const bool isOther = returned && !isPrevious(*returned);
    return isOther && !returned->isDraining ? returned : nullptr;
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
    // A replica is never ahead of its primary, unless that restarted without its log.
    if (m_facts.previousPosition == held)
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
