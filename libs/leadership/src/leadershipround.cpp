#include "leadershipchange.h"
#include "pausedreplicas.h"

#include <algorithm>
#include <utility>

// The rounds of replies of a LeadershipChange: the requests to the databases, and what follows from
// their replies until one is chosen.

namespace fescuespring::detail {

namespace {

// Time after which a change that finds only logs beyond the base of the previous term promotes one.
constexpr Duration overdueTime = std::chrono::seconds(60);

} // namespace

// Requests the status of each database, or pauses each but the previous primary, and continues with
// the replies.
void LeadershipChange::query(const std::vector<SuccessionCandidate> &candidates, bool mustPause,
                             void (LeadershipChange::*evaluate)(const DatabaseAnswers &))
{
    m_roundBeganAt = now();
    m_wereRecordsObsolete = areOldRecordsObsolete();
    const auto answers = std::make_shared<DatabaseAnswers>();
    for (const SuccessionCandidate &candidate : candidates) {
        Statement statement{.kind = StatementKind::Status};
        if (mustPause && candidate.database != m_record.primary) {
            statement = {.kind = StatementKind::Pause, .term = m_previousTerm.next()};
            m_owner->m_paused->add(m_group, candidate.database, statement.term);
        }
        m_owner->m_ports.command(
                candidate.database, statement, commandTimeout,
                [weak = weak_from_this(), answers, evaluate, requested = candidates.size(),
                 candidate](const std::optional<StatementReply> &reply) {
                    const auto self = weak.lock();
                    if (!self || !self->canContinue())
                        return;
                    answers->push_back(
                            {candidate.database, candidate.isDraining,
                             reply && reply->isSuccess() ? reply->status : std::nullopt});
                    if (answers->size() == requested)
                        (self.get()->*evaluate)(*answers);
                });
    }
}

SuccessorChoice LeadershipChange::successorChoice() const
{
    return SuccessorChoice(
            {.previousPrimary = m_record.primary,
             .previousTerm = m_previousTerm,
             .previousPosition = m_previousPosition,
             .isPlanned = m_options.isPlanned,
             .refused = m_refused,
             .groupSize = m_owner->m_ports.groupSize(m_group),
             .otherMembers = m_owner->m_ports.otherMembers(m_group, m_record.primary),
             .members = m_owner->m_ports.otherMembers(m_group, DatabaseId()),
             .base = knownBase(),
             .isOverdue = now() - m_owner->changeBeganAt(m_group) > overdueTime,
             .synchronousReplicas = synchronousReplicas()});
}

// Resumes the replicas that this change or an earlier one paused.
bool LeadershipChange::resumePaused(const DatabaseAnswers &answers)
{
    bool hasPaused = false;
    for (const DatabaseAnswer &answer : answers)
        hasPaused |= resumeIfPaused(answer.database, answer.status, m_previousTerm, commandTimeout);
    m_mustNotPause = true;
    return hasPaused;
}

// The returned primary has its log, so nothing is lost, and the platform still treats it as the
// primary. It is recorded as such once no promotion can take effect any more and the replicas have
// resumed.
void LeadershipChange::keepReturnedPrimary(const DatabaseId &database,
                                           const DatabaseAnswers &answers)
{
    if (!mayPromote() || isPromotionPending()) {
        after(stepRetry, &LeadershipChange::queryDatabases);
        return;
    }
    if (resumePaused(answers)) {
        after(stepRetry, &LeadershipChange::queryDatabases);
        return;
    }
    m_owner->m_options.log.info("returned-primary-kept", {{"group", m_group},
                                                          {"database", database},
                                                          {"term", m_previousTerm},
                                                          {"former", m_record.primary},
                                                          {"age", now() - m_startedAt}});
    recordPrimary(database, m_previousTerm, knownBase());
}

void LeadershipChange::evaluateAnswers(const DatabaseAnswers &answers)
{
    if (adoptLaterTerm(answers))
        return;
    if (previousLeadsAgain(answers)) {
        stopPreviousPrimary();
        return;
    }
    const SuccessorChoice choice = successorChoice();
    if (const DatabaseAnswer *returned = choice.returnedPrimary(answers)) {
        keepReturnedPrimary(returned->database, answers);
        return;
    }
    const DatabaseAnswer *best = choice.mostAdvanced(answers);
    if (!best) {
        awaitTerm(answers);
        return;
    }
    const bool isBehind = m_previousPosition && best->status->received < *m_previousPosition;
    const bool isStaying = !best->isDraining;
    if ((isBehind || !isStaying) && now() < m_catchUpUntil) {
        after(stepRetry / 2, &LeadershipChange::queryDatabases);
        return;
    }
    // Without the reply of each replica, pausing them would not show which commits are safe.
    const bool isLogNeeded = isBehind && synchronousReplicas() > 0;
    if (isLogNeeded && !m_isCatchUpOver && !choice.haveOthersReplied(answers)) {
        awaitAcknowledgedCommits(*best, answers);
        return;
    }
    if (m_previousPosition && !m_isCatchUpOver) {
        m_isCatchUpOver = true;
        queryDatabases();
        return;
    }
    if (!choice.holdsAcknowledgedCommits(*best, answers)) {
        awaitAcknowledgedCommits(*best, answers);
        return;
    }
    if (!choice.isMajorityStopped(answers)) {
        m_owner->m_options.counters.counter("fescuespring_changes_without_majority_total").add();
        after(stepRetry, &LeadershipChange::queryDatabases);
        return;
    }
    m_chosen = best->database;
    m_chosenPosition = best->status->received;
    m_isDiscardingTerm = choice.discardsTerm(*best);
    promoteWhenSafe(answers);
}

// Whether the previous primary leads again although this change had stopped it, as a restart undoes
// that. What it reports now replaces what it reported when it was stopped.
bool LeadershipChange::previousLeadsAgain(const DatabaseAnswers &answers)
{
    const auto previous = std::ranges::find(answers, m_record.primary, &DatabaseAnswer::database);
    if (!m_previousPosition || previous == answers.end() || !previous->status)
        return false;
    if (previous->status->role == Role::Replica) {
        m_previousPosition = previous->status->received;
        return false;
    }
    m_owner->m_options.log.warning(
            "stopped-primary-leads-again",
            {{"group", m_group}, {"database", m_record.primary}, {"term", m_previousTerm}});
    m_previousPosition.reset();
    m_isCatchUpOver = false;
    return true;
}

// Records a primary of a later term. If only a replica reports a later term, its primary is out of
// reach, and that term is the one to replace. It is announced, so that a change which goes on after
// the replica is out of reach too does not fall back to an earlier term.
bool LeadershipChange::adoptLaterTerm(const DatabaseAnswers &answers)
{
    const DatabaseAnswer *leader = nullptr;
    for (const DatabaseAnswer &answer : answers) {
        const bool leadsLater = answer.status && answer.status->role == Role::Primary
                                && answer.status->term > m_previousTerm;
        if (leadsLater && (!leader || answer.status->term > leader->status->term))
            leader = &answer;
    }
    const Term followed = successorChoice().newestFollowedTerm(answers);
    if (leader && leader->status->term >= followed) {
        const UpstreamStatus &status = *leader->status;
        const bool isBase = status.received.term < status.term;
        recordPrimary(leader->database, status.term,
                      isBase ? std::optional(status.received) : std::nullopt);
        return true;
    }
    if (followed <= m_previousTerm)
        return false;
    m_owner->m_options.log.info(
            "later-term-followed",
            {{"group", m_group}, {"term", followed}, {"previous-term", m_previousTerm}});
    m_previousTerm = followed;
    m_previousPosition.reset();
    announce();
    return true;
}

// No database that replies may be promoted: it would discard what the previous term committed.
void LeadershipChange::awaitTerm(const DatabaseAnswers &answers)
{
    if (m_refused.empty() && !std::exchange(m_hasLoggedWait, true)) {
        m_owner->m_options.counters.counter("fescuespring_changes_without_term_total").add();
        m_owner->m_options.log.warning("promotion-waits-for-term", {{"group", m_group},
                                                                    {"term", m_previousTerm},
                                                                    {"previous", m_record.primary},
                                                                    {"answers", answers.size()},
                                                                    {"age", now() - m_startedAt}});
    }
    m_refused.clear();
    after(stepRetry * 2, &LeadershipChange::queryDatabases);
}

// Commits that were acknowledged may be missing at every database that could be promoted: waits for
// one that holds them, a replica or the previous primary. If the previous primary is stopped, the
// replicas go on receiving its log, but not while a promotion may take effect: it would drop what
// they receive.
void LeadershipChange::awaitAcknowledgedCommits(const DatabaseAnswer &best,
                                                const DatabaseAnswers &answers)
{
    if (!std::exchange(m_hasLoggedWait, true)) {
        m_owner->m_options.counters.counter("fescuespring_changes_without_commits_total").add();
        m_owner->m_options.log.warning(
                "promotion-waits-for-commits",
                {{"group", m_group},
                 {"best", best.database},
                 {"position", best.status->received.position},
                 {"previous", m_record.primary},
                 {"previous-position", m_previousPosition.value_or(LogPoint()).position},
                 {"answers", answers.size()},
                 {"age", now() - m_startedAt}});
    }
    m_refused.clear();
    if (isPromotionPending()) {
        after(stepRetry, &LeadershipChange::queryDatabases);
        return;
    }
    const auto previous = std::ranges::find(answers, m_record.primary, &DatabaseAnswer::database);
    const bool hasReturned = previous != answers.end() && previous->status;
    if (hasReturned && previous->status->role == Role::Replica && !m_previousPosition)
        m_previousPosition = previous->status->received;
    const bool mustStop = hasReturned && previous->status->role == Role::Primary;
    if (!m_previousPosition && !mustStop) {
        after(stepRetry, &LeadershipChange::queryDatabases);
        return;
    }
    resumePaused(answers);
    if (std::exchange(m_isCatchUpOver, false))
        m_catchUpUntil = now() + catchUpTime;
    after(stepRetry,
          mustStop ? &LeadershipChange::stopPreviousPrimary : &LeadershipChange::queryDatabases);
}

} // namespace fescuespring::detail
