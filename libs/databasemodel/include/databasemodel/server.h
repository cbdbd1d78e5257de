#pragma once

#include "base/types.h"
#include "databasemodel/database.h"
#include "messages/upstream.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace fescuespring {

struct DatabaseServerOptions
{
    std::uint32_t connections = 20;

    // Statements that are worked on at once; further ones wait in order.
    std::uint32_t slots = 3;

    // From the request to open a connection until it can be used.
    Duration connectionCost = std::chrono::milliseconds(10);
};

// Faults of one database. All may change at any time.
struct DatabaseFaults
{
    // Nothing is answered and nothing happens until thawed; then everything goes on in order.
    bool frozen = false;

    // Factor on the work of statements that start from now on.
    double slowness = 1;

    ReplicationLag lag = {};

    // Peers, by name or IP number, from which nothing arrives and to which nothing goes.
    std::set<std::string> cut = {};

    // Nothing: the limit of the options.
    std::optional<std::uint32_t> connections = {};
};

struct OpenAnswer
{
    CallOutcome outcome = CallOutcome::Refused;
    CallRefusal refusal = CallRefusal::None;
};

// What the database has done since its start.
struct DatabaseServerCounts
{
    std::uint64_t opened = 0;
    std::uint64_t openRefused = 0;
    std::uint64_t closed = 0;
    std::uint64_t done = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t repeated = 0;

    // Answers for which nobody waited any more.
    std::uint64_t abandoned = 0;
    std::uint64_t maximumConnections = 0;
    std::uint64_t maximumWaiting = 0;
};

// A Database behind scarce connections and slots, with faults. One thread calls it; answers are
// handed to the handler of the call, at the latest when advance passes the time they are due.
// Handlers must not call the server.
//
// A connection that is lost rolls back its transaction. A statement on it that still waits for a
// slot is dropped; one that holds a slot runs to its end, though nobody hears of it.
class DatabaseServer
{
public:
    using AnswerHandler = std::function<void(const StatementAnswer &)>;
    using OpenHandler = std::function<void(const OpenAnswer &)>;
    using Action = std::function<void(Database &, Instant)>;

    DatabaseServer(const DatabaseOptions &database, const DatabaseServerOptions &options);

    void open(DatabaseConnectionId connection, Instant now, OpenHandler handler);
    void call(DatabaseConnectionId connection, StatementCall call, Instant now,
              AnswerHandler handler);
    void close(DatabaseConnectionId connection, Instant now);

    // Management and replication: acts on the database now, or in its turn after a thaw.
    void perform(Instant now, Action action);

    void setFaults(const DatabaseFaults &faults, Instant now);
    const DatabaseFaults &faults() const;
    bool isCutFrom(const std::string &peer) const;

    // Finishes what is due by now.
    void advance(Instant now);
    std::optional<Instant> nextEvent() const;

    const Database &database() const;
    const DatabaseServerCounts &counts() const;
    std::size_t connections() const;
    std::size_t waiting() const;

private:
    enum class ConnectionState {
        Opening,
        Idle,
        Busy,
        // Closed by the peer while a statement held a slot.
        Lost,
    };

    struct Job
    {
        DatabaseConnectionId connection;
        StatementCall call;
        Duration work{0};
        AnswerHandler handler;
    };

    using Event = std::function<void(Instant)>;

    void arrive(Instant now, Event event);
    void startOpen(DatabaseConnectionId connection, Instant now, OpenHandler handler);
    void startCall(Job job, Instant now);
    void finishClose(DatabaseConnectionId connection);
    bool dropWaiting(DatabaseConnectionId connection);
    void startWaiting(Instant now);
    void finishWork(Job &job, Instant now);
    void reply(const Job &job, const StatementAnswer &answer);
    StatementAnswer refusedAnswer(CallRefusal refusal) const;
    void forget(DatabaseConnectionId connection);
    std::uint32_t connectionLimit() const;

    Database m_database;
    DatabaseServerOptions m_options;
    DatabaseFaults m_faults;
    DatabaseServerCounts m_counts;
    std::map<DatabaseConnectionId, ConnectionState> m_connections;
    std::uint32_t m_busySlots = 0;
    std::deque<Job> m_waiting;
    std::multimap<Instant, Event> m_due;
    std::deque<Event> m_inbox;
    Instant m_thawedAt;
};

} // namespace fescuespring
