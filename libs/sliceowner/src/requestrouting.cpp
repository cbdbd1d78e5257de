// Routing, queueing and rerouting of the requests of RequestRunner.

#include "requestlimits.h"
#include "requestrunner.h"
#include "routing/writerouter.h"
#include "scheduling/fingerprint.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fescuespring {

namespace {

// Maximum number of requests that wait for a primary, for a replica to catch up, or for held writes
// to be released.
constexpr std::size_t maximumParked = 20000;

using Answer = std::function<void(CallerAnswer)>;

// For a request that may have run before: NotRun of a later attempt does not cover earlier ones.
Answer withoutNotRun(Answer answer)
{
    return [answer = std::move(answer)](CallerAnswer reply) {
        if (reply.outcome == Outcome::NotRun)
            reply.outcome = Outcome::Unknown;
        answer(std::move(reply));
    };
}

} // namespace

void RequestRunner::route(RunId id)
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end())
        return;
    RequestRun &run = *found->second;
    if (run.parkedUntil) {
        run.parkedUntil.reset();
        --m_parked;
    }
    if (EventLoop::now() >= run.deadline) {
        refuse(run, {run.parkedReason == Reason::None ? Reason::DeadlinePassed : run.parkedReason,
                     primaryRetryAfter});
        return;
    }
    if (run.isRead())
        routeRead(run);
    else
        routeWrite(run);
}

// Sets the load of each database from work of the given length only. Short and long work have
// separate queues; with a common load, a few long jobs at one database would divert all short work
// to another.
void RequestRunner::updateLoads(WorkLength length)
{
    for (const auto &[database, executor] : m_executors) {
        const SchedulerLoad load = executor->scheduler().load();
        const std::uint32_t longWork = load.queuedLong + load.runningLong;
        const std::uint32_t allWork = load.queued + load.running;
        m_view.setInFlight(database, length == WorkLength::Long ? longWork : allWork - longWork);
    }
}

void RequestRunner::routeRead(RequestRun &run)
{
    const Instant now = EventLoop::now();
    updateLoads(run.request().length);
    const ReadDecision decision = m_router.route(m_view, run.need, now);
    switch (decision.action) {
    case ReadAction::Serve:
        run.byReplica = decision.byReplica;
        run.needsConfirmation = decision.needsConfirmation;
        // Reads have no effect, so each attempt starts with a new state.
        run.life.emplace(traits(run));
        send(run, decision.database,
             decision.needsConfirmation ? decision.term : m_view.highestTerm());
        return;
    case ReadAction::ProbeFirst:
        park(run, decision.until, Reason::NoPrimary);
        m_prober.probeAll();
        return;
    case ReadAction::Wait:
        park(run, decision.until, Reason::DeadlinePassed);
        m_prober.probeWithoutPending();
        return;
    case ReadAction::Refuse:
        if (decision.reason == Reason::NoPrimary)
            park(run, now + parkedRecheckInterval, Reason::NoPrimary);
        else
            refuse(run, {decision.reason, decision.retryAfter});
        return;
    }
}

void RequestRunner::routeWrite(RequestRun &run)
{
    const Instant now = EventLoop::now();
    if (m_holdWrites) {
        park(run, now + parkedRecheckInterval, Reason::NoPrimary);
        return;
    }
    const WriteDecision decision =
            fescuespring::routeWrite(m_view, primaryRetryAfter, run.need.point);
    if (decision.reason == Reason::HistoryDiscarded) {
        refuse(run, {decision.reason});
        return;
    }
    if (decision.action == WriteAction::Refuse) {
        // A change of primary may be under way: wait for it until the caller's deadline.
        park(run, now + parkedRecheckInterval, decision.reason);
        return;
    }
    if (!run.life)
        run.life.emplace(traits(run));
    run.byReplica = false;
    run.needsConfirmation = true;
    send(run, decision.database, decision.term);
}

RequestTraits RequestRunner::traits(const RequestRun &run) const
{
    return {.access = run.request().access,
            .idempotent = run.request().idempotent,
            .statements = run.request().statements.size(),
            .needsConfirmation = !run.isRead() || run.needsConfirmation};
}

void RequestRunner::send(RequestRun &run, const DatabaseId &database, Term term)
{
    run.database = database;
    run.term = term;
    run.results.clear();
    const auto executor = m_executors.find(database);
    if (executor != m_executors.end()) {
        enqueue(run, *executor->second);
        return;
    }
    const DatabaseView *view = m_view.find(database);
    assert(view != nullptr);
    forward(run, view->site.dataCentre);
}

void RequestRunner::forward(RequestRun &run, const DataCentreId &dataCentre)
{
    if (run.ownerRequest.hop >= maximumHops) {
        // The owner that forwarded the request can still forward it to the new primary.
        refuse(run, {Reason::PrimaryReplaced, primaryRetryAfter});
        return;
    }
    if (!m_hooks.forward || dataCentre == m_options.dataCentre) {
        park(run, EventLoop::now() + parkedRecheckInterval, Reason::NoOwner);
        return;
    }
    const std::chrono::milliseconds left = timeLeft(run);
    const bool mayHaveRun = run.life && run.life->attempts() > 1;
    OwnerRequest original = std::move(run.ownerRequest);
    m_runs.erase(run.id);
    if (mayHaveRun)
        original.answer = withoutNotRun(std::move(original.answer));
    OwnerRequest request = original;
    request.request.deadline = left;
    request.answer = [this, alive = std::weak_ptr(m_alive),
                      original = std::move(original)](CallerAnswer reply) {
        if (alive.expired())
            original.answer(std::move(reply));
        else
            forwardAnswered(original, std::move(reply));
    };
    m_hooks.forward(dataCentre, std::move(request));
}

// Routes the request again if the other owner handed it back because the primary has moved on.
void RequestRunner::forwardAnswered(OwnerRequest original, CallerAnswer reply)
{
    const Instant deadline = original.receivedAt + original.request.deadline;
    const bool isRepeatable = reply.outcome == Outcome::NotRun
                              || (reply.outcome == Outcome::Unknown && original.request.idempotent);
    const bool hasTime = EventLoop::now() + parkedRecheckInterval < deadline;
    if (reply.reason != Reason::PrimaryReplaced || !isRepeatable || !hasTime) {
        original.answer(std::move(reply));
        return;
    }
    m_count.retried[static_cast<std::size_t>(reply.reason)]->add();
    if (reply.outcome == Outcome::Unknown)
        original.answer = withoutNotRun(std::move(original.answer));
    m_prober.probeAll();
    m_loop.after(parkedRecheckInterval, [this, alive = std::weak_ptr(m_alive), original,
                                         reply = std::move(reply)]() mutable {
        if (alive.expired())
            original.answer(std::move(reply));
        else
            submit(std::move(original));
    });
}

void RequestRunner::enqueue(RequestRun &run, DatabaseExecutor &executor)
{
    const CallerRequest &request = run.request();
    ExecutorJob job{.work = {.plan = run.planId,
                             .customer = request.customer,
                             .length = request.length,
                             .fingerprint = requestFingerprint(request.statements),
                             .deadline = run.deadline}};
    job.run = [this, id = run.id](std::unique_ptr<ConnectionLease> lease) {
        start(id, std::move(lease));
    };
    job.drop = [this, id = run.id](const Refusal &refusal) {
        const auto found = m_runs.find(id);
        if (found != m_runs.end())
            dropped(*found->second, refusal);
    };
    const Submission submission = executor.submit(std::move(job));
    if (!submission) {
        dropped(run, submission.error());
        return;
    }
    run.queued = submission.value();
    // Queued requests count too, otherwise the router would send everything to the same database.
    m_view.sent(run.database);
}

// A queue that is full because its database is unreachable is not an overload: the request is
// parked until another database or a change of primary is available, or its deadline passes.
void RequestRunner::dropped(RequestRun &run, const Refusal &refusal)
{
    if (run.queued)
        m_view.lost(run.database);
    run.queued.reset();
    const auto executor = m_executors.find(run.database);
    const bool isUnreachable = executor != m_executors.end() && !executor->second->isConnected();
    if (isUnreachable && refusal.reason == Reason::QueueFull)
        park(run, EventLoop::now() + parkedRecheckInterval, Reason::UpstreamUnreachable);
    else
        refuse(run, refusal);
}

void RequestRunner::park(RequestRun &run, Instant until, Reason reason)
{
    if (m_parked >= maximumParked) {
        refuse(run, {Reason::QueueFull, primaryRetryAfter});
        return;
    }
    run.parkedUntil = std::min(until, run.deadline);
    m_nextParked = std::min(m_nextParked, *run.parkedUntil);
    run.parkedReason = reason;
    ++m_parked;
}

// Abandons calls to databases that no longer answer probes and calls under an outdated term, which
// would otherwise stay open until their deadline. Their connections are closed, and requests that
// may be repeated are routed again.
void RequestRunner::abandonStalled()
{
    std::vector<RunId> stalled;
    for (const auto &[id, run] : m_runs) {
        if (run->lease && isStalled(*run))
            stalled.push_back(id);
    }
    std::sort(stalled.begin(), stalled.end());
    for (const RunId id : stalled) {
        const auto found = m_runs.find(id);
        if (found == m_runs.end())
            continue;
        RequestRun &run = *found->second;
        m_view.lost(run.database);
        apply(run, run.life->connectionLost());
    }
}

bool RequestRunner::isStalled(const RequestRun &run) const
{
    if (!run.isRead())
        return m_view.isSuperseded(run.term);
    const DatabaseView *database = m_view.find(run.database);
    return database == nullptr || !database->reachable;
}

// Reroutes work that is queued at a replaced or unreachable database, where it would otherwise wait
// until its deadline.
void RequestRunner::withdrawMisrouted()
{
    std::vector<RunId> withdrawn;
    for (const auto &[id, run] : m_runs) {
        if (!run->queued || !isMisrouted(*run))
            continue;
        const auto executor = m_executors.find(run->database);
        if (executor == m_executors.end() || !executor->second->withdraw(*run->queued))
            continue;
        run->queued.reset();
        m_view.lost(run->database);
        withdrawn.push_back(id);
    }
    std::sort(withdrawn.begin(), withdrawn.end());
    for (const RunId id : withdrawn)
        route(id);
}

bool RequestRunner::isMisrouted(const RequestRun &run) const
{
    const DatabaseView *database = m_view.find(run.database);
    if (database == nullptr || !database->reachable)
        return true;
    if (run.isRead())
        return false;
    const std::optional<PrimaryView> primary = m_view.primary();
    return primary && (primary->database != run.database || primary->term != run.term);
}

void RequestRunner::wakeParked(Instant now, bool statusArrived)
{
    if (m_parked == 0 || (!statusArrived && now < m_nextParked))
        return;
    std::vector<RunId> due;
    m_nextParked = Instant::max();
    for (const auto &[id, run] : m_runs) {
        if (!run->parkedUntil)
            continue;
        if (statusArrived || *run->parkedUntil <= now)
            due.push_back(id);
        else
            m_nextParked = std::min(m_nextParked, *run->parkedUntil);
    }
    std::sort(due.begin(), due.end());
    for (const RunId id : due)
        route(id);
}

} // namespace fescuespring
