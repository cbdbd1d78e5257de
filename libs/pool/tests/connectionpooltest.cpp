#include "pool/connectionpool.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <random>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

// Performs the pool's actions at once and counts them.
struct PoolDriver
{
    explicit PoolDriver(const PoolOptions &options)
        : pool(options)
    {}

    void perform()
    {
        while (const auto action = pool.nextAction(now)) {
            maximumTotal = std::max(maximumTotal, pool.total());
            if (action->kind == PoolAction::Kind::Close) {
                ++closes;
                lastClosed = action->connection;
                pool.closed(action->connection, now);
                continue;
            }
            ++opens;
            if (failure)
                pool.openFailed(action->connection, *failure, now);
            else
                pool.opened(action->connection, now);
        }
    }

    void wait(Duration duration, Duration step = 100ms)
    {
        for (Duration passed{0}; passed < duration; passed += step) {
            now += step;
            perform();
        }
    }

    ConnectionPool pool;
    Instant now{std::chrono::hours(1)};
    std::optional<OpenFailure> failure;
    int opens = 0;
    int closes = 0;
    std::uint32_t maximumTotal = 0;
    ConnectionId lastClosed;
};

} // namespace

class ConnectionPoolTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConnectionPoolTest);
    CPPUNIT_TEST(minimumIsOpenBeforeTheFirstRequest);
    CPPUNIT_TEST(demandOpensAheadAndIdleConnectionsAreClosed);
    CPPUNIT_TEST(totalNeverExceedsTheLimit);
    CPPUNIT_TEST(dirtyConnectionIsClosedAndNeverReused);
    CPPUNIT_TEST(expiredConnectionIsReplacedBeforeItIsClosed);
    CPPUNIT_TEST(expiredConnectionIsClosedFirstAtTheLimit);
    CPPUNIT_TEST(refusedOpenIsRetriedWithBackoff);
    CPPUNIT_TEST(stoppedPoolDrains);
    CPPUNIT_TEST_SUITE_END();

public:
    void minimumIsOpenBeforeTheFirstRequest()
    {
        PoolDriver driver({.minimum = 3});
        driver.perform();
        CPPUNIT_ASSERT_EQUAL(0, driver.opens);
        driver.pool.start(driver.now);
        driver.perform();
        CPPUNIT_ASSERT_EQUAL(3U, driver.pool.idle());
    }

    void demandOpensAheadAndIdleConnectionsAreClosed()
    {
        PoolDriver driver({.minimum = 1, .headroom = 1, .demandWindow = 10s});
        driver.pool.start(driver.now);
        driver.perform();
        std::vector<ConnectionId> used;
        for (int i = 0; i < 5; ++i) {
            const auto connection = driver.pool.acquire(driver.now);
            CPPUNIT_ASSERT(connection.has_value());
            used.push_back(*connection);
            driver.perform();
        }
        CPPUNIT_ASSERT_EQUAL(6U, driver.pool.total());
        for (const ConnectionId connection : used)
            driver.pool.release(connection, ConnectionState::Clean, driver.now);
        driver.wait(4s);
        CPPUNIT_ASSERT_EQUAL(6U, driver.pool.total());
        driver.wait(20s);
        CPPUNIT_ASSERT_EQUAL(1U, driver.pool.total());
    }

    void totalNeverExceedsTheLimit()
    {
        std::mt19937 random(11);
        PoolDriver driver({.limit = 20, .maximumAge = 2s});
        driver.pool.start(driver.now);
        std::deque<ConnectionId> used;
        for (int i = 0; i < 20000; ++i) {
            driver.now += Duration(random() % 2000);
            driver.perform();
            if (random() % 2 == 0) {
                if (const auto connection = driver.pool.acquire(driver.now))
                    used.push_back(*connection);
            } else if (!used.empty() && random() % 3 != 0) {
                const bool isDirty = random() % 10 == 0;
                driver.pool.release(used.front(),
                                    isDirty ? ConnectionState::Dirty : ConnectionState::Clean,
                                    driver.now);
                used.pop_front();
            }
            CPPUNIT_ASSERT(driver.pool.total() <= 20);
            CPPUNIT_ASSERT(driver.pool.inUse() == used.size());
        }
        CPPUNIT_ASSERT_EQUAL(20U, driver.maximumTotal);
    }

    void dirtyConnectionIsClosedAndNeverReused()
    {
        PoolDriver driver({.minimum = 1});
        driver.pool.start(driver.now);
        driver.perform();
        const ConnectionId dirty = *driver.pool.acquire(driver.now);
        driver.pool.release(dirty, ConnectionState::Dirty, driver.now);
        CPPUNIT_ASSERT(driver.pool.total() >= 1);
        driver.perform();
        CPPUNIT_ASSERT(driver.lastClosed == dirty);
        CPPUNIT_ASSERT(*driver.pool.acquire(driver.now) != dirty);
    }

    void expiredConnectionIsReplacedBeforeItIsClosed()
    {
        PoolDriver driver({.minimum = 2, .headroom = 0, .maximumAge = 60s});
        driver.pool.start(driver.now);
        driver.perform();
        for (int i = 0; i < 1200; ++i) {
            driver.wait(100ms);
            CPPUNIT_ASSERT(driver.pool.idle() >= 2);
        }
        CPPUNIT_ASSERT(driver.opens >= 4);
        CPPUNIT_ASSERT_EQUAL(3U, driver.maximumTotal);
    }

    void expiredConnectionIsClosedFirstAtTheLimit()
    {
        PoolDriver driver({.limit = 2, .minimum = 2, .maximumAge = 60s});
        driver.pool.start(driver.now);
        driver.wait(70s);
        CPPUNIT_ASSERT_EQUAL(4, driver.opens);
        CPPUNIT_ASSERT_EQUAL(2U, driver.maximumTotal);
        CPPUNIT_ASSERT_EQUAL(2U, driver.pool.idle());
    }

    void refusedOpenIsRetriedWithBackoff()
    {
        PoolDriver driver({.minimum = 4});
        driver.failure = OpenFailure::ConnectionLimit;
        driver.pool.start(driver.now);
        driver.wait(60s, 10ms);
        CPPUNIT_ASSERT(driver.opens <= 20);
        driver.failure.reset();
        driver.wait(5s);
        CPPUNIT_ASSERT_EQUAL(4U, driver.pool.idle());
    }

    void stoppedPoolDrains()
    {
        PoolDriver driver({.minimum = 3});
        driver.pool.start(driver.now);
        driver.perform();
        const ConnectionId used = *driver.pool.acquire(driver.now);
        driver.pool.stop();
        driver.perform();
        CPPUNIT_ASSERT_EQUAL(1U, driver.pool.total());
        CPPUNIT_ASSERT(!driver.pool.acquire(driver.now));
        driver.pool.release(used, ConnectionState::Clean, driver.now);
        driver.perform();
        CPPUNIT_ASSERT(driver.pool.isDrained());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionPoolTest);
