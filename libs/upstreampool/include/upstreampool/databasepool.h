#pragma once

#include "upstreampool/databaselink.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace fescuespring {

struct DatabasePoolOptions
{
    UpstreamTarget target;

    // Connections of this VM that are kept open, and those it may have at a rise of demand. The
    // database counts connections of all VMs, and refuses more than it bears.
    std::uint32_t kept = 2;
    std::uint32_t maximum = 6;

    // Time without use after which a connection beyond kept is closed.
    Duration idleTimeout = std::chrono::milliseconds(800);

    // Wait after an open that failed, doubled with each in a row.
    Duration firstBackoff = std::chrono::milliseconds(30);
    Duration maximumBackoff = std::chrono::milliseconds(400);

    // A transaction that was given up must be rolled back within this time, or is cut off.
    Duration rollbackTimeout = std::chrono::milliseconds(1000);
};

// What the answers of one database say of it.
struct DatabaseObservation
{
    // When it last answered anything.
    Instant lastHeard = {};

    // Since when something has been expected of it without an answer of any kind; nothing while
    // all is answered.
    std::optional<Instant> silentSince = {};

    // Smoothed time of a statement at the database.
    Duration serviceTime = std::chrono::milliseconds(5);

    // Failures in a row of statements that the database said it ran.
    std::uint32_t failuresInARow = 0;
};

class DatabasePool;

// A link that one statement or transaction holds. Destroying it gives the link back; an open
// transaction is rolled back, and a link with a statement under way is cut off. The pool lives as long
// as its leases.
class LinkLease
{
public:
    LinkLease() = default;
    LinkLease(std::shared_ptr<DatabasePool> pool, std::shared_ptr<DatabaseLink> link);
    ~LinkLease();
    LinkLease(LinkLease &&other) noexcept;
    LinkLease &operator=(LinkLease &&other) noexcept;

    explicit operator bool() const
    {
        return m_link != nullptr;
    }
    DatabaseLink *operator->() const
    {
        return m_link.get();
    }

    // Gives the link back now.
    void release();

private:
    std::shared_ptr<DatabasePool> m_pool;
    std::shared_ptr<DatabaseLink> m_link;
};

// The connections of this VM to one database, and who waits for one: by priority, then by arrival.
//
//     if (LinkLease lease = pool->tryAcquire(session))
//         ...
//     else
//         ticket = pool->wait(&session, priority, [](LinkLease lease) {...});
//
// One thread only.
class DatabasePool : public std::enable_shared_from_this<DatabasePool>
{
public:
    using TicketId = std::uint64_t;
    using Granted = std::function<void(LinkLease)>;

    static std::shared_ptr<DatabasePool> make(Timers &timers, UpstreamConnector connect,
                                              DatabasePoolOptions options);
    ~DatabasePool();

    // A free link, the nearest to the session's values, unless somebody waits already.
    LinkLease tryAcquire(const SessionContext *context);

    // Queues for a link; lower priorities go first. The session must outlive the ticket.
    TicketId wait(const SessionContext *context, std::uint32_t priority, Granted granted);
    void cancel(TicketId ticket);

    void setLimits(std::uint32_t kept, std::uint32_t maximum);

    // Opens links ahead of need.
    void warmUp();

    // Opens nothing any more and closes links as they come free; waiting tickets are dropped
    // without a call.
    void close();

    const UpstreamTarget &target() const
    {
        return m_options.target;
    }
    const DatabaseObservation &observation() const
    {
        return m_observation;
    }
    std::size_t inUse() const;
    std::size_t waiting() const
    {
        return m_waiters.size();
    }
    std::size_t connections() const
    {
        return m_links.size();
    }

    // Connections opened since the start.
    std::uint64_t openedCount() const
    {
        return m_openedCount;
    }

private:
    friend class LinkLease;
    struct Entry
    {
        std::shared_ptr<DatabaseLink> link;
        bool isLeased = false;
    };
    struct Waiter
    {
        TicketId ticket = 0;
        std::uint32_t priority = 0;
        const SessionContext *context = nullptr;
        Granted granted;
    };

    DatabasePool(Timers &timers, UpstreamConnector connect, DatabasePoolOptions options);
    void open();
    void openForDemand();
    void opened(DatabaseLink &link, const StatementReply &reply);
    void broken(DatabaseLink &link, const Error &error);
    void release(const std::shared_ptr<DatabaseLink> &link);
    void rollBack(const std::shared_ptr<DatabaseLink> &link);
    void becomeFree(const std::shared_ptr<DatabaseLink> &link);
    void remove(const DatabaseLink &link);
    void grantNext();
    void failedToOpen();
    void closeIdle();
    void scheduleIdleCheck();
    Entry *find(const DatabaseLink &link);
    Entry *nearestFree(const SessionContext *context);
    std::size_t opening() const;
    void noteSent();
    void noteHeard(const StatementReply &reply, Duration time);

    Timers &m_timers;
    UpstreamConnector m_connect;
    DatabasePoolOptions m_options;
    std::vector<Entry> m_links;
    std::vector<Waiter> m_waiters;
    DatabaseObservation m_observation;
    std::size_t m_unanswered = 0;
    TicketId m_lastTicket = 0;
    std::uint64_t m_openedCount = 0;
    Duration m_backoff{0};
    Instant m_openNotBefore;
    Timers::Id m_openTimer = 0;
    Timers::Id m_idleTimer = 0;
    bool m_isClosed = false;
};

} // namespace fescuespring
