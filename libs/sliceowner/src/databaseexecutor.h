#pragma once

#include "base/counters.h"
#include "databaseport/databaseport.h"
#include "net/eventloop.h"
#include "pool/connectionpool.h"
#include "scheduling/scheduler.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace fescuespring {

class DatabaseExecutor;

// A connection and a slot, held by a work item from dispatch until release. Must not outlive its
// executor.
class ConnectionLease
{
public:
    ConnectionLease(DatabaseExecutor &executor, const Dispatch &dispatch, ConnectionId connection);
    ~ConnectionLease();
    ConnectionLease(const ConnectionLease &) = delete;
    ConnectionLease &operator=(const ConnectionLease &) = delete;

    void call(const StatementCall &call, std::chrono::milliseconds timeout,
              StatementCallback callback);

    bool isLong() const
    {
        return m_isLong;
    }

    // Returns the connection and the slot. If completed, the work ran to its end and its service
    // time is recorded. A lease that is destroyed without release() is released as dirty.
    void release(ConnectionState state, bool completed);

private:
    DatabaseExecutor &m_executor;
    Ticket m_ticket;
    ConnectionId m_connection;
    Instant m_since;
    bool m_isLong = false;
    bool m_released = false;
};

// Work with its callbacks: run is called once it has a slot and a connection, drop if it is dropped
// without having run.
struct ExecutorJob
{
    Work work;
    std::function<void(std::unique_ptr<ConnectionLease>)> run;
    std::function<void(const Refusal &)> drop;
};

// Identifies admitted work until run or drop is called.
struct QueuedWork
{
    Ticket ticket;
    std::uint64_t job = 0;
};

using Submission =
        boost::outcome_v2::basic_result<QueuedWork, Refusal, boost::outcome_v2::policy::terminate>;

struct DatabaseExecutorOptions
{
    DatabaseId database;
    std::uint32_t connections = 20;
    std::uint32_t slots = 3;
};

// Runs the work of one database: the scheduler selects the next work item, the pool its connection,
// and the port sends the calls. Loop thread only.
class DatabaseExecutor
{
public:
    DatabaseExecutor(EventLoop &loop, std::shared_ptr<DatabasePort> port, Counters &counters,
                     const DatabaseExecutorOptions &options);
    ~DatabaseExecutor();
    DatabaseExecutor(const DatabaseExecutor &) = delete;
    DatabaseExecutor &operator=(const DatabaseExecutor &) = delete;

    void setPlans(const std::map<PlanId, Plan> &plans);

    // Refuses the job at once, or later calls exactly one of its callbacks, once.
    Submission submit(ExecutorJob job);

    // Removes work that is still queued, so that neither run nor drop is called. Returns false if
    // one of them was called already.
    bool withdraw(const QueuedWork &work);

    // Must be called about every 10 ms: drops expired work, opens and closes connections.
    void tick();

    // start() opens connections ahead of the first request; stop() closes them once nothing runs.
    void start();
    void stop();
    bool isDrained() const;

    // Whether at least one connection is open.
    bool isConnected() const
    {
        return m_pool.idle() + m_pool.inUse() > 0;
    }

    const std::shared_ptr<DatabasePort> &port() const
    {
        return m_port;
    }
    const Scheduler &scheduler() const
    {
        return m_scheduler;
    }
    const ConnectionPool &pool() const
    {
        return m_pool;
    }

private:
    friend class ConnectionLease;

    void pump();
    void dispatch();
    void dropExpired();
    void performPoolActions();
    void open(ConnectionId id);
    void opened(ConnectionId id, const Result<StatementAnswer> &answer);
    void closed(ConnectionId id);
    void release(Ticket ticket, ConnectionId connection, ConnectionState state, bool completed,
                 Duration service);

    EventLoop &m_loop;
    std::shared_ptr<DatabasePort> m_port;
    DatabaseExecutorOptions m_options;
    Scheduler m_scheduler;
    ConnectionPool m_pool;
    Counter &m_connectionsOpened;
    Counter &m_connectionsRefused;
    Counter &m_connectionsFailed;
    Counter &m_connectionsClosed;
    std::unordered_map<ConnectionId, std::unique_ptr<DatabaseConnection>> m_connections;
    std::unordered_map<std::uint64_t, ExecutorJob> m_jobs;
    std::uint64_t m_lastJobId = 0;
    bool m_pumping = false;
};

} // namespace fescuespring
