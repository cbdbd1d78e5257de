#pragma once

#include "base/types.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace fescuespring {

using ConnectionId = Number<struct ConnectionTag>;

// State of a connection on release.
enum class ConnectionState {
    // Every statement has its reply and no transaction is open.
    Clean,
    // A statement was abandoned, a transaction may be open, or a reply was malformed. The
    // connection is closed and never reused.
    Dirty,
};

enum class OpenFailure {
    // The database has reached its connection limit: another owner holds connections.
    ConnectionLimit,
    Unreachable,
};

struct PoolAction
{
    enum class Kind {
        Open,
        Close,
    };
    Kind kind = Kind::Open;
    ConnectionId connection;
};

struct PoolOptions
{
    // Connections that the database allows. Those being opened count, and those being closed until
    // closed() is called.
    std::uint32_t limit = 20;

    // Connections kept open while the slice is owned, regardless of demand.
    std::uint32_t minimum = 5;

    // Connections kept open above the recent peak of demand, for a rise in demand.
    std::uint32_t headroom = 1;

    // Recent demand is the peak number in use over this window; connections above it are closed.
    Duration demandWindow = std::chrono::seconds(30);

    // A connection of this age is replaced; the replacement is opened first.
    Duration maximumAge = std::chrono::minutes(10);

    // Delay after a failed open, doubled with each consecutive failure up to a maximum that depends
    // on the cause.
    Duration firstBackoff = std::chrono::milliseconds(50);
    Duration maximumLimitBackoff = std::chrono::seconds(5);
    Duration maximumUnreachableBackoff = std::chrono::seconds(1);
};

// Decides which connections to one database to open, use and close; the caller performs the
// actions. Opens connections ahead of demand, because a new one costs about 10 ms, and never
// exceeds the limit, counting those still being opened or closed.
//
//     ConnectionPool pool(options);
//     pool.start(now);
//     while (const auto action = pool.nextAction(now))
//         perform(*action);                     // later: pool.opened(id, now) or openFailed(...)
//     if (const auto connection = pool.acquire(now))
//         ...                                   // later: pool.release(*connection, state, now)
//
// After each event and about every 100 ms, call nextAction() until it returns nothing. One thread
// only.
class ConnectionPool
{
public:
    explicit ConnectionPool(const PoolOptions &options = {});

    // Opens the minimum. A pool that is not started or is stopped opens nothing.
    void start(Instant now);

    // Closes idle connections, and those in use on release; for handing over the slice.
    void stop();

    std::optional<PoolAction> nextAction(Instant now);

    // Returns an idle connection. If there is none, returns nothing, another one is opened if the
    // limit allows, and the caller retries after opened() or release().
    std::optional<ConnectionId> acquire(Instant now);

    void release(ConnectionId connection, ConnectionState state, Instant now);

    // Outcomes of actions.
    void opened(ConnectionId connection, Instant now);
    void openFailed(ConnectionId connection, OpenFailure failure, Instant now);

    // The connection is closed, after a Close action or by the database.
    void closed(ConnectionId connection, Instant now);

    std::uint32_t idle() const;
    std::uint32_t inUse() const;

    // Every connection that the database may count: opening, idle, in use or closing.
    std::uint32_t total() const;

    // Whether the pool is stopped and has no connections left.
    bool isDrained() const;

private:
    enum class Phase {
        Opening,
        Idle,
        InUse,
        // To be closed; the Close action has not been returned yet.
        ToClose,
        Closing,
    };
    struct Connection
    {
        ConnectionId id;
        Phase phase = Phase::Opening;
        Instant openedAt;
    };

    std::uint32_t count(Phase phase) const;
    std::uint32_t usable() const;
    std::uint32_t target() const;
    bool isExpired(const Connection &connection, Instant now) const;
    bool hasExpired(Instant now) const;
    Connection *find(ConnectionId connection);
    Connection *first(Phase phase);
    Connection *oldestIdle();
    Connection *nextToClose(Instant now);
    bool mayOpen(Instant now) const;
    void recordDemand(std::uint32_t demand, Instant now);
    void erase(ConnectionId connection);

    PoolOptions m_options;
    std::vector<Connection> m_connections;
    ConnectionId m_lastId;
    bool m_running = false;
    std::uint32_t m_peak = 0;
    std::uint32_t m_previousPeak = 0;
    Instant m_windowStart;
    Instant m_openNotBefore;
    Duration m_backoff{0};
};

} // namespace fescuespring
