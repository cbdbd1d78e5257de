#include "statementrun.h"

#include <algorithm>
#include <utility>

// Handling of the outcomes of attempts, and completion of a StatementRun.

namespace fescuespring::detail {

namespace {

constexpr Duration evidenceRetryInterval = std::chrono::milliseconds(50);
constexpr Duration busyRetryDelay = std::chrono::milliseconds(15);

// Time for a late reply after the run has ended, before the connection is released.
constexpr Duration lateReplyTimeout = std::chrono::milliseconds(1000);

} // namespace

void StatementRun::ended(const AttemptPtr &attempt, const LinkOutcome &outcome)
{
    attempt->isEnded = true;
    if (!m_session) {
        attempt->lease.release();
        return;
    }
    if (outcome.end == LinkEnd::Answered) {
        upstreams().databaseTimes().add(now() - attempt->sentAt);
        upstreams().recordReply(m_route.group, attempt->database, outcome.reply, outcome.sentAt);
    }
    if (outcome.floor)
        upstreams().recordSharedFloor(m_route.group, *outcome.floor);
    if (outcome.end == LinkEnd::Lost || outcome.end == LinkEnd::NotSent) {
        lost(attempt, outcome);
        return;
    }
    if (outcome.end == LinkEnd::Answered && outcome.reply.isSuccess()) {
        succeeded(attempt, outcome.reply);
        return;
    }
    failedReply(attempt, outcome.reply);
}

void StatementRun::lost(const AttemptPtr &attempt, const LinkOutcome &outcome)
{
    const bool isPinned = attempt->pool == nullptr;
    attempt->lease.release();
    m_lastMessage = "no connection to the database, or it was lost: " + outcome.reply.message;
    if (outcome.end == LinkEnd::Lost && commitsWrites()) {
        fail(StatementFailure::InDoubt, m_lastMessage);
        return;
    }
    if (isPinned) {
        failedInTransaction({.failure = StatementFailure::Aborted, .message = m_lastMessage});
        return;
    }
    m_lastFailure = StatementFailure::Busy;
    m_excluded.insert(attempt->database);
    if (m_retryTimer == 0)
        retryAfter(needsPrimary() ? primaryRetryDelay : Duration(0));
}

void StatementRun::failedReply(const AttemptPtr &attempt, const StatementReply &reply)
{
    const bool isPinned = attempt->pool == nullptr;
    if (isPinned) {
        const bool mayRepeat = reply.failure == StatementFailure::Busy
                               && reply.phase == SessionPhase::InTransaction
                               && now() + busyRetryDelay < m_deadline;
        m_session->m_transaction->lease = std::move(attempt->lease);
        if (mayRepeat)
            retryAfter(busyRetryDelay);
        else
            failedInTransaction(reply);
        return;
    }
    attempt->lease.release();
    const bool readFailed = isReadOnly() && reply.failure == StatementFailure::Failed;
    if (!meansNotRun(reply.failure) && !readFailed) {
        fail(reply.failure, reply.message);
        return;
    }
    m_lastFailure = reply.failure;
    m_lastMessage = reply.message;
    if (reply.failure == StatementFailure::Lagging)
        handleLagging(attempt, reply);
    else if (!needsPrimary())
        m_excluded.insert(attempt->database);
    if (m_retryTimer == 0 && !m_isRefreshingFloor)
        retryAfter(needsPrimary() ? busyRetryDelay : Duration(0));
}

void StatementRun::handleLagging(const AttemptPtr &attempt, const StatementReply &reply)
{
    m_excluded.insert(attempt->database);
    const auto primary = upstreams().usablePrimary(m_route.group);
    const bool isFromPrimary =
            primary == attempt->database
            && upstreams().leadership().isLeading(m_route.group, *primary, now());
    if (!isFromPrimary || !reply.position)
        return;
    // A commit that is missing at the primary was discarded by a change of primary.
    if (m_session->m_lastCommit && *m_session->m_lastCommit > *reply.position)
        m_session->m_lastCommit.reset();
    if (m_session->m_lastCommit && m_session->m_lastCommit->term < reply.position->term)
        m_session->m_lastCommit.reset();
}

void StatementRun::failedInTransaction(const StatementReply &reply)
{
    StatementReply answer = reply;
    const bool ended = m_statement.kind == StatementKind::Commit
                       && (reply.phase == SessionPhase::Idle || !m_session->m_transaction->lease);
    answer.phase = ended ? SessionPhase::Idle : SessionPhase::Failed;
    if (answer.failure == StatementFailure::Failed && reply.phase == SessionPhase::InTransaction)
        answer.phase = SessionPhase::InTransaction;
    if (answer.phase != SessionPhase::InTransaction)
        m_session->m_transaction->lease.release();
    finish(answer);
}

void StatementRun::succeeded(const AttemptPtr &attempt, const StatementReply &reply)
{
    m_servedBy = attempt->database;
    if (m_isConfirming) {
        attempt->lease.release();
        return;
    }
    const bool isPinned = attempt->pool == nullptr;
    if (isPinned && m_statement.kind != StatementKind::Commit) {
        m_session->m_transaction->hasWritten |= isWrite();
        m_session->m_transaction->lease = std::move(attempt->lease);
        deliver(reply);
        return;
    }
    if (commitsWrites()) {
        m_session->m_lastCommit = reply.position;
        confirmThenDeliver(attempt, reply);
        return;
    }
    if (isPinned) {
        deliver(reply);
        return;
    }
    if (needsPrimary())
        confirmThenDeliver(attempt, reply);
    else {
        keepOrReleaseConnection(attempt);
        deliver(reply);
    }
}

void StatementRun::keepOrReleaseConnection(const AttemptPtr &attempt)
{
    const bool staysOpen = isInTransaction() && m_statement.kind != StatementKind::Commit;
    if (!staysOpen) {
        attempt->lease.release();
        return;
    }
    m_session->m_transaction->hasWritten |= isWrite();
    m_session->m_transaction->database = attempt->database;
    m_session->m_transaction->lease = std::move(attempt->lease);
}

bool StatementRun::commitsWrites() const
{
    if (m_statement.kind == StatementKind::Commit)
        return m_session->m_transaction->hasWritten;
    return isWrite() && !isInTransaction();
}

void StatementRun::confirmThenDeliver(const AttemptPtr &attempt, const StatementReply &reply)
{
    m_isConfirming = true;
    // Collecting evidence needs a connection too, and this may be the only one.
    if (commitsWrites() || !isInTransaction())
        attempt->lease.release();
    confirm(attempt, reply);
}

void StatementRun::confirm(const AttemptPtr &attempt, const StatementReply &reply)
{
    const auto done = [weak = weak_from_this(), attempt, reply](bool isConfirmed) {
        const auto self = weak.lock();
        if (self && self->m_session)
            self->confirmed(attempt, reply, isConfirmed);
        else
            attempt->lease.release();
    };
    // A commit proves that the database led the term in the reply's position; a read proves no
    // leadership.
    if (commitsWrites() && reply.position)
        upstreams().confirmCommit(m_route.group, attempt->database, *reply.position,
                                  attempt->sentAt, done);
    else
        upstreams().confirmLeadership(m_route.group, attempt->database, done);
}

void StatementRun::confirmed(const AttemptPtr &attempt, const StatementReply &reply,
                             bool isConfirmed)
{
    const bool commits = commitsWrites();
    if (isConfirmed) {
        m_isConfirming = false;
        if (!commits)
            keepOrReleaseConnection(attempt);
        deliver(reply);
        return;
    }
    if (!commits) {
        m_isConfirming = false;
        attempt->lease.release();
        m_lastMessage = "the leadership of the primary could not be confirmed";
        retryAfter(primaryRetryDelay);
        return;
    }
    // Evidence from any later time is sufficient, so retry until the deadline.
    upstreams().context().timers.after(evidenceRetryInterval,
                                       [weak = weak_from_this(), attempt, reply] {
                                           const auto self = weak.lock();
                                           if (self && self->m_session)
                                               self->confirm(attempt, reply);
                                       });
}

void StatementRun::deadlinePassed()
{
    m_deadlineTimer = 0;
    if (!m_session)
        return;
    if (m_wasSent && now() < m_deadline) {
        scheduleDeadline(m_deadline);
        return;
    }
    const bool isUnanswered =
            m_isConfirming
            || std::any_of(m_attempts.begin(), m_attempts.end(), [](const AttemptPtr &attempt) {
                   return attempt->isSent && !attempt->isEnded;
               });
    if (commitsWrites() && isUnanswered) {
        fail(StatementFailure::InDoubt, "no answer within the timeout");
        return;
    }
    if (isInTransaction() && !hasNoPinnedConnection()) {
        fail(m_lastFailure, m_lastMessage);
        return;
    }
    fail(isUnanswered ? StatementFailure::TimedOut : m_lastFailure,
         isUnanswered ? "no answer within the timeout" : m_lastMessage);
}

void StatementRun::endForStop()
{
    const bool mayHaveCommitted = commitsWrites() && m_wasSent;
    fail(mayHaveCommitted ? StatementFailure::InDoubt : StatementFailure::Aborted,
         "this VM is stopping");
}

void StatementRun::fail(StatementFailure failure, const std::string &message)
{
    const bool isCommit = m_statement.kind == StatementKind::Commit;
    const bool failsTransaction = isInTransaction() && !isCommit;
    finish({.failure = failure,
            .message = message,
            .phase = failsTransaction ? SessionPhase::Failed : SessionPhase::Idle});
}

void StatementRun::deliver(const StatementReply &reply)
{
    StatementReply answer = reply;
    const bool staysOpen = isInTransaction() && m_statement.kind != StatementKind::Commit;
    answer.phase = staysOpen ? SessionPhase::InTransaction : SessionPhase::Idle;
    finish(answer);
}

void StatementRun::finish(const StatementReply &reply)
{
    const auto self = shared_from_this();
    StatementSession *session = m_session;
    logEnd(reply);
    abandon();
    if (reply.phase == SessionPhase::Idle)
        session->m_transaction.reset();
    session->m_phase = reply.phase;
    session->m_run.reset();
    session->reply(reply);
}

void StatementRun::abandon()
{
    Timers &timers = upstreams().context().timers;
    timers.cancel(std::exchange(m_deadlineTimer, 0));
    timers.cancel(std::exchange(m_retryTimer, 0));
    timers.cancel(std::exchange(m_hedgeTimer, 0));
    timers.cancel(std::exchange(m_holdTimer, 0));
    dropQueuedAttempts();
    for (const AttemptPtr &attempt : m_attempts) {
        if (!attempt->isSent || attempt->isEnded)
            continue;
        // The database is still busy; the connection is released on its reply or after the timeout.
        timers.after(lateReplyTimeout, [weak = std::weak_ptr(attempt)] {
            if (const auto late = weak.lock())
                late->lease.release();
        });
    }
    m_session = nullptr;
}

void StatementRun::logEnd(const StatementReply &reply) const
{
    Counters &counters = upstreams().context().counters;
    if (reply.isSuccess()) {
        counters.counter("fescuespring_statements_served_total").add();
        upstreams().servedTimes().add(now() - m_startedAt);
        return;
    }
    counters.counter("fescuespring_statements_refused_total", "reason", toString(reply.failure))
            .add();
    const LeadershipView &leadership = upstreams().leadership();
    const auto primary = leadership.primary(m_route.group);
    const auto askedAt = leadership.askedAt();
    upstreams().context().log.info(
            "statement-failed",
            {{"id", m_id},
             {"kind", toString(m_statement.kind)},
             {"group", m_route.group},
             {"route", m_route.name},
             {"customer", m_customer},
             {"configuration", m_configuration},
             {"reason", toString(reply.failure)},
             {"message", reply.message},
             {"database", m_attempts.empty() ? DatabaseId() : m_attempts.back()->database},
             {"tries", m_tries},
             {"transaction", isInTransaction()},
             {"primary", primary ? primary->database : DatabaseId()},
             {"term", leadership.knownTerm(m_route.group)},
             {"moving", primary && primary->isChanging},
             {"records-age", askedAt ? now() - *askedAt : Duration(-1)},
             {"age", now() - m_startedAt}});
}

} // namespace fescuespring::detail
