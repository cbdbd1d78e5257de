#include "pool/connectionpool.h"

#include <algorithm>

namespace fescuespring {

ConnectionPool::ConnectionPool(const PoolOptions &options)
    : m_options(options)
{
    m_connections.reserve(options.limit);
}

void ConnectionPool::start(Instant now)
{
    m_running = true;
    m_windowStart = now;
    m_openNotBefore = now;
}

void ConnectionPool::stop()
{
    m_running = false;
}

std::optional<PoolAction> ConnectionPool::nextAction(Instant now)
{
    recordDemand(inUse(), now);
    if (Connection *connection = nextToClose(now)) {
        connection->phase = Phase::Closing;
        return PoolAction{PoolAction::Kind::Close, connection->id};
    }
    if (!mayOpen(now))
        return std::nullopt;
    m_lastId = m_lastId.next();
    m_connections.push_back({m_lastId, Phase::Opening, now});
    return PoolAction{PoolAction::Kind::Open, m_lastId};
}

std::optional<ConnectionId> ConnectionPool::acquire(Instant now)
{
    recordDemand(inUse() + 1, now);
    // Uses the newest, so that older connections in excess of demand stay idle and are closed.
    Connection *newest = nullptr;
    for (Connection &connection : m_connections) {
        if (connection.phase != Phase::Idle)
            continue;
        if (!newest || connection.openedAt >= newest->openedAt)
            newest = &connection;
    }
    if (!newest || !m_running)
        return std::nullopt;
    newest->phase = Phase::InUse;
    return newest->id;
}

void ConnectionPool::release(ConnectionId connection, ConnectionState state, Instant)
{
    Connection *released = find(connection);
    if (!released || released->phase != Phase::InUse)
        return;
    const bool isReusable = state == ConnectionState::Clean && m_running;
    released->phase = isReusable ? Phase::Idle : Phase::ToClose;
}

void ConnectionPool::opened(ConnectionId connection, Instant now)
{
    Connection *opened = find(connection);
    if (!opened || opened->phase != Phase::Opening)
        return;
    opened->phase = Phase::Idle;
    opened->openedAt = now;
    m_backoff = Duration(0);
}

void ConnectionPool::openFailed(ConnectionId connection, OpenFailure failure, Instant now)
{
    const Duration maximum = failure == OpenFailure::ConnectionLimit
                                     ? m_options.maximumLimitBackoff
                                     : m_options.maximumUnreachableBackoff;
    m_backoff = std::clamp(2 * m_backoff, m_options.firstBackoff, maximum);
    m_openNotBefore = now + m_backoff;
    erase(connection);
}

void ConnectionPool::closed(ConnectionId connection, Instant)
{
    erase(connection);
}

std::uint32_t ConnectionPool::idle() const
{
    return count(Phase::Idle);
}

std::uint32_t ConnectionPool::inUse() const
{
    return count(Phase::InUse);
}

std::uint32_t ConnectionPool::total() const
{
    return static_cast<std::uint32_t>(m_connections.size());
}

bool ConnectionPool::isDrained() const
{
    return !m_running && m_connections.empty();
}

std::uint32_t ConnectionPool::count(Phase phase) const
{
    return static_cast<std::uint32_t>(std::ranges::count(m_connections, phase, &Connection::phase));
}

// Connections that are or will be usable.
std::uint32_t ConnectionPool::usable() const
{
    return count(Phase::Opening) + count(Phase::Idle) + count(Phase::InUse);
}

std::uint32_t ConnectionPool::target() const
{
    const std::uint32_t demand = std::max(m_peak, m_previousPeak) + m_options.headroom;
    return std::min(std::max(demand, m_options.minimum), m_options.limit);
}

bool ConnectionPool::isExpired(const Connection &connection, Instant now) const
{
    const bool isOpen = connection.phase == Phase::Idle || connection.phase == Phase::InUse;
    return isOpen && now - connection.openedAt >= m_options.maximumAge;
}

bool ConnectionPool::hasExpired(Instant now) const
{
    return std::ranges::any_of(m_connections, [this, now](const Connection &connection) {
        return isExpired(connection, now);
    });
}

ConnectionPool::Connection *ConnectionPool::find(ConnectionId connection)
{
    const auto found = std::ranges::find(m_connections, connection, &Connection::id);
    return found == m_connections.end() ? nullptr : &*found;
}

ConnectionPool::Connection *ConnectionPool::first(Phase phase)
{
    const auto found = std::ranges::find(m_connections, phase, &Connection::phase);
    return found == m_connections.end() ? nullptr : &*found;
}

ConnectionPool::Connection *ConnectionPool::oldestIdle()
{
    Connection *oldest = nullptr;
    for (Connection &connection : m_connections) {
        if (connection.phase != Phase::Idle)
            continue;
        if (!oldest || connection.openedAt < oldest->openedAt)
            oldest = &connection;
    }
    return oldest;
}

// The connection to close next, if any. An expired one is closed once its replacement is open, or
// before that if the limit leaves no room for both.
ConnectionPool::Connection *ConnectionPool::nextToClose(Instant now)
{
    if (Connection *pending = first(Phase::ToClose))
        return pending;
    Connection *oldest = oldestIdle();
    if (!oldest || !m_running)
        return oldest;
    const std::uint32_t ready = count(Phase::Idle) + count(Phase::InUse);
    if (isExpired(*oldest, now) && (ready > target() || total() >= m_options.limit))
        return oldest;
    const std::uint32_t kept = hasExpired(now) ? target() + 1 : target();
    return usable() > kept ? oldest : nullptr;
}

bool ConnectionPool::mayOpen(Instant now) const
{
    if (!m_running || now < m_openNotBefore || total() >= m_options.limit)
        return false;
    const std::uint32_t kept = hasExpired(now) ? target() + 1 : target();
    return usable() < kept;
}

// Tracks the peak demand of the current and of the previous half of the window.
void ConnectionPool::recordDemand(std::uint32_t demand, Instant now)
{
    const Duration half = m_options.demandWindow / 2;
    if (now - m_windowStart >= half) {
        m_previousPeak = now - m_windowStart >= 2 * half ? 0 : m_peak;
        m_peak = 0;
        m_windowStart = now;
    }
    m_peak = std::max(m_peak, demand);
}

void ConnectionPool::erase(ConnectionId connection)
{
    const auto matches = [connection](const Connection &other) {
        return other.id == connection;
    };
    std::erase_if(m_connections, matches);
}

} // namespace fescuespring
