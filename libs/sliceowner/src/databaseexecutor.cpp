#include "databaseexecutor.h"

#include <cassert>

namespace fescuespring {

namespace {

constexpr std::chrono::milliseconds openTimeout{1000};

} // namespace

ConnectionLease::ConnectionLease(DatabaseExecutor &executor, const Dispatch &dispatch,
                                 ConnectionId connection)
    : m_executor(executor)
    , m_ticket(dispatch.ticket)
    , m_connection(connection)
    , m_since(EventLoop::now())
    , m_isLong(dispatch.isLong)
{}

ConnectionLease::~ConnectionLease()
{
    release(ConnectionState::Dirty, false);
}

void ConnectionLease::call(const StatementCall &call, std::chrono::milliseconds timeout,
                           StatementCallback callback)
{
    assert(!m_released);
    const auto found = m_executor.m_connections.find(m_connection);
    if (found != m_executor.m_connections.end()) {
        found->second->call(call, timeout, std::move(callback));
        return;
    }
    // The database closed the connection between two calls.
    m_executor.m_loop.post([callback = std::move(callback)] {
        callback(Result<StatementAnswer>(Error{ErrorCode::ConnectionLost, "connection is closed"}));
    });
}

void ConnectionLease::release(ConnectionState state, bool completed)
{
    if (m_released)
        return;
    m_released = true;
    m_executor.release(m_ticket, m_connection, state, completed, EventLoop::now() - m_since);
}

DatabaseExecutor::DatabaseExecutor(EventLoop &loop, std::shared_ptr<DatabasePort> port,
                                   Counters &counters, const DatabaseExecutorOptions &options)
    : m_loop(loop)
    , m_port(std::move(port))
    , m_options(options)
    , m_scheduler({.slots = options.slots})
    , m_pool({.limit = options.connections})
    , m_connectionsOpened(counters.counter("fescuespring_connections_opened_total", "database",
                                           options.database.value()))
    , m_connectionsRefused(counters.counter("fescuespring_connections_refused_total", "database",
                                            options.database.value()))
    , m_connectionsFailed(counters.counter("fescuespring_connections_failed_total", "database",
                                           options.database.value()))
    , m_connectionsClosed(counters.counter("fescuespring_connections_closed_total", "database",
                                           options.database.value()))
{}

DatabaseExecutor::~DatabaseExecutor()
{
    // Leases still held by jobs call release(), which needs the other members.
    m_jobs.clear();
}

void DatabaseExecutor::setPlans(const std::map<PlanId, Plan> &plans)
{
    m_scheduler.setPlans(plans);
    pump();
}

Submission DatabaseExecutor::submit(ExecutorJob job)
{
    job.work.context = ++m_lastJobId;
    const Admission admission = m_scheduler.enqueue(job.work, EventLoop::now());
    if (!admission)
        return admission.error();
    m_jobs.emplace(m_lastJobId, std::move(job));
    // Posted, since run must not be called before the caller has received the submission.
    m_loop.post([this] { pump(); });
    return QueuedWork{.ticket = admission.value(), .job = m_lastJobId};
}

bool DatabaseExecutor::withdraw(const QueuedWork &work)
{
    if (m_scheduler.cancel(work.ticket) != CancelResult::Removed)
        return false;
    m_jobs.erase(work.job);
    return true;
}

void DatabaseExecutor::tick()
{
    pump();
}

void DatabaseExecutor::start()
{
    m_pool.start(EventLoop::now());
    pump();
}

void DatabaseExecutor::stop()
{
    m_pool.stop();
    pump();
}

bool DatabaseExecutor::isDrained() const
{
    return m_jobs.empty() && m_pool.inUse() == 0;
}

void DatabaseExecutor::pump()
{
    // Callbacks of jobs may call this function again; the outer call continues with their changes.
    if (m_pumping)
        return;
    m_pumping = true;
    dispatch();
    dropExpired();
    performPoolActions();
    m_pumping = false;
}

void DatabaseExecutor::dispatch()
{
    const Instant now = EventLoop::now();
    while (m_pool.idle() > 0) {
        const std::optional<Dispatch> dispatch = m_scheduler.next(now);
        if (!dispatch)
            return;
        const std::optional<ConnectionId> connection = m_pool.acquire(now);
        assert(connection);
        auto lease = std::make_unique<ConnectionLease>(*this, *dispatch, *connection);
        const auto found = m_jobs.find(dispatch->context);
        assert(found != m_jobs.end());
        const ExecutorJob job = std::move(found->second);
        m_jobs.erase(found);
        job.run(std::move(lease));
    }
    // Signals demand for another connection to the pool.
    const SchedulerLoad load = m_scheduler.load();
    if (load.queued > 0 && load.running < m_options.slots)
        m_pool.acquire(now);
}

void DatabaseExecutor::dropExpired()
{
    while (const std::optional<DroppedWork> dropped = m_scheduler.takeDropped(EventLoop::now())) {
        const auto found = m_jobs.find(dropped->context);
        assert(found != m_jobs.end());
        const ExecutorJob job = std::move(found->second);
        m_jobs.erase(found);
        job.drop(dropped->refusal);
    }
}

void DatabaseExecutor::performPoolActions()
{
    while (const std::optional<PoolAction> action = m_pool.nextAction(EventLoop::now())) {
        if (action->kind == PoolAction::Kind::Open)
            open(action->connection);
        else
            closed(action->connection);
    }
}

void DatabaseExecutor::open(ConnectionId id)
{
    std::unique_ptr<DatabaseConnection> connection = m_port->connect([this, id] {
        closed(id);
        pump();
    });
    DatabaseConnection &opening = *connection;
    m_connections.emplace(id, std::move(connection));
    opening.open(openTimeout,
                 [this, id](const Result<StatementAnswer> &answer) { opened(id, answer); });
}

void DatabaseExecutor::opened(ConnectionId id, const Result<StatementAnswer> &answer)
{
    const Instant now = EventLoop::now();
    if (answer && answer.value().outcome == CallOutcome::Done) {
        m_connectionsOpened.add();
        m_pool.opened(id, now);
        pump();
        return;
    }
    const bool atLimit = answer && answer.value().refusal == CallRefusal::ConnectionLimit;
    (atLimit ? m_connectionsRefused : m_connectionsFailed).add();
    // This function is called by the connection, so its destruction is deferred.
    m_loop.post(
            [connection = std::shared_ptr<DatabaseConnection>(std::move(m_connections[id]))] {});
    m_connections.erase(id);
    m_pool.openFailed(id, atLimit ? OpenFailure::ConnectionLimit : OpenFailure::Unreachable, now);
    pump();
}

void DatabaseExecutor::closed(ConnectionId id)
{
    const auto found = m_connections.find(id);
    if (found != m_connections.end()) {
        // The connection may be the caller of this function, so its destruction is deferred.
        m_loop.post(
                [connection = std::shared_ptr<DatabaseConnection>(std::move(found->second))] {});
        m_connections.erase(found);
        m_connectionsClosed.add();
    }
    m_pool.closed(id, EventLoop::now());
}

void DatabaseExecutor::release(Ticket ticket, ConnectionId connection, ConnectionState state,
                               bool completed, Duration service)
{
    const Instant now = EventLoop::now();
    if (completed)
        m_scheduler.finished(ticket, now, service);
    else
        m_scheduler.abandoned(ticket, now);
    m_pool.release(connection, state, now);
    pump();
}

} // namespace fescuespring
