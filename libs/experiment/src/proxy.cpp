#include "proxy.h"

#include <utility>

namespace fescuespring::detail {
namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(10);

// Delay before a naive VM retries to open a refused connection.
constexpr Duration naiveRetryInterval = std::chrono::milliseconds(10);

} // namespace

OwnerProxy::OwnerProxy(EventLoop &loop, DatabaseQueue &database, Duration databaseDelay,
                       const SchedulerOptions &schedulerOptions, const PoolOptions &poolOptions,
                       const std::map<PlanId, Plan> &plans)
    : m_loop(loop)
    , m_database(database)
    , m_databaseDelay(databaseDelay)
    , m_scheduler(schedulerOptions)
    , m_pool(poolOptions)
{
    m_scheduler.setPlans(plans);
    m_pool.start(loop.now());
    performPoolActions();
    m_loop.after(tickInterval, [this] { tick(); });
}

void OwnerProxy::submit(ProxyRequest request)
{
    const std::uint64_t context = ++m_lastContext;
    const Admission admission = m_scheduler.enqueue({.plan = request.plan,
                                                     .customer = request.customer,
                                                     .length = request.length,
                                                     .fingerprint = request.fingerprint,
                                                     .deadline = request.deadline,
                                                     .context = context},
                                                    m_loop.now());
    if (!admission) {
        request.done(admission.error().reason);
        return;
    }
    m_requests.emplace(context, std::move(request));
    pump();
}

void OwnerProxy::pump()
{
    while (m_scheduler.isReady()) {
        const auto connection = m_pool.acquire(m_loop.now());
        if (!connection)
            break;
        const auto dispatch = m_scheduler.next(m_loop.now());
        if (!dispatch) {
            m_pool.release(*connection, ConnectionState::Clean, m_loop.now());
            break;
        }
        run(*dispatch, *connection);
    }
    reportDropped();
    performPoolActions();
}

void OwnerProxy::run(const Dispatch &dispatch, ConnectionId connection)
{
    const Ticket ticket = dispatch.ticket;
    const std::uint64_t context = dispatch.context;
    const Instant sentAt = m_loop.now();
    const auto answered = [this, ticket, context, connection, sentAt] {
        const ProxyRequest request = takeRequest(context);
        m_pool.release(connection, ConnectionState::Clean, m_loop.now());
        m_scheduler.finished(ticket, m_loop.now(), m_loop.now() - sentAt);
        request.done(Reason::None);
        pump();
    };
    const Duration service = m_requests[context].service;
    m_loop.after(m_databaseDelay, [this, service, answered] {
        m_database.call(service, [this, answered] { m_loop.after(m_databaseDelay, answered); });
    });
}

void OwnerProxy::reportDropped()
{
    while (const auto dropped = m_scheduler.takeDropped(m_loop.now()))
        takeRequest(dropped->context).done(dropped->refusal.reason);
}

void OwnerProxy::performPoolActions()
{
    while (const auto action = m_pool.nextAction(m_loop.now())) {
        const ConnectionId connection = action->connection;
        if (action->kind == PoolAction::Kind::Close) {
            m_loop.after(m_databaseDelay, [this, connection] {
                m_database.close();
                m_pool.closed(connection, m_loop.now());
            });
            continue;
        }
        const auto onOpened = [this, connection](bool isOpen) {
            if (isOpen)
                m_pool.opened(connection, m_loop.now());
            else
                m_pool.openFailed(connection, OpenFailure::ConnectionLimit, m_loop.now());
            pump();
        };
        m_loop.after(2 * m_databaseDelay, [this, onOpened] { m_database.open(onOpened); });
    }
}

void OwnerProxy::tick()
{
    pump();
    m_loop.after(tickInterval, [this] { tick(); });
}

ProxyRequest OwnerProxy::takeRequest(std::uint64_t context)
{
    const auto found = m_requests.find(context);
    ProxyRequest request = std::move(found->second);
    m_requests.erase(found);
    return request;
}

NaiveProxy::NaiveProxy(EventLoop &loop, DatabaseQueue &database, Duration databaseDelay,
                       std::uint32_t connections)
    : m_loop(loop)
    , m_database(database)
    , m_databaseDelay(databaseDelay)
    , m_connections(connections)
{}

void NaiveProxy::submit(ProxyRequest request)
{
    m_queue.push_back(std::move(request));
    pump();
}

void NaiveProxy::pump()
{
    while (m_idle > 0 && !m_queue.empty()) {
        --m_idle;
        const ProxyRequest request = std::move(m_queue.front());
        m_queue.pop_front();
        const auto answered = [this, done = request.done] {
            ++m_idle;
            done(Reason::None);
            pump();
        };
        m_loop.after(m_databaseDelay, [this, service = request.service, answered] {
            m_database.call(service, [this, answered] { m_loop.after(m_databaseDelay, answered); });
        });
    }
    while (m_opening < m_queue.size() && m_open + m_opening < m_connections)
        openConnection();
}

void NaiveProxy::openConnection()
{
    ++m_opening;
    m_loop.after(2 * m_databaseDelay, [this] {
        m_database.open([this](bool isOpen) {
            if (isOpen) {
                --m_opening;
                ++m_open;
                ++m_idle;
                pump();
                return;
            }
            m_loop.after(naiveRetryInterval, [this] {
                --m_opening;
                pump();
            });
        });
    });
}

} // namespace fescuespring::detail
