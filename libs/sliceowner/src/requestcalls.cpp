// Database calls of RequestRunner, from the dispatch of a request to its confirmed answer.

#include "requestlimits.h"
#include "requestrunner.h"

#include <algorithm>

namespace fescuespring {

namespace {

// How often a read is routed again because its database fell behind after the routing decision.
constexpr unsigned maximumReroutes = 5;

ConfirmationId confirmationOf(RunId id)
{
    return ConfirmationId(id);
}

} // namespace

void RequestRunner::start(RunId id, std::unique_ptr<ConnectionLease> lease)
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end()) {
        lease->release(ConnectionState::Clean, false);
        return;
    }
    RequestRun &run = *found->second;
    run.queued.reset();
    const bool isHeld = m_holdWrites && !run.isRead();
    // The primary may have changed while the request was queued.
    const bool isStale = !run.isRead() && run.term != m_view.highestTerm();
    if (isHeld || isStale) {
        m_view.lost(run.database);
        lease->release(ConnectionState::Clean, false);
        route(id);
        return;
    }
    run.lease = std::move(lease);
    run.sentAt = EventLoop::now();
    if (!run.isRead())
        ++m_writesInFlight;
    sendNext(run);
}

void RequestRunner::sendNext(RequestRun &run)
{
    const CallerRequest &request = run.request();
    const CallKind kind = run.life->nextCall();
    StatementCall call{.kind = kind,
                       .access = request.access,
                       .term = run.term,
                       .id = request.id,
                       .idempotent = request.access == Access::Read || request.idempotent};
    if (kind == CallKind::Run || kind == CallKind::Statement)
        call.statement = request.statements[run.life->statement()];
    run.life->sending();
    run.lease->call(call, timeLeft(run),
                    [this, id = run.id](const Result<StatementAnswer> &answer) {
                        callAnswered(id, answer);
                    });
}

void RequestRunner::callAnswered(RunId id, const Result<StatementAnswer> &answer)
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end())
        return;
    RequestRun &run = *found->second;
    if (!answer) {
        m_view.lost(run.database);
        const bool isTimeout = answer.error().code == ErrorCode::Timeout;
        apply(run, isTimeout ? run.life->deadlinePassed() : run.life->connectionLost());
        return;
    }
    const CallKind kind = run.life->nextCall();
    run.lastAnswer = answer.value();
    const RequestVerdict verdict = run.life->answered(run.lastAnswer);
    const bool hasResult = kind == CallKind::Run || kind == CallKind::Statement;
    const bool isTransaction = run.request().statements.size() > 1;
    if (run.lastAnswer.outcome == CallOutcome::Done && run.lastAnswer.repeated && isTransaction)
        run.results = splitRecordedResults(run.lastAnswer.result, run.request().statements.size());
    else if (run.lastAnswer.outcome == CallOutcome::Done && hasResult)
        run.results.push_back(run.lastAnswer.result);
    if (verdict.step != RequestStep::SendNext)
        recordAnswer(run);
    apply(run, verdict);
}

// The router needs the response time of short work, so long work is not recorded as an answer.
void RequestRunner::recordAnswer(const RequestRun &run)
{
    if (run.lease->isLong())
        m_view.lost(run.database);
    else
        m_view.answered(run.database, EventLoop::now() - run.sentAt);
}

void RequestRunner::apply(RequestRun &run, const RequestVerdict &verdict)
{
    switch (verdict.step) {
    case RequestStep::SendNext:
        sendNext(run);
        return;
    case RequestStep::Confirm:
        releaseLease(run, verdict.closeConnection);
        awaitConfirmation(run);
        return;
    case RequestStep::Retry:
        releaseLease(run, verdict.closeConnection);
        retry(run, verdict.reason);
        return;
    case RequestStep::Finish:
        releaseLease(run, verdict.closeConnection);
        finish(run, verdict);
        return;
    }
}

void RequestRunner::releaseLease(RequestRun &run, bool dirty)
{
    if (!run.lease)
        return;
    const std::unique_ptr<ConnectionLease> lease = std::move(run.lease);
    if (!run.isRead())
        --m_writesInFlight;
    lease->release(dirty ? ConnectionState::Dirty : ConnectionState::Clean, !dirty);
}

void RequestRunner::awaitConfirmation(RequestRun &run)
{
    const Instant now = EventLoop::now();
    Confirmation confirmation{.id = confirmationOf(run.id),
                              .term = run.term,
                              .since = run.isRead() ? run.ownerRequest.receivedAt : now,
                              .deadline = run.deadline};
    if (!run.isRead() && run.durability == Durability::Replicated)
        confirmation.durablePoint = run.lastAnswer.point;
    m_confirmer.await(confirmation);
    advanceConfirmations(now);
}

void RequestRunner::confirmed(const ConfirmationResult &result)
{
    const auto found = m_runs.find(result.id.value());
    if (found == m_runs.end())
        return;
    RequestRun &run = *found->second;
    if (result.outcome == ConfirmationOutcome::NotDurableInTime && m_writeNotReplicated)
        m_writeNotReplicated();
    apply(run, run.life->confirmed(result.outcome));
}

void RequestRunner::retry(RequestRun &run, Reason reason)
{
    m_count.retried[static_cast<std::size_t>(reason)]->add();
    if (run.isRead() && ++run.reroutes > maximumReroutes) {
        refuse(run, {reason, primaryRetryAfter});
        return;
    }
    // The usual cause is a change of primary that this view does not contain yet.
    m_prober.probeAll();
    park(run, EventLoop::now() + parkedRecheckInterval, reason);
}

std::chrono::milliseconds RequestRunner::timeLeft(const RequestRun &run) const
{
    const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(run.deadline - EventLoop::now());
    return std::max(left, std::chrono::milliseconds(1));
}

void RequestRunner::advanceConfirmations(Instant now)
{
    for (const ConfirmationResult &result : m_confirmer.advance(m_view, now))
        confirmed(result);
    if (!m_confirmer.startRound(now))
        return;
    m_count.confirmationRounds->add();
    m_prober.probeAll();
}

} // namespace fescuespring
