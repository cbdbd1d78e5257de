// Where the requests of RequestRunner go: routing, queues, and routing again.

#include "requestlimits.h"
#include "requestrunner.h"
#include "routing/writerouter.h"
#include "scheduling/fingerprint.h"

#include <algorithm>
#include <cassert>

namespace fescuespring {

namespace {

// Requests that may wait for a primary, a replica to catch up, or held writes.
constexpr std::size_t maximumParked = 20000;

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
        refuse(run, {run.parkedFor == Reason::None ? Reason::DeadlinePassed : run.parkedFor,
                     primaryRetryAfter});
        return;
    }
    if (run.isRead())
        routeRead(run);
    else
        routeWrite(run);
}

// Short work and long work wait in queues of their own: each kind is spread by its own load, else
// a few long jobs more at one database would push all short work to another.
void RequestRunner::tellLoads(WorkLength length)
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
    tellLoads(run.request().length);
    const ReadDecision decision = m_router.route(m_view, run.need, now);
    switch (decision.action) {
    case ReadAction::Serve:
        run.byReplica = decision.byReplica;
        run.needsConfirmation = decision.needsConfirmation;
        // Reads have no effect, so each attempt is a life of its own.
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
        m_prober.probeIdle();
        return;
    case ReadAction::Refuse:
        if (decision.reason == Reason::NoPrimary)
            park(run, now + parkedRecheck, Reason::NoPrimary);
        else
            refuse(run, {decision.reason, decision.retryAfter});
        return;
    }
}

void RequestRunner::routeWrite(RequestRun &run)
{
    const Instant now = EventLoop::now();
    if (m_holdWrites) {
        park(run, now + parkedRecheck, Reason::NoPrimary);
        return;
    }
    const WriteDecision decision =
            fescuespring::routeWrite(m_view, primaryRetryAfter, run.need.point);
    if (decision.reason == Reason::HistoryDiscarded) {
        refuse(run, {decision.reason});
        return;
    }
    if (decision.action == WriteAction::Refuse) {
        // A change of primary takes a moment: the caller's deadline says how long it waits for it.
        park(run, now + parkedRecheck, decision.reason);
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
    if (!m_hooks.forward || run.owned.hop >= maximumHops || dataCentre == m_options.dataCentre) {
        park(run, EventLoop::now() + parkedRecheck, Reason::NoOwner);
        return;
    }
    OwnerRequest request = std::move(run.owned);
    request.request.deadline = timeLeft(run);
    // An earlier attempt at this owner may have run although the other owner runs nothing.
    if (run.life && run.life->attempts() > 1) {
        request.answer = [answer = std::move(request.answer)](CallerAnswer reply) {
            if (reply.outcome == Outcome::NotRun)
                reply.outcome = Outcome::Unknown;
            answer(std::move(reply));
        };
    }
    m_runs.erase(run.id);
    m_hooks.forward(dataCentre, std::move(request));
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
    // What waits counts as well, else the router would send everything to the same database.
    m_view.sent(run.database);
}

// A queue that stands because its database cannot be reached is no overload: the request waits for
// another database or a change of primary, as its deadline allows.
void RequestRunner::dropped(RequestRun &run, const Refusal &refusal)
{
    if (run.queued)
        m_view.lost(run.database);
    run.queued.reset();
    const auto executor = m_executors.find(run.database);
    const bool isUnreachable = executor != m_executors.end() && !executor->second->isConnected();
    if (isUnreachable && refusal.reason == Reason::QueueFull)
        park(run, EventLoop::now() + parkedRecheck, Reason::UpstreamUnreachable);
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
    run.parkedFor = reason;
    ++m_parked;
}

// A call that is open at a database which does not answer probes any more, or under a term that is
// over, would stay open until its deadline: its connection is given up, and what may be repeated is
// routed again.
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
        take(run, run.life->connectionLost());
    }
}

bool RequestRunner::isStalled(const RequestRun &run) const
{
    if (!run.isRead())
        return m_view.isSuperseded(run.term);
    const DatabaseView *database = m_view.find(run.database);
    return database == nullptr || !database->reachable;
}

// Work that waits at a database which has been replaced or cannot be reached would wait there until
// its deadline: it is routed again.
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
