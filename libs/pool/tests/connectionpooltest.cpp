#include "pool/connectionpool.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <random>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

// Performs what a pool asks for, at once, and counts.
struct Opener
{
    explicit Opener(const PoolOptions &options)
        : pool(options)
    {}

    void perform()
    {
        while (const auto action = pool.nextAction(now)) {
            mostTotal = std::max(mostTotal, pool.total());
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
    std::uint32_t mostTotal = 0;
    ConnectionId lastClosed;
};

} // namespace

class ConnectionPoolTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConnectionPoolTest);
    CPPUNIT_TEST(minimumIsOpenBeforeTheFirstRequest);
    CPPUNIT_TEST(demandOpensAheadAndIdleConnectionsAreClosed);
    CPPUNIT_TEST(limitHoldsInEveryRun);
    CPPUNIT_TEST(dirtyConnectionIsClosedAndNeverUsedAgain);
    CPPUNIT_TEST(oldConnectionIsReplacedBeforeItIsClosed);
    CPPUNIT_TEST(oldConnectionMakesRoomAtTheLimit);
    CPPUNIT_TEST(refusedOpenBacksOff);
    CPPUNIT_TEST(stoppedPoolDrains);
    CPPUNIT_TEST_SUITE_END();

public:
    void minimumIsOpenBeforeTheFirstRequest()
    {
        Opener opener({.minimum = 3});
        opener.perform();
        CPPUNIT_ASSERT_EQUAL(0, opener.opens);
        opener.pool.start(opener.now);
        opener.perform();
        CPPUNIT_ASSERT_EQUAL(3U, opener.pool.idle());
    }

    void demandOpensAheadAndIdleConnectionsAreClosed()
    {
        Opener opener({.minimum = 1, .headroom = 1, .demandWindow = 10s});
        opener.pool.start(opener.now);
        opener.perform();
        std::vector<ConnectionId> used;
        for (int i = 0; i < 5; ++i) {
            const auto connection = opener.pool.acquire(opener.now);
            CPPUNIT_ASSERT(connection.has_value());
            used.push_back(*connection);
            opener.perform();
        }
        CPPUNIT_ASSERT_EQUAL(6U, opener.pool.total());
        for (const ConnectionId connection : used)
            opener.pool.release(connection, ConnectionState::Clean, opener.now);
        opener.wait(4s);
        CPPUNIT_ASSERT_EQUAL(6U, opener.pool.total());
        opener.wait(20s);
        CPPUNIT_ASSERT_EQUAL(1U, opener.pool.total());
    }

    void limitHoldsInEveryRun()
    {
        std::mt19937 random(11);
        Opener opener({.limit = 20, .maximumAge = 2s});
        opener.pool.start(opener.now);
        std::deque<ConnectionId> used;
        for (int i = 0; i < 20000; ++i) {
            opener.now += Duration(random() % 2000);
            opener.perform();
            if (random() % 2 == 0) {
                if (const auto connection = opener.pool.acquire(opener.now))
                    used.push_back(*connection);
            } else if (!used.empty() && random() % 3 != 0) {
                const bool isDirty = random() % 10 == 0;
                opener.pool.release(used.front(),
                                    isDirty ? ConnectionState::Dirty : ConnectionState::Clean,
                                    opener.now);
                used.pop_front();
            }
            CPPUNIT_ASSERT(opener.pool.total() <= 20);
            CPPUNIT_ASSERT(opener.pool.inUse() == used.size());
        }
        CPPUNIT_ASSERT_EQUAL(20U, opener.mostTotal);
    }

    void dirtyConnectionIsClosedAndNeverUsedAgain()
    {
        Opener opener({.minimum = 1});
        opener.pool.start(opener.now);
        opener.perform();
        const ConnectionId dirty = *opener.pool.acquire(opener.now);
        opener.pool.release(dirty, ConnectionState::Dirty, opener.now);
        CPPUNIT_ASSERT(opener.pool.total() >= 1);
        opener.perform();
        CPPUNIT_ASSERT(opener.lastClosed == dirty);
        CPPUNIT_ASSERT(*opener.pool.acquire(opener.now) != dirty);
    }

    void oldConnectionIsReplacedBeforeItIsClosed()
    {
        Opener opener({.minimum = 2, .headroom = 0, .maximumAge = 60s});
        opener.pool.start(opener.now);
        opener.perform();
        for (int i = 0; i < 1200; ++i) {
            opener.wait(100ms);
            CPPUNIT_ASSERT(opener.pool.idle() >= 2);
        }
        CPPUNIT_ASSERT(opener.opens >= 4);
        CPPUNIT_ASSERT_EQUAL(3U, opener.mostTotal);
    }

    void oldConnectionMakesRoomAtTheLimit()
    {
        Opener opener({.limit = 2, .minimum = 2, .maximumAge = 60s});
        opener.pool.start(opener.now);
        opener.wait(70s);
        CPPUNIT_ASSERT_EQUAL(4, opener.opens);
        CPPUNIT_ASSERT_EQUAL(2U, opener.mostTotal);
        CPPUNIT_ASSERT_EQUAL(2U, opener.pool.idle());
    }

    void refusedOpenBacksOff()
    {
        Opener opener({.minimum = 4});
        opener.failure = OpenFailure::ConnectionLimit;
        opener.pool.start(opener.now);
        opener.wait(60s, 10ms);
        CPPUNIT_ASSERT(opener.opens <= 20);
        opener.failure.reset();
        opener.wait(5s);
        CPPUNIT_ASSERT_EQUAL(4U, opener.pool.idle());
    }

    void stoppedPoolDrains()
    {
        Opener opener({.minimum = 3});
        opener.pool.start(opener.now);
        opener.perform();
        const ConnectionId used = *opener.pool.acquire(opener.now);
        opener.pool.stop();
        opener.perform();
        CPPUNIT_ASSERT_EQUAL(1U, opener.pool.total());
        CPPUNIT_ASSERT(!opener.pool.acquire(opener.now));
        opener.pool.release(used, ConnectionState::Clean, opener.now);
        opener.perform();
        CPPUNIT_ASSERT(opener.pool.isDrained());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionPoolTest);
