#include "requestrunner.h"

#include "requestlimits.h"

namespace fescuespring {

namespace {

// How long a read waits for a replica to catch up before it uses a slot of the primary, which is
// the only database that can run writes.
constexpr Duration maximumCatchUpWait = std::chrono::milliseconds(120);

} // namespace

RequestRunner::RequestRunner(EventLoop &loop, Counters &counters, const SliceOwnerOptions &options,
                             const SliceHooks &hooks, GroupView &view, GroupProber &prober)
    : m_loop(loop)
    , m_counters(counters)
    , m_options(options)
    , m_hooks(hooks)
    , m_view(view)
    , m_prober(prober)
    , m_router({.dataCentre = options.dataCentre, .maximumCatchUpWait = maximumCatchUpWait})
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
    // Leases must be released before their executors are destroyed.
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
    run->ownerRequest = std::move(request);
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
    run.deadline = run.ownerRequest.receivedAt + request.deadline;
    run.need = {.point = run.token.point(m_options.group),
                .maximumAge = request.maximumAge,
                .isLong = request.length == WorkLength::Long,
                .localOnly = run.ownerRequest.hop >= maximumHops,
                .receivedAt = run.ownerRequest.receivedAt,
                .deadline = run.deadline};
    // The maximum age of the plan applies only to sessions that have not observed the group yet:
    // session consistency takes precedence over the plan.
    if (!run.need.maximumAge && run.need.point.position == LogPosition())
        run.need.maximumAge = plan->second.maximumAge;
    return std::nullopt;
}

void RequestRunner::finish(RequestRun &run, const RequestVerdict &verdict)
{
    if (verdict.outcome == Outcome::Done) {
        finishDone(run);
        return;
    }
    const bool isFailure = verdict.reason == Reason::StatementFailed;
    answer(run,
           {.outcome = verdict.outcome,
            .reason = verdict.reason,
            .results = isFailure ? std::vector{run.lastAnswer.result} : std::vector<std::string>(),
            .retryAfter = isFailure ? std::chrono::milliseconds(0) : primaryRetryAfter});
}

void RequestRunner::finishDone(RequestRun &run)
{
    const LogPoint point = run.lastAnswer.point;
    if (run.isRead() && run.need.maximumAge) {
        const DatabaseView *database = m_view.find(run.database);
        const auto age =
                database == nullptr ? std::nullopt : m_view.ageBound(*database, EventLoop::now());
        if (run.byReplica && (!age || *age > *run.need.maximumAge)) {
            retry(run, Reason::TooOld);
            return;
        }
    } else if (run.isRead()) {
        const ReadCheck check = checkRead(m_view, run.need.point, run.lastAnswer);
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
    m_view.raiseApplied(run.database, point);

    CallerAnswer reply{.outcome = Outcome::Done,
                       .results = std::move(run.results),
                       .database = run.database,
                       .byReplica = run.byReplica};
    if (run.token.advance(m_options.group, point))
        reply.token = encodeToken(run.token, m_hooks.tokenSigner);
    answer(run, std::move(reply));
}

// Answers NotRun unless an earlier attempt may have run.
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
    const auto callback = std::move(run.ownerRequest.answer);
    releaseLease(run, true);
    m_runs.erase(run.id);
    callback(std::move(reply));
}

void RequestRunner::viewChanged()
{
    const Instant now = EventLoop::now();
    advanceConfirmations(now);
    abandonStalled();
    withdrawMisrouted();
    wakeParked(now, true);
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
