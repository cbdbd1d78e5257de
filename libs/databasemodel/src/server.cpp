#include "databasemodel/server.h"

#include <algorithm>
#include <utility>

namespace fescuespring {

namespace {

Duration workOf(const StatementCall &call)
{
    if (call.statement.empty())
        return Duration(0);
    const auto parsed = parseStatement(call.statement);
    return parsed ? parsed.value().work : Duration(0);
}

} // namespace

DatabaseServer::DatabaseServer(const DatabaseOptions &database,
                               const DatabaseServerOptions &options)
    : m_database(database)
    , m_options(options)
{}

void DatabaseServer::open(DatabaseConnectionId connection, Instant now, OpenHandler handler)
{
    runOrDefer(now, [this, connection, handler = std::move(handler)](Instant at) {
        startOpen(connection, at, handler);
    });
}

void DatabaseServer::call(DatabaseConnectionId connection, StatementCall call, Instant now,
                          AnswerHandler handler)
{
    Job job{connection, std::move(call), Duration(0), std::move(handler)};
    if (!m_faults.frozen) {
        advance(now);
        startCall(std::move(job), now);
        return;
    }
    m_inbox.push_back([this, job = std::move(job)](Instant at) { startCall(job, at); });
}

void DatabaseServer::close(DatabaseConnectionId connection, Instant now)
{
    runOrDefer(now, [this, connection](Instant) { finishClose(connection); });
}

void DatabaseServer::perform(Instant now, Action action)
{
    runOrDefer(now, [this, action = std::move(action)](Instant at) {
        m_database.advance(at);
        action(m_database, at);
    });
}

void DatabaseServer::setFaults(const DatabaseFaults &faults, Instant now)
{
    advance(now);
    if (m_faults.frozen && !faults.frozen)
        m_thawedAt = now;
    m_faults = faults;
    if (m_faults.frozen)
        return;
    m_database.setLag(m_faults.lag, now);
    advance(now);
    while (!m_inbox.empty()) {
        const Event event = std::move(m_inbox.front());
        m_inbox.pop_front();
        event(now);
        advance(now);
    }
}

const DatabaseFaults &DatabaseServer::faults() const
{
    return m_faults;
}

bool DatabaseServer::isCutFrom(const std::string &peer) const
{
    return m_faults.cut.contains(peer);
}

void DatabaseServer::advance(Instant now)
{
    if (m_faults.frozen)
        return;
    while (!m_due.empty() && m_due.begin()->first <= now) {
        const Instant at = std::max(m_due.begin()->first, m_thawedAt);
        const Event event = std::move(m_due.begin()->second);
        m_due.erase(m_due.begin());
        event(at);
    }
    m_database.advance(now);
}

std::optional<Instant> DatabaseServer::nextEvent() const
{
    if (m_faults.frozen)
        return std::nullopt;
    std::optional<Instant> next = m_database.nextEvent();
    if (m_due.empty())
        return next;
    const Instant due = m_due.begin()->first;
    return next ? std::min(*next, due) : due;
}

const Database &DatabaseServer::database() const
{
    return m_database;
}

const DatabaseServerCounts &DatabaseServer::counts() const
{
    return m_counts;
}

std::size_t DatabaseServer::connections() const
{
    return m_connections.size();
}

std::size_t DatabaseServer::waiting() const
{
    return m_waiting.size();
}

void DatabaseServer::runOrDefer(Instant now, Event event)
{
    if (m_faults.frozen) {
        m_inbox.push_back(std::move(event));
        return;
    }
    advance(now);
    event(now);
}

void DatabaseServer::startOpen(DatabaseConnectionId connection, Instant now, OpenHandler handler)
{
    if (m_connections.contains(connection)) {
        handler({CallOutcome::Done, CallRefusal::None});
        return;
    }
    if (m_connections.size() >= connectionLimit()) {
        ++m_counts.openRefused;
        handler({CallOutcome::Refused, CallRefusal::ConnectionLimit});
        return;
    }
    m_connections[connection] = ConnectionState::Opening;
    m_counts.maximumConnections =
            std::max<std::uint64_t>(m_counts.maximumConnections, m_connections.size());
    const Event opened = [this, connection, handler = std::move(handler)](Instant) {
        const auto state = m_connections.find(connection);
        if (state == m_connections.end())
            return;
        state->second = ConnectionState::Idle;
        ++m_counts.opened;
        handler({CallOutcome::Done, CallRefusal::None});
    };
    m_due.emplace(now + m_options.connectionCost, opened);
}

void DatabaseServer::startCall(Job job, Instant now)
{
    const auto state = m_connections.find(job.connection);
    if (state == m_connections.end() || state->second == ConnectionState::Opening) {
        reply(job, refusedAnswer(CallRefusal::NotOpen));
        return;
    }
    if (state->second != ConnectionState::Idle) {
        reply(job, refusedAnswer(CallRefusal::Busy));
        return;
    }
    if (m_database.refusal(job.call) != CallRefusal::None) {
        reply(job, m_database.execute(job.connection, job.call, now));
        return;
    }
    state->second = ConnectionState::Busy;
    job.work = workOf(job.call);
    m_waiting.push_back(std::move(job));
    startQueued(now);
    m_counts.maximumWaiting = std::max<std::uint64_t>(m_counts.maximumWaiting, m_waiting.size());
}

void DatabaseServer::finishClose(DatabaseConnectionId connection)
{
    const auto state = m_connections.find(connection);
    if (state == m_connections.end())
        return;
    ++m_counts.closed;
    if (state->second == ConnectionState::Busy && !dropQueued(connection)) {
        state->second = ConnectionState::Lost;
        return;
    }
    removeConnection(connection);
}

bool DatabaseServer::dropQueued(DatabaseConnectionId connection)
{
    const auto found =
            std::find_if(m_waiting.begin(), m_waiting.end(),
                         [connection](const Job &job) { return job.connection == connection; });
    if (found == m_waiting.end())
        return false;
    m_waiting.erase(found);
    ++m_counts.abandoned;
    return true;
}

void DatabaseServer::startQueued(Instant now)
{
    while (!m_waiting.empty() && m_busySlots < m_options.slots) {
        Job job = std::move(m_waiting.front());
        m_waiting.pop_front();
        ++m_busySlots;
        if (job.work == Duration(0)) {
            finishWork(job, now);
            continue;
        }
        const auto work = std::chrono::duration_cast<Duration>(job.work * m_faults.slowness);
        m_due.emplace(now + work, [this, job = std::move(job)](Instant at) mutable {
            finishWork(job, at);
            startQueued(at);
        });
    }
}

void DatabaseServer::finishWork(Job &job, Instant now)
{
    --m_busySlots;
    const StatementAnswer answer = m_database.execute(job.connection, job.call, now);
    const auto state = m_connections.find(job.connection);
    if (state != m_connections.end() && state->second == ConnectionState::Lost) {
        ++m_counts.abandoned;
        removeConnection(job.connection);
        return;
    }
    if (state != m_connections.end())
        state->second = ConnectionState::Idle;
    reply(job, answer);
}

void DatabaseServer::reply(const Job &job, const StatementAnswer &answer)
{
    switch (answer.outcome) {
    case CallOutcome::Done:
        ++m_counts.done;
        break;
    case CallOutcome::Refused:
        ++m_counts.refused;
        break;
    case CallOutcome::Failed:
        ++m_counts.failed;
        break;
    }
    if (answer.repeated)
        ++m_counts.repeated;
    job.handler(answer);
}

StatementAnswer DatabaseServer::refusedAnswer(CallRefusal refusal) const
{
    return {.outcome = CallOutcome::Refused,
            .refusal = refusal,
            .result = {},
            .term = m_database.term(),
            .point = m_database.applied()};
}

void DatabaseServer::removeConnection(DatabaseConnectionId connection)
{
    m_database.connectionLost(connection);
    m_connections.erase(connection);
}

std::uint32_t DatabaseServer::connectionLimit() const
{
    return m_faults.connections.value_or(m_options.connections);
}

} // namespace fescuespring
