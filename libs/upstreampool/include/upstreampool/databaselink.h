#pragma once

#include "base/timers.h"
#include "upstreampool/linkpool.h"

#include <functional>
#include <memory>
#include <optional>

namespace fescuespring {

// Holds a caller's statement back until its database has room for it.
struct LinkGate
{
    // Calls go once there is room, perhaps at once. go says whether the statement still goes out.
    std::function<void(std::function<bool()> go)> enter = {};

    // What entered has ended, after the time that the database took; zero if that is not known.
    std::function<void(Duration)> leave = {};
};

// Counts what a link sends and hears, for judging its database.
struct LinkObserver
{
    std::function<void()> onSent = {};
    std::function<void(const StatementReply &, Duration)> onHeard = {};
};

// One connection to a database with what it holds: values, prepared statements, an open
// transaction. Runs one statement at a time, after the statements that bring it to the session's
// state; these are answered before the statement goes out, so that it never runs in another state.
// A link whose state is not certain is broken and never used again.
//
//     link->run({.command = command, .context = &session}, [](const LinkOutcome &outcome) {...});
//
// One thread only. Destroying it closes the connection and drops the callback.
class DatabaseLink : public StatementLink, public std::enable_shared_from_this<DatabaseLink>
{
public:
    struct Options
    {
        UpstreamTarget target;
        LinkObserver observer = {};
        LinkGate gate = {};

        // The link can be used, or was refused for good.
        std::function<void(DatabaseLink &, const StatementReply &)> onOpened = {};
        std::function<void(DatabaseLink &, const Error &)> onBroken = {};
    };

    DatabaseLink(Timers &timers, const UpstreamConnector &connect, Options options);
    ~DatabaseLink() override;
    DatabaseLink(const DatabaseLink &) = delete;
    DatabaseLink &operator=(const DatabaseLink &) = delete;

    void run(const LinkCommand &command, Done done) override;

    // Drops the connection; a statement under way ends as NotSent or Lost.
    void breakOff(const Error &error);

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
    void prepareStatements(const LinkCommand &command);
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
    Instant m_sentAt;
    Instant m_lastUsed;
    Done m_done;
};

} // namespace fescuespring
