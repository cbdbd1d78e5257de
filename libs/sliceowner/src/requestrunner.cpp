#include "requestrunner.h"

#include "routing/writerouter.h"
#include "scheduling/fingerprint.h"

#include <algorithm>
#include <cassert>

namespace fescuespring {

namespace {

constexpr std::uint32_t maximumHops = 2;

// A read whose database fell back between the decision and the answer is routed again this often.
constexpr unsigned maximumReroutes = 5;

// Requests that may wait for a primary, a replica to catch up, or held writes.
constexpr std::size_t maximumParked = 20000;

// How often a parked request looks again although no status has arrived.
constexpr Duration parkedRecheck = std::chrono::milliseconds(50);

constexpr std::chrono::milliseconds primaryRetryAfter{200};

// A read rather waits this long for a replica to catch up than take a slot of the primary, which
// alone can take the writes.
constexpr Duration catchUpPatience = std::chrono::milliseconds(120);

ConfirmationId confirmationOf(RunId id)
{
    return ConfirmationId(id);
}

} // namespace

RequestRunner::RequestRunner(EventLoop &loop, Counters &counters, const SliceOwnerOptions &options,
                             const SliceHooks &hooks, GroupView &view, GroupProber &prober)
    : m_loop(loop)
    , m_counters(counters)
    , m_options(options)
    , m_hooks(hooks)
    , m_view(view)
    , m_prober(prober)
    , m_router({.dataCentre = options.dataCentre, .catchUpPatience = catchUpPatience})
{
    for (int i = 0; i < reasonCount; ++i) {
        const char *reason = toString(static_cast<Reason>(i));
        m_count.refused[i] = &counters.counter("fescuespring_not_run_total", "reason", reason);
        m_count.unknown[i] = &counters.counter("fescuespring_unknown_total", "reason", reason);
        m_count.retried[i] =
                &counters.counter("fescuespring_owner_retries_total", "reason", reason);
    }
    m_count.readsByReplica = &counters.counter("fescuespring_reads_total", "by", "replica");
    m_count.readsByPrimary = &counters.counter("fescuespring_reads_total", "by", "primary");
    m_count.writesDone = &counters.counter("fescuespring_writes_total");
    m_count.confirmationRounds = &counters.counter("fescuespring_confirmation_rounds_total");
}

RequestRunner::~RequestRunner()
{
    // Leases go back to their executors before those are destroyed.
    m_runs.clear();
}

void RequestRunner::setDatabases(const std::vector<SliceDatabase> &databases)
{
    std::map<DatabaseId, std::unique_ptr<DatabaseExecutor>> executors;
    for (const SliceDatabase &database : databases) {
        const DatabaseId &id = database.site.database;
        if (database.site.dataCentre != m_options.dataCentre)
            continue;
        const auto old = m_executors.find(id);
        const bool isSame = old != m_executors.end() && old->second->port() == m_prober.port(id);
        executors.emplace(id, isSame ? std::move(old->second) : makeExecutor(database));
    }
    for (auto &[id, executor] : m_executors) {
        if (!executor)
            continue;
        executor->stop();
        m_retired.push_back(std::move(executor));
    }
    m_executors = std::move(executors);
}

std::unique_ptr<DatabaseExecutor> RequestRunner::makeExecutor(const SliceDatabase &database)
{
    const DatabaseId &id = database.site.database;
    auto executor = std::make_unique<DatabaseExecutor>(
            m_loop, m_prober.port(id), m_counters,
            DatabaseExecutorOptions{
                    .database = id, .connections = database.connections, .slots = database.slots});
    executor->setPlans(m_lists->plans);
    executor->start();
    return executor;
}

void RequestRunner::setLists(std::shared_ptr<const PlanLists> lists)
{
    m_lists = std::move(lists);
    for (auto &[database, executor] : m_executors)
        executor->setPlans(m_lists->plans);
}

void RequestRunner::submit(OwnerRequest request)
{
    auto run = std::make_unique<RequestRun>();
    run->id = ++m_lastRun;
    run->owned = std::move(request);
    if (const std::optional<Refusal> refusal = admit(*run)) {
        refuse(*run, *refusal);
        return;
    }
    const RunId id = run->id;
    m_runs.emplace(id, std::move(run));
    route(id);
}

std::optional<Refusal> RequestRunner::admit(RequestRun &run)
{
    const CallerRequest &request = run.request();
    if (m_draining)
        return Refusal{Reason::Draining, primaryRetryAfter};
    const auto customer = m_lists->customers.find(request.customer);
    if (customer == m_lists->customers.end())
        return Refusal{Reason::UnknownCustomer};
    const auto plan = m_lists->plans.find(customer->second);
    if (plan == m_lists->plans.end())
        return Refusal{Reason::UnknownCustomer};
    const Result<SessionToken> token = decodeToken(request.token, m_hooks.tokenSigner);
    if (!token)
        return Refusal{Reason::InvalidToken};

    run.token = token.value();
    run.planId = plan->first;
    run.durability = plan->second.durability;
    run.deadline = run.owned.receivedAt + request.deadline;
    run.need = {.point = run.token.point(m_options.group),
                .maximumAge = request.maximumAge,
                .isLong = request.length == WorkLength::Long,
                .localOnly = run.owned.hop >= maximumHops,
                .receivedAt = run.owned.receivedAt,
                .deadline = run.deadline};
    // A plan's age holds only for sessions that have seen nothing of the group yet: what a session
    // has seen goes before what its plan accepts.
    if (!run.need.maximumAge && run.need.point.position == LogPosition())
        run.need.maximumAge = plan->second.maximumAge;
    return std::nullopt;
}

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
    case ReadAction::Learn:
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
        take(run, isTimeout ? run.life->deadlinePassed() : run.life->connectionLost());
        return;
    }
    const CallKind kind = run.life->nextCall();
    run.last = answer.value();
    const RequestVerdict verdict = run.life->answered(run.last);
    const bool hasResult = kind == CallKind::Run || kind == CallKind::Statement;
    const bool isTransaction = run.request().statements.size() > 1;
    if (run.last.outcome == CallOutcome::Done && run.last.repeated && isTransaction)
        run.results = splitRecordedResults(run.last.result, run.request().statements.size());
    else if (run.last.outcome == CallOutcome::Done && hasResult)
        run.results.push_back(run.last.result);
    if (verdict.step != RequestStep::SendNext)
        noteAnswered(run);
    take(run, verdict);
}

// Long work says nothing of how soon a database answers short work, which is what the router asks.
void RequestRunner::noteAnswered(const RequestRun &run)
{
    if (run.lease->isLong())
        m_view.lost(run.database);
    else
        m_view.answered(run.database, EventLoop::now() - run.sentAt);
}

void RequestRunner::take(RequestRun &run, const RequestVerdict &verdict)
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
                              .since = run.isRead() ? run.owned.receivedAt : now,
                              .deadline = run.deadline};
    if (!run.isRead() && run.durability == Durability::Replicated)
        confirmation.durablePoint = run.last.point;
    m_confirmer.await(confirmation);
    advanceConfirmations(now);
}

void RequestRunner::confirmed(const ConfirmationResult &result)
{
    const auto found = m_runs.find(result.id.value());
    if (found == m_runs.end())
        return;
    RequestRun &run = *found->second;
    if (result.outcome == ConfirmationOutcome::NotDurableInTime && m_writeLackedCopy)
        m_writeLackedCopy();
    take(run, run.life->confirmed(result.outcome));
}

void RequestRunner::retry(RequestRun &run, Reason reason)
{
    m_count.retried[static_cast<std::size_t>(reason)]->add();
    if (run.isRead() && ++run.reroutes > maximumReroutes) {
        refuse(run, {reason, primaryRetryAfter});
        return;
    }
    // The cause is most often a change of primary that this view has not seen yet.
    m_prober.probeAll();
    park(run, EventLoop::now() + parkedRecheck, reason);
}

void RequestRunner::finish(RequestRun &run, const RequestVerdict &verdict)
{
    if (verdict.outcome == Outcome::Done) {
        finishDone(run);
        return;
    }
    const bool isFailure = verdict.reason == Reason::StatementFailed;
    answer(run, {.outcome = verdict.outcome,
                 .reason = verdict.reason,
                 .results = isFailure ? std::vector{run.last.result} : std::vector<std::string>(),
                 .retryAfter = isFailure ? std::chrono::milliseconds(0) : primaryRetryAfter});
}

void RequestRunner::finishDone(RequestRun &run)
{
    const LogPoint point = run.last.point;
    if (run.isRead() && run.need.maximumAge) {
        const DatabaseView *database = m_view.find(run.database);
        const auto age =
                database == nullptr ? std::nullopt : m_view.ageBound(*database, EventLoop::now());
        if (run.byReplica && (!age || *age > *run.need.maximumAge)) {
            retry(run, Reason::TooOld);
            return;
        }
    } else if (run.isRead()) {
        const ReadCheck check = checkRead(m_view, run.need.point, run.last);
        if (check == ReadCheck::RouteAgain) {
            retry(run, Reason::TooOld);
            return;
        }
        if (check == ReadCheck::Discarded) {
            refuse(run, {Reason::HistoryDiscarded});
            return;
        }
    }
    if (run.isRead())
        (run.byReplica ? m_count.readsByReplica : m_count.readsByPrimary)->add();
    else
        m_count.writesDone->add();
    m_view.showed(run.database, point);

    CallerAnswer reply{.outcome = Outcome::Done,
                       .results = std::move(run.results),
                       .database = run.database,
                       .byReplica = run.byReplica};
    if (run.token.advance(m_options.group, point))
        reply.token = encodeToken(run.token, m_hooks.tokenSigner);
    answer(run, std::move(reply));
}

// Says NotRun unless an earlier attempt may have run.
void RequestRunner::refuse(RequestRun &run, const Refusal &refusal)
{
    const Outcome outcome =
            run.life && !run.isRead() ? run.life->deadlinePassed().outcome : Outcome::NotRun;
    answer(run, {.outcome = outcome, .reason = refusal.reason, .retryAfter = refusal.retryAfter});
}

void RequestRunner::answer(RequestRun &run, CallerAnswer reply)
{
    reply.requestId = run.request().id;
    const auto reason = static_cast<std::size_t>(reply.reason);
    if (reply.outcome == Outcome::NotRun)
        m_count.refused[reason]->add();
    else if (reply.outcome == Outcome::Unknown)
        m_count.unknown[reason]->add();
    const auto callback = std::move(run.owned.answer);
    releaseLease(run, true);
    m_runs.erase(run.id);
    callback(std::move(reply));
}

std::chrono::milliseconds RequestRunner::timeLeft(const RequestRun &run) const
{
    const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(run.deadline - EventLoop::now());
    return std::max(left, std::chrono::milliseconds(1));
}

void RequestRunner::viewChanged()
{
    const Instant now = EventLoop::now();
    advanceConfirmations(now);
    abandonStalled();
    withdrawMisrouted();
    wakeParked(now, true);
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
        return m_view.isOvertaken(run.term);
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

void RequestRunner::advanceConfirmations(Instant now)
{
    for (const ConfirmationResult &result : m_confirmer.advance(m_view, now))
        confirmed(result);
    if (!m_confirmer.takeRound(now))
        return;
    m_count.confirmationRounds->add();
    m_prober.probeAll();
}

void RequestRunner::advance(Instant now)
{
    advanceConfirmations(now);
    wakeParked(now, false);
    for (auto &[database, executor] : m_executors)
        executor->tick();
    for (const std::unique_ptr<DatabaseExecutor> &executor : m_retired)
        executor->tick();
    std::erase_if(m_retired, [](const std::unique_ptr<DatabaseExecutor> &executor) {
        return executor->isDrained();
    });
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

std::optional<Instant> RequestRunner::nextEvent() const
{
    const std::optional<Instant> next = m_confirmer.nextEvent();
    if (m_parked == 0)
        return next;
    return next ? std::min(*next, m_nextParked) : m_nextParked;
}

void RequestRunner::holdWrites(bool hold)
{
    m_holdWrites = hold;
    if (!hold)
        wakeParked(EventLoop::now(), true);
}

void RequestRunner::startDraining()
{
    m_draining = true;
    for (auto &[database, executor] : m_executors)
        executor->stop();
}

bool RequestRunner::isDrained() const
{
    if (!m_runs.empty())
        return false;
    for (const auto &[database, executor] : m_executors) {
        if (!executor->isDrained())
            return false;
    }
    return true;
}

const DatabaseExecutor *RequestRunner::executor(const DatabaseId &database) const
{
    const auto found = m_executors.find(database);
    return found == m_executors.end() ? nullptr : found->second.get();
}

} // namespace fescuespring
