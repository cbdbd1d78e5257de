#pragma once

#include "directory/routetable.h"
#include "statementproxy/upstreams.h"
#include "statements/sessioncontext.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace fescuespring {

namespace detail {
class StatementRun;
}

// One caller's interactive session: values, prepared statements, a transaction, and the furthest
// point that it has written. Answers by itself what needs no database; runs the rest on whichever
// database may serve it.
//
//     StatementSession session({.upstreams = upstreams, .routes = routes, .name = name,
//                               .onReply = [&](const StatementReply &reply) {...}});
//     session.handle(id, statement);       // the next one only after onReply
//
// One thread only. onReply may be called from inside handle. Destroying a session rolls back its
// transaction and drops what is under way.
class StatementSession
{
public:
    struct Options
    {
        Upstreams &upstreams;
        const RouteTable &routes;
        RouteName name;
        std::function<void(const StatementReply &)> onReply = {};
    };

    explicit StatementSession(Options options);
    ~StatementSession();
    StatementSession(const StatementSession &) = delete;
    StatementSession &operator=(const StatementSession &) = delete;

    // Runs one statement; none may be under way.
    void handle(const RequestId &id, const Statement &statement);

    // Answers a statement that could not be read with Malformed; none may be under way.
    void reject(const std::string &message);

    // Whether a statement is under way.
    bool isBusy() const
    {
        return m_run != nullptr;
    }
    bool isInTransaction() const
    {
        return m_phase != SessionPhase::Idle;
    }

    // Ends an open transaction for good, as before a stop: its next statement is answered with
    // Aborted.
    void abortTransaction();

private:
    friend class detail::StatementRun;

    // An open transaction of the caller.
    struct Transaction
    {
        bool isReadOnly = false;

        // Set while a database runs it; empty before its first statement.
        LinkLease lease = {};
        DatabaseId database = {};
        GroupId group = {};
        bool hasWritten = false;
        Instant beganAt = {};

        // Fixed when it begins; a change of the routes counts from the next one.
        Route route = {};
    };

    void begin(bool isReadOnly);
    void setUp(const Statement &statement);
    void commitFailed();
    void rollBack();
    void runOn(const RequestId &id, const Statement &statement);
    void reply(const StatementReply &reply);
    void refuse(StatementFailure failure, const std::string &message);
    void watchIdleTransaction();
    std::optional<Route> currentRoute() const;

    Options m_options;
    SessionContext m_context;
    SessionPhase m_phase = SessionPhase::Idle;
    std::optional<Transaction> m_transaction;
    std::optional<LogPoint> m_lastCommit;
    std::shared_ptr<detail::StatementRun> m_run;
    Timers::Id m_idleTimer = 0;
};

} // namespace fescuespring
