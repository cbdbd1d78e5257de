#pragma once

#include "base/types.h"
#include "statements/sessioncontext.h"
#include "statements/upstreamchannel.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace fescuespring {

// What is to run on a link for one statement of a session.
struct LinkCommand
{
    UpstreamCommand command = {};

    // The link is brought to this session's values first; null for statements of this VM.
    const SessionContext *context = nullptr;

    // The prepared statement that the command executes; null for others.
    const PreparedStatement *prepared = nullptr;

    // Set for the first statement of a transaction: how it begins, and the point that the
    // database's log must hold.
    std::optional<StatementKind> begin = {};
    std::optional<LogPoint> beginAfter = {};

    // Its urgency, and how long it may wait for a connection, where the link is another VM's.
    std::uint32_t priority = 0;
    Duration timeout = std::chrono::milliseconds(250);
};

enum class LinkEnd {
    // The database answered the statement.
    Answered,

    // What had to come before the statement was refused; the statement was not sent.
    Refused,

    // The connection was lost before the statement was sent, or there was none.
    NotSent,

    // The connection was lost after the statement was sent; it may have run.
    Lost,
};

// A point that the log of a group's primary had reached, which covers every commit acknowledged
// before requestedAt.
struct PrimaryFloor
{
    LogPoint point;
    Instant requestedAt;
};

struct LinkOutcome
{
    LinkEnd end = LinkEnd::NotSent;

    // With Answered and Refused. With the others its message says why.
    StatementReply reply = {};

    // When the statement was sent; with Answered and Lost.
    Instant sentAt = {};

    // What the VM whose connection it is knows of the group's primary. Only where that is another.
    std::optional<PrimaryFloor> floor = {};
};

// A connection to a database, own or by way of another VM, that one statement or transaction holds.
// Runs one statement at a time. One thread only.
class StatementLink
{
public:
    using Done = std::function<void(const LinkOutcome &)>;

    virtual ~StatementLink() = default;

    // Runs one statement; none may be under way, and the link may not be broken. done is called
    // exactly once unless the link is destroyed first, never from inside the call.
    virtual void run(const LinkCommand &command, Done done) = 0;

    virtual bool isBroken() const = 0;
    virtual bool isBusy() const = 0;
    virtual SessionPhase phase() const = 0;
};

// What the answers of one database say of it.
struct DatabaseObservation
{
    // When it last answered anything.
    Instant lastReplyAt = {};

    // Since when something has been expected of it without an answer of any kind; nothing while
    // all is answered.
    std::optional<Instant> unresponsiveSince = {};

    // Smoothed time of a statement at the database.
    Duration serviceTime = std::chrono::milliseconds(5);

    // Failures in a row of statements that the database said it ran.
    std::uint32_t failuresInARow = 0;
};

// Keeps a DatabaseObservation from what is sent and heard.
class DatabaseObserver
{
public:
    explicit DatabaseObserver(Instant now);

    void sent(Instant now);

    // An answer; time is zero where it says nothing of the database's speed.
    void heard(const StatementReply &reply, Duration time, Instant now);

    // The database refused a connection, which only a live one does.
    void refused(Instant now);

    // Something sent will not be answered; the database stays silent until it answers.
    void lost();

    const DatabaseObservation &observation() const
    {
        return m_observation;
    }

private:
    DatabaseObservation m_observation;
    std::size_t m_unanswered = 0;
};

class LinkPool;

// A link that one statement or transaction holds. Destroying it gives the link back; an open
// transaction is rolled back, and a link with a statement under way is cut off. The pool lives as
// long as its leases.
class LinkLease
{
public:
    LinkLease() = default;
    LinkLease(std::shared_ptr<LinkPool> pool, std::shared_ptr<StatementLink> link);
    ~LinkLease();
    LinkLease(LinkLease &&other) noexcept;
    LinkLease &operator=(LinkLease &&other) noexcept;

    explicit operator bool() const
    {
        return m_link != nullptr;
    }
    StatementLink *operator->() const
    {
        return m_link.get();
    }

    // Gives the link back now.
    void release();

private:
    std::shared_ptr<LinkPool> m_pool;
    std::shared_ptr<StatementLink> m_link;
};

// Where links to one database come from. One thread only.
//
//     if (LinkLease lease = pool->tryAcquire(session))
//         ...
//     else
//         ticket = pool->wait(&session, priority, [](LinkLease lease) {...});
class LinkPool
{
public:
    using TicketId = std::uint64_t;
    using Granted = std::function<void(LinkLease)>;

    virtual ~LinkPool() = default;

    // A free link, the nearest to the session's values, unless somebody waits already.
    virtual LinkLease tryAcquire(const SessionContext *context) = 0;

    // Queues for a link; lower priorities go first. The session must outlive the ticket.
    virtual TicketId wait(const SessionContext *context, std::uint32_t priority,
                          Granted granted) = 0;
    virtual void cancel(TicketId ticket) = 0;

    virtual const DatabaseObservation &observation() const = 0;

    // Links in use and tickets that wait.
    virtual std::size_t load() const = 0;

private:
    friend class LinkLease;
    virtual void giveBack(const std::shared_ptr<StatementLink> &link) = 0;
};

} // namespace fescuespring
