#pragma once

#include "statementproxy/statementsession.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fescuespring::detail {

// Pause before a primary that cannot take a statement now is tried again.
inline constexpr Duration primaryPoll = std::chrono::milliseconds(25);

// One statement on its way: chooses a database, waits for a connection, tries again where nothing
// has run, asks a second database where a read is late, gathers the evidence that an answer needs,
// and answers the session once. Attempts that are still out when the session has its answer end by
// themselves.
class StatementRun : public std::enable_shared_from_this<StatementRun>
{
public:
    StatementRun(StatementSession &session, RequestId id, Statement statement,
                 const PreparedStatement *prepared, Route route);
    ~StatementRun();

    void start();

    // The session is gone: nobody is to be answered. What has been sent ends by itself.
    void abandon();

private:
    // One try at one database.
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
    bool isFirstOfTransaction() const;
    bool needsPrimary() const;
    bool isReadOnly() const;

    // Choice of a database.
    void tryNext();
    void tryPrimary();
    void tryReader();
    void tryPinned();
    std::optional<LogPoint> readPoint() const;
    void retryAfter(Duration delay);
    void attempt(const DatabaseId &database, std::optional<LogPoint> after);
    void granted(const AttemptPtr &attempt, LinkLease lease, std::optional<LogPoint> after);
    void send(const AttemptPtr &attempt, std::optional<LogPoint> after);
    void scheduleHedge();
    void hedge();

    // Outcomes of an attempt.
    void ended(const AttemptPtr &attempt, const LinkOutcome &outcome);
    void lost(const AttemptPtr &attempt, const LinkOutcome &outcome);
    void refused(const AttemptPtr &attempt, const StatementReply &reply);
    void failedInTransaction(const StatementReply &reply);
    void succeeded(const AttemptPtr &attempt, const StatementReply &reply);
    bool commitsWrites() const;
    void confirmThenDeliver(const AttemptPtr &attempt, const StatementReply &reply);
    void confirm(const AttemptPtr &attempt, const StatementReply &reply);
    void confirmed(const AttemptPtr &attempt, const StatementReply &reply, bool isConfirmed);
    void keepLink(const AttemptPtr &attempt);
    void noteLagging(const AttemptPtr &attempt, const StatementReply &reply);

    // The end.
    void scheduleDeadline(Instant at);
    void deadlinePassed();
    void giveUp(StatementFailure failure, const std::string &message);
    void deliver(const StatementReply &reply);
    void finish(const StatementReply &reply);
    void dropWaitingAttempts();
    void logEnd(const StatementReply &reply) const;

    StatementSession *m_session;
    std::shared_ptr<SessionContext> m_context;
    RequestId m_id;
    Statement m_statement;
    std::optional<PreparedStatement> m_prepared;
    Route m_route;
    Instant m_startedAt;
    Instant m_deadline;
    Instant m_holdUntil;
    std::vector<AttemptPtr> m_attempts;
    std::set<DatabaseId> m_excluded;
    std::size_t m_tries = 0;
    bool m_wasSent = false;
    bool m_isConfirming = false;
    bool m_isWaiting = false;
    StatementFailure m_lastFailure = StatementFailure::Busy;
    std::string m_lastMessage = "no database could take the statement in time";
    DatabaseId m_servedBy;
    Timers::Id m_deadlineTimer = 0;
    Timers::Id m_retryTimer = 0;
    Timers::Id m_hedgeTimer = 0;
};

} // namespace fescuespring::detail
