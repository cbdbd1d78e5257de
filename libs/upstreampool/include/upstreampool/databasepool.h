#pragma once

#include "admission/concurrencylimit.h"
#include "admission/waitqueue.h"
#include "upstreampool/databaselink.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>

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

    // Limit of concurrent statements, fixed or learned.
    ConcurrencyLimitOptions limit = {};
};

// The connections of this VM to one database, the queue for them, and the limit of concurrent
// statements. Statements of open transactions take precedence over new work, so that transactions
// end.
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
                                         std::uint32_t priority) const override;

    const ConcurrencyLimit &limit() const
    {
        return m_limit;
    }

    // The limit of concurrent statements lies between minimumStatements and maximum. Connections in
    // excess of maximum are closed now if free, the others when they become free.
    void setLimits(std::uint32_t kept, std::uint32_t maximum, double minimumStatements);

    // Opens links ahead of demand, up to kept.
    void warmUp();

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
    struct Entry
    {
        std::shared_ptr<DatabaseLink> link;
        bool isLeased = false;
    };
    struct Waiter
    {
        const SessionContext *context = nullptr;
        Granted granted;
    };

    DatabasePool(Timers &timers, UpstreamConnector connect, DatabasePoolOptions options);
    void open();
    void openForDemand();
    void linkOpened(DatabaseLink &link, const StatementReply &reply);
    void linkBroken(DatabaseLink &link, const Error &error);
    void giveBack(const std::shared_ptr<StatementLink> &link) override;
    void rollBack(const std::shared_ptr<DatabaseLink> &link);
    void becomeFree(const std::shared_ptr<DatabaseLink> &link);
    void remove(const DatabaseLink &link);
    void grantNext();
    void enterGate(std::function<bool()> start);
    void passGate(const std::function<bool()> &start);
    void leaveGate(Duration time, const WorkKind &work);
    void openFailed();
    void closeIdle();
    void closeExcess();
    void scheduleIdleCheck();
    Entry *find(const DatabaseLink &link);
    Entry *nearestFree(const SessionContext *context);
    std::size_t opening() const;

    Timers &m_timers;
    UpstreamConnector m_connect;
    DatabasePoolOptions m_options;
    std::vector<Entry> m_links;
    WaitQueue m_queue;
    std::map<TicketId, Waiter> m_waiters;
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
};

} // namespace fescuespring
