#pragma once

#include "base/types.h"
#include "databasequeue.h"
#include "eventloop.h"
#include "messages/request.h"
#include "pool/connectionpool.h"
#include "scheduling/scheduler.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <unordered_map>

namespace fescuespring::detail {

// A request of the experiment. The proxy calls done once, with the reason if the request was not
// run.
struct ProxyRequest
{
    PlanId plan;
    CustomerId customer;
    WorkLength length = WorkLength::Unknown;
    std::uint64_t fingerprint = 0;
    Instant deadline;
    Duration service{0};
    std::function<void(Reason)> done;
};

// Interface of a proxy that sends requests to the database.
class Proxy
{
public:
    Proxy() = default;
    Proxy(const Proxy &) = delete;
    Proxy &operator=(const Proxy &) = delete;
    virtual ~Proxy() = default;

    virtual void submit(ProxyRequest request) = 0;
};

// Uses the real scheduler and pool.
class OwnerProxy : public Proxy
{
public:
    OwnerProxy(EventLoop &loop, DatabaseQueue &database, Duration databaseDelay,
               const SchedulerOptions &schedulerOptions, const PoolOptions &poolOptions,
               const std::map<PlanId, Plan> &plans);

    void submit(ProxyRequest request) override;

private:
    void pump();
    void run(const Dispatch &dispatch, ConnectionId connection);
    void reportDropped();
    void performPoolActions();
    void tick();
    ProxyRequest takeRequest(std::uint64_t context);

    EventLoop &m_loop;
    DatabaseQueue &m_database;
    Duration m_databaseDelay;
    Scheduler m_scheduler;
    ConnectionPool m_pool;
    std::unordered_map<std::uint64_t, ProxyRequest> m_requests;
    std::uint64_t m_lastContext = 0;
};

// A VM with its own pool, sized to an equal share of the connection limit, and an unbounded queue.
class NaiveProxy : public Proxy
{
public:
    NaiveProxy(EventLoop &loop, DatabaseQueue &database, Duration databaseDelay,
               std::uint32_t connections);

    void submit(ProxyRequest request) override;

private:
    void pump();
    void openConnection();

    EventLoop &m_loop;
    DatabaseQueue &m_database;
    Duration m_databaseDelay;
    std::deque<ProxyRequest> m_queue;
    std::uint32_t m_connections;
    std::uint32_t m_idle = 0;
    std::uint32_t m_opening = 0;
    std::uint32_t m_open = 0;
};

} // namespace fescuespring::detail
