#pragma once

#include "base/timers.h"
#include "upstreampool/linkpool.h"

#include <functional>
#include <memory>
#include <optional>

namespace fescuespring {

// Delays a caller's statement until its database has capacity for it.
struct LinkGate
{
    // Calls start once there is capacity, possibly at once. start returns whether the statement is
    // still to be sent.
    std::function<void(std::function<bool()> start)> enter = {};

    // A statement that entered has ended. Receives the time at the database, zero if unknown, and
    // its kind.
    std::function<void(Duration, const WorkKind &)> leave = {};
};

// Receives what a link sends and the replies, to observe the state of its database.
struct LinkObserver
{
    std::function<void()> onSent = {};
    std::function<void(const StatementReply &, Duration)> onReply = {};
};

// One connection to a database and its state: values, prepared statements, an open transaction.
// Runs one statement at a time, preceded by a prologue that brings the connection to the session's
// state. The statement is sent only after the replies to the prologue, so that it never runs in
// another state. A link whose state is uncertain is broken and never used again.
//
//     link->run({.command = command, .context = &session}, [](const LinkOutcome &outcome) {...});
//
// One thread only. The destructor closes the connection and drops the callback.
class DatabaseLink : public StatementLink, public std::enable_shared_from_this<DatabaseLink>
{
public:
    struct Options
    {
        UpstreamTarget target;
        LinkObserver observer = {};
        LinkGate gate = {};

        // The link is ready for use, or the database refused it permanently.
        std::function<void(DatabaseLink &, const StatementReply &)> onOpened = {};
        std::function<void(DatabaseLink &, const Error &)> onBroken = {};
    };

    DatabaseLink(Timers &timers, const UpstreamConnector &connect, Options options);
    ~DatabaseLink() override;
    DatabaseLink(const DatabaseLink &) = delete;
    DatabaseLink &operator=(const DatabaseLink &) = delete;

    void run(const LinkCommand &command, Done done) override;

    // Closes the connection; a statement under way ends as NotSent or Lost.
    void breakConnection(const Error &error);

    bool isOpen() const
    {
        return m_isOpen;
    }
    bool isBroken() const override
    {
        return m_isBroken;
    }
    bool isBusy() const override
    {
        return static_cast<bool>(m_done);
    }
    SessionPhase phase() const override
    {
        return m_phase;
    }
    const ConnectionContext &context() const
    {
        return m_context;
    }
    Instant lastUsed() const
    {
        return m_lastUsed;
    }

private:
    void opened(const StatementReply &reply);
    void replied(StatementReply reply);
    void sendPrologue(const LinkCommand &command);
    void begin(const LinkCommand &command);
    void leaveGate(Duration time);
    void sendStatement();
    void prologueReplied(const StatementReply &reply);
    void finish(const LinkOutcome &outcome);

    Timers &m_timers;
    Options m_options;
    std::unique_ptr<UpstreamChannel> m_channel;
    ConnectionContext m_context;
    SessionPhase m_phase = SessionPhase::Idle;
    bool m_isOpen = false;
    bool m_isBroken = false;
    bool m_statementSent = false;
    bool m_isInGate = false;
    std::size_t m_prologueLeft = 0;
    bool m_prologueBegins = false;
    UpstreamCommand m_command;
    WorkKind m_work;
    Instant m_openedAt;
    Instant m_sentAt;
    Instant m_lastUsed;
    Done m_done;
};

} // namespace fescuespring
