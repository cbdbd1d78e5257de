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

    // Statements that run concurrently; further ones are queued in order.
    std::uint32_t slots = 3;

    // Time from the request to open a connection until it is usable.
    Duration connectionCost = std::chrono::milliseconds(10);
};

// Injected faults of one database. All may change at any time.
struct DatabaseFaults
{
    // Answers and does nothing until thawed; then resumes everything in order.
    bool frozen = false;

    // Factor on the work of statements that start while it is set.
    double slowness = 1;

    ReplicationLag lag = {};

    // Peers, by name or IP address, from and to which no message passes.
    std::set<std::string> cut = {};

    // nullopt: the limit of the options.
    std::optional<std::uint32_t> connections = {};
};

struct OpenAnswer
{
    CallOutcome outcome = CallOutcome::Refused;
    CallRefusal refusal = CallRefusal::None;
};

// Counts since the start of the database.
struct DatabaseServerCounts
{
    std::uint64_t opened = 0;
    std::uint64_t openRefused = 0;
    std::uint64_t closed = 0;
    std::uint64_t done = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t repeated = 0;

    // Answers whose caller no longer waited.
    std::uint64_t abandoned = 0;
    std::uint64_t maximumConnections = 0;
    std::uint64_t maximumWaiting = 0;
};

// A Database behind limited connections and slots, with injected faults. One thread calls it;
// answers are passed to the handler of the call, at the latest when advance passes the time they
// are due. Handlers must not call the server.
//
// A lost connection rolls back its transaction. A statement on it that still waits for a slot is
// dropped; one that holds a slot runs to its end, but its answer is discarded.
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

    // Management and replication: runs the action now, or in order after a thaw.
    void perform(Instant now, Action action);

    void setFaults(const DatabaseFaults &faults, Instant now);
    const DatabaseFaults &faults() const;
    bool isCutFrom(const std::string &peer) const;

    // Finishes everything due by now.
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

    void runOrDefer(Instant now, Event event);
    void startOpen(DatabaseConnectionId connection, Instant now, OpenHandler handler);
    void startCall(Job job, Instant now);
    void finishClose(DatabaseConnectionId connection);
    bool dropQueued(DatabaseConnectionId connection);
    void startQueued(Instant now);
    void finishWork(Job &job, Instant now);
    void reply(const Job &job, const StatementAnswer &answer);
    StatementAnswer refusedAnswer(CallRefusal refusal) const;
    void removeConnection(DatabaseConnectionId connection);
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
