#pragma once

#include "directory/identification.h"
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

// One caller's interactive session: values, prepared statements, an open transaction, and the log
// point of its last commit. Handles statements that need no database locally and runs the others on
// a suitable database.
//
//     StatementSession session({.upstreams = upstreams, .routes = routes, .name = name,
//                               .onReply = [&](const StatementReply &reply) {...}});
//     session.handle(id, statement);       // the next one only after onReply
//
// Not thread-safe. onReply may be called from inside handle. Destroying a session rolls back its
// transaction and abandons a running statement.
class StatementSession
{
public:
    struct Options
    {
        Upstreams &upstreams;
        const RouteTable &routes;
        RouteName name;

        // Identifies the caller's customer; empty if the caller sent no key.
        KeyDigest key = {};
        std::function<void(const StatementReply &)> onReply = {};
    };

    explicit StatementSession(Options options);
    ~StatementSession();
    StatementSession(const StatementSession &) = delete;
    StatementSession &operator=(const StatementSession &) = delete;

    // Runs one statement; no other may be running.
    void handle(const RequestId &id, const Statement &statement);

    // Replies Malformed to a statement that could not be parsed; no other may be running.
    void reject(const RequestId &id, const std::string &message);

    bool isBusy() const
    {
        return m_run != nullptr;
    }
    bool isInTransaction() const
    {
        return m_phase != SessionPhase::Idle;
    }

    const RouteName &routeName() const
    {
        return m_options.name;
    }
    const KeyDigest &key() const
    {
        return m_options.key;
    }

    // Whether the caller's key was removed from the configuration, so that the session is to be
    // closed once its last reply is sent.
    bool isRevoked() const;

    // Rolls back an open transaction, for example before a shutdown, unless a statement is running.
    // After that, the session accepts only commit, which is answered with Aborted, and rollback.
    void abortTransaction();

    // Replies to a running statement now, as its outcome will not be known before this VM stops:
    // InDoubt if it may have committed, Aborted otherwise. Call it only if the connections to the
    // databases are closed soon after, which rolls back what is open.
    void endStatement();

private:
    friend class detail::StatementRun;

    // An open transaction of the caller.
    struct Transaction
    {
        bool isReadOnly = false;

        // The pinned connection; empty before the first statement and while a statement runs.
        LinkLease lease = {};
        DatabaseId database = {};
        GroupId group = {};
        bool hasWritten = false;
        Instant startedAt = {};

        // Fixed at the start; a change of routes, or of the key's customer, applies to the next
        // transaction.
        Route route = {};
        CustomerId customer = {};

        // A token was taken for the transaction.
        bool hasToken = false;
    };

    Identification identifyCaller(const Route &route, const CustomerId &customer) const;
    void refuseCaller(const Identification &caller);
    void begin(bool isReadOnly, const Route &route, const CustomerId &customer);
    void applyToContext(const Statement &statement);
    void endFailedTransaction();
    void rollBack();
    void runOnDatabase(const RequestId &id, const Statement &statement, const Route &route,
                       const CustomerId &customer);
    void reply(const StatementReply &reply);
    void replyFailure(StatementFailure failure, const std::string &message);
    void startIdleTimer();
    std::optional<Route> currentRoute() const;

    Options m_options;

    // Id of the last statement.
    RequestId m_id;
    SessionContext m_context;
    SessionPhase m_phase = SessionPhase::Idle;
    std::optional<Transaction> m_transaction;
    std::optional<LogPoint> m_lastCommit;
    std::shared_ptr<detail::StatementRun> m_run;
    Timers::Id m_idleTimer = 0;
};

} // namespace fescuespring
