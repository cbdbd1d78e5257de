#pragma once

#include "allowance/allowancevm.h"
#include "statementproxy/statementsession.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fescuespring::detail {

// Delay before a primary that cannot take a statement is tried again.
inline constexpr Duration primaryRetryDelay = std::chrono::milliseconds(25);

// Executes one statement: chooses a database, waits for a connection, retries if the statement has
// had no lasting effect, sends slow reads again, to another database where allowed, confirms the
// leadership of the primary where the reply requires it, and replies to the session exactly once.
// Attempts still running at that time complete in the background.
class StatementRun : public std::enable_shared_from_this<StatementRun>
{
public:
    StatementRun(StatementSession &session, RequestId id, Statement statement,
                 const PreparedStatement *prepared, Route route, CustomerId customer);
    ~StatementRun();

    void start();

    // Replies at once; see StatementSession::endStatement.
    void endForStop();

    // Detaches from the session; sends no reply itself. Attempts already sent complete by
    // themselves.
    void abandon();

private:
    // One attempt at one database.
    struct Attempt
    {
        DatabaseId database;
        std::shared_ptr<LinkPool> pool;
        LinkLease lease = {};
        LinkPool::TicketId ticket = 0;
        bool isSent = false;
        bool isEnded = false;
        Instant sentAt = {};
    };
    using AttemptPtr = std::shared_ptr<Attempt>;

    Upstreams &upstreams() const;
    Instant now() const;
    bool isWrite() const;
    bool isInTransaction() const;
    bool hasNoPinnedConnection() const;
    bool needsPrimary() const;
    bool isReadOnly() const;

    // The allowance of the customer.
    bool needsToken() const;
    void takeToken();
    void tokenDecided(const AllowanceDecision &decision);

    // Selection of a database.
    void tryNext();
    void tryPrimary();
    void tryReader();
    void tryPinned();
    std::optional<LogPoint> readPoint() const;
    void retryAfter(Duration delay);
    void attempt(const DatabaseId &database, std::optional<LogPoint> after);
    void granted(const AttemptPtr &attempt, LinkLease lease, std::optional<LogPoint> after);
    KeyUse keyUse() const;
    bool refuseIfRevoked(const AttemptPtr &attempt);
    void send(const AttemptPtr &attempt, std::optional<LogPoint> after);
    void scheduleHedge();
    void hedge();

    // Refusal of what cannot start in time, if capacity is learned.
    WorkKind work() const;
    std::optional<StartLimits> startLimits() const;
    bool cannotStart(const DatabaseId &database, StartCheck check) const;
    bool isRunning() const;
    void failLate(const char *reason);
    void scheduleHoldCheck(Duration delay, StartCheck check);
    void checkHold(StartCheck check);

    // Outcomes of an attempt.
    void ended(const AttemptPtr &attempt, const LinkOutcome &outcome);
    void lost(const AttemptPtr &attempt, const LinkOutcome &outcome);
    void failedReply(const AttemptPtr &attempt, const StatementReply &reply);
    void failedInTransaction(const StatementReply &reply);
    void succeeded(const AttemptPtr &attempt, const StatementReply &reply);
    bool commitsWrites() const;
    void confirmThenDeliver(const AttemptPtr &attempt, const StatementReply &reply);
    void confirm(const AttemptPtr &attempt, const StatementReply &reply);
    void confirmed(const AttemptPtr &attempt, const StatementReply &reply, bool isConfirmed);
    void keepOrReleaseConnection(const AttemptPtr &attempt);
    void handleLagging(const AttemptPtr &attempt, const StatementReply &reply);

    // Completion.
    void scheduleDeadline(Instant at);
    void deadlinePassed();
    void fail(StatementFailure failure, const std::string &message);
    void deliver(const StatementReply &reply);
    void finish(const StatementReply &reply);
    void dropQueuedAttempts();
    void logEnd(const StatementReply &reply) const;

    StatementSession *m_session;
    std::shared_ptr<SessionContext> m_context;
    RequestId m_id;
    Statement m_statement;
    std::optional<PreparedStatement> m_prepared;
    Route m_route;
    CustomerId m_customer;

    // Version of the configuration when the statement was received.
    std::uint64_t m_configuration;
    Instant m_startedAt;
    Instant m_deadline;
    Instant m_holdUntil;
    std::vector<AttemptPtr> m_attempts;
    std::set<DatabaseId> m_excluded;
    std::size_t m_tries = 0;
    bool m_wasSent = false;
    bool m_isConfirming = false;
    bool m_isRefreshingFloor = false;
    StatementFailure m_lastFailure = StatementFailure::Busy;
    std::string m_lastMessage = "no database could take the statement in time";
    DatabaseId m_servedBy;
    Timers::Id m_deadlineTimer = 0;
    Timers::Id m_retryTimer = 0;
    Timers::Id m_hedgeTimer = 0;
    Timers::Id m_holdTimer = 0;
};

} // namespace fescuespring::detail
