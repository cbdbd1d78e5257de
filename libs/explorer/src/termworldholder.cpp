#include "explorer/termworld.h"

#include "termworldnames.h"

#include <algorithm>

// The holder of the promotion lock and the platform in a TermWorld. The steps are those of
// LeadershipChange, without its waits.

namespace fescuespring {

using detail::DatabaseAnswer;
using detail::DatabaseAnswers;
using detail::SuccessorChoice;
using detail::termDatabase;
using detail::termDatabaseIndex;

// A primary that can be reached is stopped, and reports its position.
void TermWorld::announce()
{
    --m_options.changes;
    m_record.isChanging = true;
    m_order.reset();
    m_previousPosition.reset();
    const std::size_t previous = termDatabaseIndex(m_record.primary);
    if (!isReachable(previous) || m_nodes[previous].role != Role::Primary)
        return;
    m_nodes[previous].role = Role::Replica;
    m_previousPosition = status(previous).received;
}

DatabaseAnswers TermWorld::pauseAll()
{
    DatabaseAnswers answers;
    for (std::size_t i = 0; i < databaseCount; ++i) {
        Node &node = m_nodes[i];
        if (node.isGone)
            continue;
        DatabaseAnswer answer{.database = termDatabase(i)};
        if (isReachable(i)) {
            if (node.role == Role::Replica && answer.database != m_record.primary)
                node.heldTerm = std::max(node.heldTerm, m_record.term.next());
            answer.status = status(i);
        }
        answers.push_back(answer);
    }
    return answers;
}

SuccessorChoice TermWorld::successorChoice() const
{
    const auto members = static_cast<std::size_t>(
            std::ranges::count_if(m_nodes, [](const Node &node) { return !node.isGone; }));
    const bool isPreviousGone = m_nodes[termDatabaseIndex(m_record.primary)].isGone;
    // Without other members the rule does not apply.
    const bool isRuleBroken = m_options.broken == TermWorldBreak::IgnoreTerms;
    return SuccessorChoice({.previousPrimary = m_record.primary,
                            .previousTerm = m_record.term,
                            .previousPosition = m_previousPosition,
                            .groupSize = members,
                            .otherMembers = members - (isPreviousGone ? 0 : 1),
                            .members = isRuleBroken ? 1 : members,
                            .base = m_record.base,
                            .synchronousReplicas = m_options.synchronousReplicas});
}

// A primary that was stopped leads again after a restart, and is stopped again.
void TermWorld::checkPreviousPrimary()
{
    const std::size_t previous = termDatabaseIndex(m_record.primary);
    if (!m_previousPosition || !isReachable(previous))
        return;
    m_nodes[previous].role = Role::Replica;
    m_previousPosition = status(previous).received;
}

bool TermWorld::adoptLaterTerm(const SuccessorChoice &choice, const DatabaseAnswers &answers)
{
    for (const DatabaseAnswer &answer : answers) {
        const bool leadsLater = answer.status && answer.status->role == Role::Primary
                                && answer.status->term > m_record.term
                                && answer.status->term >= choice.newestFollowedTerm(answers);
        if (!leadsLater)
            continue;
        const bool isBase = answer.status->received.term < answer.status->term;
        record(termDatabaseIndex(answer.database),
               isBase ? std::optional(answer.status->received) : std::nullopt);
        return true;
    }
    if (choice.newestFollowedTerm(answers) <= m_record.term)
        return false;
    m_record.term = choice.newestFollowedTerm(answers);
    m_record.base.reset();
    m_previousPosition.reset();
    return true;
}

void TermWorld::round()
{
    m_now += pauseToEffectTime;
    const DatabaseAnswers answers = pauseAll();
    if (adoptLaterTerm(successorChoice(), answers))
        return;
    checkPreviousPrimary();
    const SuccessorChoice choice = successorChoice();
    if (const DatabaseAnswer *returned = choice.returnedPrimary(answers)) {
        for (Node &node : m_nodes)
            node.heldTerm = node.isUp && !node.isCut ? Term() : node.heldTerm;
        record(termDatabaseIndex(returned->database), m_record.base);
        return;
    }
    const DatabaseAnswer *best = choice.mostAdvanced(answers);
    if (best && !choice.holdsAcknowledgedCommits(*best, answers)) {
        awaitAcknowledgedCommits();
        return;
    }
    if (!best || !choice.isMajorityStopped(answers))
        return;
    m_order = Order{.database = termDatabaseIndex(best->database),
                    .isUnbounded = choice.discardsTerm(*best) && !m_record.base};
    m_isHolderOfOrder = true;
}

// The previous primary is stopped if it can be reached, and the replicas go on receiving its log.
void TermWorld::awaitAcknowledgedCommits()
{
    const std::size_t previous = termDatabaseIndex(m_record.primary);
    if (isReachable(previous)) {
        m_nodes[previous].role = Role::Replica;
        m_previousPosition = status(previous).received;
    }
    if (!m_previousPosition)
        return;
    for (Node &node : m_nodes)
        node.heldTerm = node.isUp && !node.isCut ? Term() : node.heldTerm;
}

// A promotion starts the next term with what the database has, and ends every pause.
void TermWorld::takeEffect()
{
    m_order->isInFlight = false;
    Node &chosen = m_nodes[m_order->database];
    const bool leads = m_primary == m_order->database && chosen.role == Role::Primary;
    if (!chosen.isUp || leads)
        return;
    m_now += pauseToEffectTime;
    checkPromotion(chosen, *m_order);
    m_term = m_term.next();
    m_primary = m_order->database;
    chosen.role = Role::Primary;
    chosen.term = m_term;
    for (Node &node : m_nodes)
        node.heldTerm = Term();
}

void TermWorld::checkPromotion(const Node &chosen, const Order &order)
{
    if (m_options.synchronousReplicas > 0) {
        checkAcknowledgedWrites(chosen);
        return;
    }
    for (std::size_t i = 0; i < m_writes.size(); ++i) {
        const Write &write = m_writes[i];
        const bool isHeld = holds(chosen, i);
        const bool mayReturn = std::ranges::any_of(
                m_nodes, [this, i](const Node &node) { return !node.isGone && holds(node, i); });
        const bool isDiscarded =
                write.isAcknowledged && write.term > chosen.term && !isHeld && mayReturn;
        if (isDiscarded)
            m_violation = "a promotion discarded the newest term";
        else if (isHeld && write.isDropped && !order.isUnbounded && !m_violation)
            m_violation = "a dropped write is in force again";
    }
}

void TermWorld::checkAcknowledgedWrites(const Node &chosen)
{
    for (std::size_t i = 0; i < m_writes.size(); ++i) {
        if (m_writes[i].isAcknowledged && !holds(chosen, i))
            m_violation = "a promotion dropped an acknowledged write";
    }
}

bool TermWorld::canRecord() const
{
    if (!m_order || m_order->isInFlight || !m_isHolderOfOrder || !m_record.isChanging)
        return false;
    const Node &chosen = m_nodes[m_order->database];
    return isReachable(m_order->database) && chosen.role == Role::Primary
           && chosen.term > m_record.term;
}

void TermWorld::record(std::size_t database, std::optional<LogPoint> base)
{
    const Node &node = m_nodes[database];
    for (std::size_t i = 0; i < m_writes.size(); ++i) {
        if (m_writes[i].term < node.term && !holds(node, i))
            m_writes[i].isDropped = true;
    }
    m_record.isChanging = false;
    m_record.primary = termDatabase(database);
    m_record.term = node.term;
    m_record.base = base;
    m_order.reset();
    m_isHolderOfOrder = false;
    m_previousPosition.reset();
}

} // namespace fescuespring
