#include "promotion/promoter.h"

#include <algorithm>

// Promoter: fencing the databases and choosing the next primary.

namespace fescuespring {

PromotionActions Promoter::fence(Instant now)
{
    enter(PromotionStep::Fencing, m_options.fenceTimeout, now);
    m_majorityAt.reset();
    for (Member &member : m_members)
        member.fenced.reset();
    return tickFencing(now);
}

PromotionActions Promoter::tickFencing(Instant now)
{
    if (isFencingDone(now))
        return choose(now);
    if (now < m_nextRepeat)
        return {};
    scheduleRepeat(m_options.callRetry, now);
    PromotionActions actions;
    for (const Member &member : m_members) {
        if (!member.fenced)
            actions.push_back(databaseCall(PromotionActionKind::Fence, member.database));
    }
    return actions;
}

std::size_t Promoter::fencedCount() const
{
    const auto count = std::count_if(m_members.begin(), m_members.end(), [](const Member &member) {
        return member.fenced.has_value();
    });
    return static_cast<std::size_t>(count);
}

bool Promoter::isFencingDone(Instant now) const
{
    if (fencedCount() == m_members.size())
        return true;
    if (!m_majorityAt)
        return false;
    if (m_request.kind == PromotionKind::Planned) {
        const bool isLeavingFenced =
                std::any_of(m_members.begin(), m_members.end(), [&](const Member &member) {
                    return member.database == m_request.leaving && member.fenced;
                });
        return isLeavingFenced || now >= m_stepDeadline;
    }
    if (!m_request.avoid.isEmpty() && !mayAvoid())
        return now >= m_stepDeadline;
    return now >= *m_majorityAt + m_options.fenceGrace;
}

// Whether the database to avoid can safely be excluded: the other fenced databases are a majority.
bool Promoter::mayAvoid() const
{
    const auto others =
            std::count_if(m_members.begin(), m_members.end(), [&](const Member &member) {
                return member.fenced && member.database != m_request.avoid;
            });
    return static_cast<std::size_t>(others) >= m_members.size() / 2 + 1;
}

const Promoter::Member *Promoter::mostAdvancedFenced() const
{
    const bool isAvoiding = mayAvoid();
    const Member *best = nullptr;
    for (const Member &member : m_members) {
        if (!member.fenced || (isAvoiding && member.database == m_request.avoid))
            continue;
        const bool isBetter = !best || member.fenced->received > best->fenced->received
                              || (member.fenced->received == best->fenced->received && best->leaving
                                  && !member.leaving);
        if (isBetter)
            best = &member;
    }
    return best;
}

PromotionActions Promoter::choose(Instant now)
{
    addPartTime(&PromotionReport::fence, now);
    m_chosen = mostAdvancedFenced()->database;
    enter(PromotionStep::Promoting, m_options.promoteTimeout, now);
    scheduleRepeat(m_options.callRetry, now);
    return {databaseCall(PromotionActionKind::Promote, m_chosen)};
}

PromotionActions Promoter::statusReceived(const DatabaseStatus &status, Instant askedAt,
                                          Instant now)
{
    Member *sender = member(status.database);
    if (!sender || !isCallingDatabases())
        return {};
    if (status.term > m_term)
        return end(PromotionEnd::Outbid, now);
    if (m_step == PromotionStep::CatchingUp && askedAt >= m_drainedAt) {
        sender->latest = status;
        return catchUp(now);
    }
    if (m_step == PromotionStep::Fencing && status.term == m_term) {
        sender->fenced = status;
        if (!m_majorityAt && fencedCount() >= m_members.size() / 2 + 1)
            m_majorityAt = now;
        return tickFencing(now);
    }
    const bool isChosen = m_step == PromotionStep::Promoting && status.database == m_chosen;
    if (isChosen && status.term == m_term && isPrimaryOfItsTerm(status))
        return promoted(status, now);
    return {};
}

PromotionActions Promoter::promoted(const DatabaseStatus &status, Instant now)
{
    addPartTime(&PromotionReport::promote, now);
    m_primaryStatus = status;
    PromotionActions actions;
    for (const Member &member : m_members) {
        if (member.database == m_chosen)
            continue;
        PromotionAction follow = databaseCall(PromotionActionKind::Follow, member.database);
        follow.primary = m_chosen;
        actions.push_back(std::move(follow));
    }
    PromotionActions ending = end(PromotionEnd::Promoted, now);
    actions.insert(actions.end(), ending.begin(), ending.end());
    m_step = PromotionStep::Recording;
    PromotionActions recording = m_stored ? writeRecord(now) : readRecord(now);
    actions.insert(actions.end(), recording.begin(), recording.end());
    return actions;
}

} // namespace fescuespring
