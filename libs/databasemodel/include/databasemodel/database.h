#pragma once

#include "base/types.h"
#include "databasemodel/log.h"
#include "databasemodel/replicafeed.h"
#include "databasemodel/statement.h"
#include "messages/upstream.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace fescuespring {

using DatabaseConnectionId = Number<struct DatabaseConnectionTag>;

struct DatabaseOptions
{
    DatabaseId database = {};
    GroupId group = {};

    // Term at the start, which the group's first primary starts and replicas follow under.
    Term initialTerm{1};
    bool initialPrimary = false;
    std::optional<Endpoint> initialFollows = {};
};

// Age reported by a replica whose data has an unknown age.
constexpr std::chrono::milliseconds unknownAge = std::chrono::hours(24);

// Committed and visible data: the cells, and the answers of non-idempotent writes.
class CommittedData
{
public:
    // Applies the log's entries up to end.
    void applyUpTo(const Log &log, LogPosition end);

    // Discards everything after end.
    void rewind(const Log &log, LogPosition end);

    struct Record
    {
        std::string result;
        LogPoint point;
    };

    const Record *record(const RequestId &id) const;
    const Cells &cells() const;
    LogPosition applied() const;

private:
    void apply(const LogEntry &entry);

    Cells m_cells;
    std::unordered_map<RequestId, Record> m_records;
    LogPosition m_applied;
};

// One database of a group, without sockets, slots and work times: terms, log, replication and
// transactions. Statements take effect in the order of the calls. Time is passed in; nothing
// happens between calls.
//
//     Database primary({.database = DatabaseId("d1"), .group = GroupId("herd"),
//                       .initialPrimary = true});
//     primary.execute(connection, {.access = Access::Write, .term = Term(1),
//                                  .statement = "set cow-12 stall-3"}, now);
//     replica.receive(primary.read(*replica.nextRequest(), 100), sentAt, now);
class Database
{
public:
    explicit Database(const DatabaseOptions &options);

    DatabaseStatus status(Instant now) const;

    // The management calls of docs/PROTOCOLS.md. Each returns the status after the call; a refusal
    // shows as a term or role other than the requested one.
    DatabaseStatus fence(const FenceCall &call, Instant now);
    DatabaseStatus promote(const PromoteCall &call, Instant now);
    DatabaseStatus follow(const FollowCall &call, Instant now);

    // Why the call would be refused now.
    CallRefusal refusal(const StatementCall &call) const;

    StatementAnswer execute(DatabaseConnectionId connection, const StatementCall &call,
                            Instant now);

    // Rolls back the connection's transaction.
    void connectionLost(DatabaseConnectionId connection);
    std::size_t openTransactions() const;

    // Replication, primary's side: up to maximumEntries after the requested point.
    LogBatch read(const LogRequest &request, std::size_t maximumEntries) const;

    // Replication, replica's side. The next request to the primary; nullopt if none is followed.
    // The batch that answers it may arrive late or twice.
    std::optional<LogRequest> nextRequest() const;
    const std::optional<Endpoint> &followed() const;
    void receive(LogBatch batch, Instant sentAt, Instant now);

    void setLag(const ReplicationLag &lag, Instant now);

    // Receives and applies everything due by now.
    void advance(Instant now);
    std::optional<Instant> nextEvent() const;

    Term term() const;
    LogPoint applied() const;
    const Log &log() const;
    const Cells &cells() const;

private:
    struct Transaction
    {
        Access access = Access::Read;
        RequestId id;
        bool idempotent = true;
        Workspace workspace;
        std::string results;
    };

    StatementAnswer answer(CallOutcome outcome, std::string result = {}) const;
    StatementAnswer refusedAnswer(CallRefusal reason) const;
    StatementAnswer repeatedAnswer(const CommittedData::Record &record) const;
    const CommittedData::Record *recordOf(const StatementCall &call) const;

    StatementAnswer run(const StatementCall &call);
    StatementAnswer begin(DatabaseConnectionId connection, const StatementCall &call);
    StatementAnswer statement(DatabaseConnectionId connection, const StatementCall &call);
    StatementAnswer commit(DatabaseConnectionId connection, const StatementCall &call);
    StatementAnswer write(const Transaction &transaction);
    Result<std::string> evaluate(Transaction &transaction, const std::string &statement) const;

    void stopFollowing();
    void stepDown();
    void dropAfter(LogPosition end, Instant now);

    DatabaseId m_database;
    GroupId m_group;
    Role m_role = Role::Replica;
    Term m_term;
    std::optional<Endpoint> m_followed;
    Log m_log;
    CommittedData m_data;
    std::map<DatabaseConnectionId, Transaction> m_transactions;
    ReplicaFeed m_feed;
    LogPoint m_arrived;
    std::optional<Instant> m_observedAt;
};

} // namespace fescuespring
