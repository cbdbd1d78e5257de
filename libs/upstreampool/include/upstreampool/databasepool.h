#pragma once

#include "admission/concurrencylimit.h"
#include "admission/waitqueue.h"
#include "base/counters.h"
#include "upstreampool/databaselink.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace fescuespring {

struct DatabasePoolOptions
{
    UpstreamTarget target;

    // Connections that this VM keeps open, and its maximum when demand rises. The database limits
    // the connections of all VMs together and refuses further ones.
    std::uint32_t kept = 2;
    std::uint32_t maximum = 6;

    // Time without use after which a connection in excess of kept is closed.
    Duration idleTimeout = std::chrono::milliseconds(800);

    // Delay after a failed open, doubled with each consecutive failure.
    Duration firstBackoff = std::chrono::milliseconds(30);
    Duration maximumBackoff = std::chrono::milliseconds(400);

    // An abandoned transaction must be rolled back within this time, or its connection is closed.
    Duration rollbackTimeout = std::chrono::milliseconds(1000);

    // Time without use after which a customer's connection is closed. The database closes it after
    // 60 s, and a statement sent at that moment would be lost.
    Duration customerIdleTimeout = std::chrono::seconds(55);

    // A connection that becomes free is granted to a statement of its own customer, rather than
    // closed for an earlier one of another customer, if the two were queued within groupingWindow
    // of each other and the earlier one has waited for less than groupingBound. Opening occupies a
    // slot for 12 ms, so that a window of two openings pays for itself. A customer without a
    // connection that has waited for groupingBound gets the next one that becomes free.
    Duration groupingWindow = std::chrono::milliseconds(25);
    Duration groupingBound = std::chrono::milliseconds(40);

    // If set, counts connections opened, connections closed for another customer, and waits
    // granted. Must outlive the pool.
    Counters *counters = nullptr;
    // Limit of concurrent statements, fixed or learned.
    ConcurrencyLimitOptions limit = {};
};

// The connections of this VM to one database, the queue for them, and the limit of concurrent
// statements. Statements of open transactions take precedence over new work, so that transactions
// end.
//
// A connection is opened for one customer and serves only that customer; statements of the VM
// itself (no session) use any. If the pool is at its maximum, the least recently used idle
// connection of another customer is closed to make room. An opening occupies a slot of the database
// and counts against the limit. Statements without a customer share one set of connections.
//
//     const auto pool = DatabasePool::make(timers, connect, {.target = target, .maximum = 11});
//     pool->serveCustomers(true);
//     LinkLease lease = pool->tryAcquire({.context = &session, .customer = customer});
//
// One thread only.
class DatabasePool : public LinkPool, public std::enable_shared_from_this<DatabasePool>
{
public:
    static std::shared_ptr<DatabasePool> make(Timers &timers, UpstreamConnector connect,
                                              DatabasePoolOptions options);
    ~DatabasePool() override;

    LinkLease tryAcquire(const LinkRequest &request) override;
    TicketId wait(const LinkRequest &request, Granted granted) override;
    void cancel(TicketId ticket) override;

    const DatabaseObservation &observation() const override
    {
        return m_observer.observation();
    }
    std::size_t load() const override
    {
        return inUse() + m_queue.size();
    }

    std::optional<ExpectedLoad> expected(const WorkKind &work,
                                         const LinkRequest &request) const override;

    const ConcurrencyLimit &limit() const
    {
        return m_limit;
    }

    // The limit of concurrent statements lies between minimumStatements and maximum. Connections in
    // excess of maximum are closed now if free, the others when they become free.
    void setLimits(std::uint32_t kept, std::uint32_t maximum, double minimumStatements);

    // Opens links ahead of demand, up to kept; only one where statements have customers, for the
    // VM's own statements.
    void warmUp();

    // Whether the configuration names customers, and their weights in the queue. Connections of
    // customers stay open until their room is needed.
    void serveCustomers(bool areNamed, WaitQueue::Weight weight = {});

    // Opens no further links and closes each link when it becomes free. Waiting tickets are dropped
    // without a call.
    void close();

    const UpstreamTarget &target() const
    {
        return m_options.target;
    }
    std::size_t inUse() const;
    std::size_t waiting() const
    {
        return m_queue.size();
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
    // What the queue was told of a lease.
    struct Charge
    {
        std::uint32_t priority = 0;
        CustomerId customer = {};
        Duration time{0};
    };
    struct Entry
    {
        std::shared_ptr<DatabaseLink> link;
        CustomerId customer;

        // The request that it was opened for; its customer is charged for the opening.
        std::uint32_t priority = 0;
        Instant openedAt = {};
        bool isLeased = false;

        // Start of the latest lease.
        std::optional<Instant> leasedAt = {};

        // Whether its opening counts against the limit.
        bool holdsSlot = false;

        // Slot time that the current lease has used.
        std::shared_ptr<Duration> used = std::make_shared<Duration>(0);
        std::optional<Charge> charge = {};
    };
    struct Waiter
    {
        LinkRequest request;
        Granted granted;
        Instant since;
    };
    struct Walk;

    DatabasePool(Timers &timers, UpstreamConnector connect, DatabasePoolOptions options);
    void open(const CustomerId &customer, std::uint32_t priority = 0);
    void openForDemand();
    bool mayOpenNow();
    void serveQueue();
    void linkOpened(DatabaseLink &link, const StatementReply &reply);
    void linkBroken(DatabaseLink &link, const Error &error);
    void giveBack(const std::shared_ptr<StatementLink> &link) override;
    void rollBack(const std::shared_ptr<DatabaseLink> &link);
    void becomeFree(const std::shared_ptr<DatabaseLink> &link);
    void remove(const DatabaseLink &link);
    void grantNext();
    void grant(TicketId ticket, Entry &entry);
    LinkLease lease(Entry &entry, const LinkRequest &request);
    void settle(Entry &entry);
    bool hasCustomers() const;
    bool grantOneOfCustomers();
    std::optional<TicketId> walkQueue(Walk &walk);
    bool serve(const Waiter &waiter, Walk &walk);
    std::set<TicketId> overdueTickets(const Walk &walk) const;
    void makeRoom(const Waiter &waiter, Walk &walk);
    Entry *leastRecentlyUsed(const Waiter &waiter, const Walk &walk);
    bool isHeldBack(const Entry &entry, const Waiter &waiter) const;
    void replace(Entry &idle, const CustomerId &customer);
    std::map<CustomerId, std::size_t> comingByCustomer() const;
    std::size_t closing() const;
    void releaseSlot(Entry &entry);
    void passGates();
    void enterGate(std::function<bool()> start);
    void passGate(const std::function<bool()> &start);
    void leaveGate(Duration time, const WorkKind &work);
    void openFailed();
    void closeIdle();
    void closeExcess();
    void scheduleIdleCheck();
    Entry *find(const DatabaseLink &link);
    Entry *nearestFree(const LinkRequest &request, const Walk *walk = nullptr);
    std::size_t opening() const;
    std::uint32_t keptAhead() const;
    Duration idleTimeout(const Entry &entry) const;

    Timers &m_timers;
    UpstreamConnector m_connect;
    DatabasePoolOptions m_options;
    std::vector<Entry> m_links;
    WaitQueue m_queue;
    std::map<TicketId, Waiter> m_waiters;
    std::map<CustomerId, std::size_t> m_waitingByCustomer;
    ConcurrencyLimit m_limit;
    std::deque<std::function<bool()>> m_atGate;
    DatabaseObserver m_observer;
    TicketId m_lastTicket = 0;
    std::uint64_t m_openedCount = 0;
    Duration m_backoff{0};
    Instant m_openNotBefore;
    Timers::Id m_openTimer = 0;
    Timers::Id m_idleTimer = 0;
    bool m_isClosed = false;

    // Whether customers are configured, and whether any statement had one.
    bool m_areCustomersNamed = false;
    bool m_hadCustomer = false;

    // Connections that are being closed to make room, by the customer that gets it. They count
    // against the maximum until they are closed.
    std::map<CustomerId, std::size_t> m_closingFor;

    struct Count
    {
        Counter *opened = nullptr;
        Counter *closedForOther = nullptr;
        Counter *waitsGranted = nullptr;
    };
    Count m_count;
};

} // namespace fescuespring
