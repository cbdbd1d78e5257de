#pragma once

#include "base/types.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace fescuespring {

using ConnectionId = Number<struct ConnectionTag>;

// In which state a connection is given back.
enum class ConnectionState {
    // Every statement was answered and no transaction is open.
    Clean,
    // A statement was abandoned, a transaction may be open, or the answer was unreadable. The
    // connection is closed and never used again.
    Dirty,
};

enum class OpenFailure {
    // The database is at its connection limit: another owner holds connections.
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
    // Connections that the database allows. Opening and closing ones count until closed() is told.
    std::uint32_t limit = 20;

    // Connections kept open while the slice is owned, whatever the demand.
    std::uint32_t minimum = 5;

    // Connections kept beyond the recent peak, so that a rise in demand finds one open.
    std::uint32_t headroom = 1;

    // Recent demand is the highest number in use over this time; what is beyond is closed.
    Duration demandWindow = std::chrono::seconds(30);

    // A connection of this age is replaced: the new one is opened first.
    Duration maximumAge = std::chrono::minutes(10);

    // Wait after an open that failed, doubled with each in a row, up to a bound by the cause.
    Duration firstBackoff = std::chrono::milliseconds(50);
    Duration maximumLimitBackoff = std::chrono::seconds(5);
    Duration maximumUnreachableBackoff = std::chrono::seconds(1);
};

// The connections of one database as decisions: which to open, which to use, which to close. It
// opens ahead of demand, because a new connection costs about 10 ms, and never holds more than the
// limit, counting those that are still being opened or closed.
//
//     ConnectionPool pool(options);
//     pool.start(now);
//     while (const auto action = pool.nextAction(now))
//         perform(*action);                     // later: pool.opened(id, now) or openFailed(...)
//     if (const auto connection = pool.acquire(now))
//         ...                                   // later: pool.release(*connection, state, now)
//
// Call nextAction() until it gives nothing after each event and every 100 ms or so. One thread
// only.
class ConnectionPool
{
public:
    explicit ConnectionPool(const PoolOptions &options = {});

    // Opens the minimum. A pool that was not started, or was stopped, opens nothing.
    void start(Instant now);

    // Closes what is idle and, on release, what is in use; for handing the slice over.
    void stop();

    std::optional<PoolAction> nextAction(Instant now);

    // An open connection that nobody uses, or nothing; then one more is opened where the limit
    // allows, and the caller tries again after opened() or release().
    std::optional<ConnectionId> acquire(Instant now);

    void release(ConnectionId connection, ConnectionState state, Instant now);

    // Outcomes of actions.
    void opened(ConnectionId connection, Instant now);
    void openFailed(ConnectionId connection, OpenFailure failure, Instant now);

    // The connection is gone: after a Close action, or because the database closed it.
    void closed(ConnectionId connection, Instant now);

    std::uint32_t idle() const;
    std::uint32_t inUse() const;

    // Every connection that the database may count: opening, idle, in use, closing.
    std::uint32_t total() const;

    // Whether every connection is gone, after stop().
    bool isDrained() const;

private:
    enum class Phase {
        Opening,
        Idle,
        InUse,
        // To be closed: the action is still to be handed out.
        Leaving,
        Closing,
    };
    struct Connection
    {
        ConnectionId id;
        Phase phase = Phase::Opening;
        Instant openedAt;
    };

    std::uint32_t count(Phase phase) const;
    std::uint32_t live() const;
    std::uint32_t wanted() const;
    bool isOld(const Connection &connection, Instant now) const;
    bool hasOld(Instant now) const;
    Connection *find(ConnectionId connection);
    Connection *first(Phase phase);
    Connection *oldestIdle();
    Connection *toClose(Instant now);
    bool mayOpen(Instant now) const;
    void noteDemand(std::uint32_t demand, Instant now);
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
