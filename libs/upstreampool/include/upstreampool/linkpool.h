#pragma once

#include "admission/learnedlimit.h"
#include "base/types.h"
#include "customers/customer.h"
#include "statements/sessioncontext.h"
#include "statements/upstreamchannel.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace fescuespring {

// What a statement or transaction requires of a link.
struct LinkRequest
{
    // The session that the link will serve; null for the VM's own statements. Must outlive the
    // ticket.
    const SessionContext *context = nullptr;

    // The customer whose links may be used; empty where callers are not identified, and for the
    // VM's own statements, which may use any link.
    CustomerId customer = {};

    // Lower values are served first.
    std::uint32_t priority = 0;
};

// The key under which a statement is sent, and the configuration by which it was accepted. No
// digest where callers are not identified, and for the VM's own statements.
struct KeyUse
{
    KeyDigest digest = {};
    std::uint64_t configuration = 0;

    bool operator==(const KeyUse &) const = default;
};

// What is expected of a statement that comes to a pool now, from learned figures.
struct ExpectedLoad
{
    // Time until it is sent to the database.
    Duration wait{0};

    // Time at the database; zero if unknown.
    Duration service{0};
};

// Limits of the wait of a statement that has not been sent to a database.
struct StartLimits
{
    // Time left in which its answer is useful.
    Duration useful{0};

    // Time left until it must be refused if its answer is doubtful.
    Duration hold{0};
};

// When the figures for a waiting statement are compared with its limits. On arrival and later, it
// is refused if its answer is expected too late. At the end of the hold time, it is refused already
// if it needs more than half of the time left, as a refusal after that costs more than a prompt
// one.
enum class StartCheck {
    Arrival,
    HoldEnd,
    Later,
};

// A statement that takes nearly the whole time, or more, is not late if it starts in a quarter of
// it: its late answer is worth more than none.
bool isExpectedLate(const ExpectedLoad &load, Duration useful, StartCheck check);

// One statement to run on a link, with what it requires of the connection.
struct LinkCommand
{
    UpstreamCommand command = {};

    // The session whose values the link is set to first; null for the VM's own statements.
    const SessionContext *context = nullptr;

    // The prepared statement that the command executes, if any. The connection replaces the name in
    // the command by its own name for it.
    const PreparedStatement *prepared = nullptr;

    // For the first statement of a transaction: the kind of begin, and the point that the
    // database's log must have reached.
    std::optional<StatementKind> begin = {};
    std::optional<LogPoint> beginAfter = {};

    // Customer, priority, key and maximum wait for a connection, if the link is relayed through
    // another VM.
    CustomerId customer = {};
    std::uint32_t priority = 0;
    KeyUse key = {};
    Duration timeout = std::chrono::milliseconds(250);

    // Kind of work, for learned times.
    WorkKind work = {};

    // For a relayed statement, if capacity is learned.
    std::optional<StartLimits> limits = {};
};

enum class LinkEnd {
    // The database answered the statement.
    Answered,

    // The begin of the transaction was refused; the statement was not sent.
    Refused,

    // There was no connection, or it was lost before the statement was sent.
    NotSent,

    // The connection was lost after the statement was sent; it may have run.
    Lost,
};

// A point that the log of a group's primary has reached. It covers every commit acknowledged before
// requestedAt.
struct PrimaryFloor
{
    LogPoint point;
    Instant requestedAt;
};

struct LinkOutcome
{
    LinkEnd end = LinkEnd::NotSent;

    // With Answered and Refused; with the others, its message gives the cause.
    StatementReply reply = {};

    // When the statement was sent; with Answered and Lost.
    Instant sentAt = {};

    // Newest point of the group's primary at the lending VM; only for relayed links.
    std::optional<PrimaryFloor> floor = {};

    // What the lending VM expects of the next statement of this kind; only for relayed links, if
    // capacity is learned there.
    std::optional<ExpectedLoad> load = {};
};

// A connection to a database, own or relayed through another VM, for use by one statement or
// transaction. Runs one statement at a time. One thread only.
class StatementLink
{
public:
    using Done = std::function<void(const LinkOutcome &)>;

    virtual ~StatementLink() = default;

    // Runs one statement. No other may be under way, and the link must not be broken. Calls done
    // exactly once, never from inside the call, unless the link is destroyed first.
    virtual void run(const LinkCommand &command, Done done) = 0;

    virtual bool isBroken() const = 0;
    virtual bool isBusy() const = 0;
    virtual SessionPhase phase() const = 0;
};

// State of one database as observed from its replies.
struct DatabaseObservation
{
    // Time of the last reply of any kind.
    Instant lastReplyAt = {};

    // Start of the current period with outstanding replies and none received; unset while none is
    // outstanding.
    std::optional<Instant> unresponsiveSince = {};

    // Smoothed time of a statement at the database.
    Duration serviceTime = std::chrono::milliseconds(5);

    // Consecutive statements that the database ran and reported as failed.
    std::uint32_t failuresInARow = 0;
};

// Maintains a DatabaseObservation from what is sent and the replies to it.
class DatabaseObserver
{
public:
    explicit DatabaseObserver(Instant now);

    void sent(Instant now);

    // A reply arrived. time is zero if it is no measure of the database's speed.
    void replied(const StatementReply &reply, Duration time, Instant now);

    // The database refused a connection, which shows that it is alive.
    void refused(Instant now);

    // Something sent will get no reply; the database counts as unresponsive until its next reply.
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

// A link held by one statement or transaction. The destructor returns it to the pool, which rolls
// back an open transaction and closes a link with a statement under way. The leases keep the pool
// alive.
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

    // Returns the link to the pool now.
    void release();

private:
    std::shared_ptr<LinkPool> m_pool;
    std::shared_ptr<StatementLink> m_link;
};

// A source of links to one database. One thread only.
//
//     const LinkRequest request{.context = &session, .customer = customer};
//     if (LinkLease lease = pool->tryAcquire(request))
//         ...
//     else
//         ticket = pool->wait(request, [](LinkLease lease) {...});
class LinkPool
{
public:
    using TicketId = std::uint64_t;
    using Granted = std::function<void(LinkLease)>;

    virtual ~LinkPool() = default;

    // A free link whose state is nearest to the session's; empty if there is none or others wait.
    virtual LinkLease tryAcquire(const LinkRequest &request) = 0;

    // Queues for a link.
    virtual TicketId wait(const LinkRequest &request, Granted granted) = 0;
    virtual void cancel(TicketId ticket) = 0;

    virtual const DatabaseObservation &observation() const = 0;

    // Number of links in use and waiting tickets.
    virtual std::size_t load() const = 0;

    // What a statement of this kind is to expect. Empty if unknown, or if capacity is not learned.
    virtual std::optional<ExpectedLoad> expected(const WorkKind & /*work*/,
                                                 const LinkRequest & /*request*/) const
    {
        return std::nullopt;
    }

private:
    friend class LinkLease;
    virtual void giveBack(const std::shared_ptr<StatementLink> &link) = 0;
};

} // namespace fescuespring
