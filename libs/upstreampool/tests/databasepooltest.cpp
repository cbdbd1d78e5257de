#include "upstreampool/databasepool.h"

#include "support/fakegroup.h"

#include <cppunit/extensions/HelperMacros.h>
#include <vector>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

// A pool before one database.
struct World
{
    World()
    {
        databases["a"].role = Role::Primary;
    }

    // As many leases as the pool grants within a second.
    std::vector<LinkLease> borrow(std::size_t count)
    {
        const auto granted = std::make_shared<std::vector<LinkLease>>();
        std::vector<LinkPool::TicketId> tickets;
        for (std::size_t i = 0; i < count; ++i) {
            tickets.push_back(pool->wait(nullptr, 0, [granted](LinkLease lease) {
                granted->push_back(std::move(lease));
            }));
        }
        timers.advance(1s);
        for (const LinkPool::TicketId ticket : tickets)
            pool->cancel(ticket);
        return std::move(*granted);
    }

    VirtualTimers timers;
    FakeGroup databases{timers};
    std::shared_ptr<DatabasePool> pool =
            DatabasePool::make(timers, databases.connector(),
                               {.target = {GroupId("herd"), DatabaseId("a"), {"10.0.0.1", 1}},
                                .kept = 2,
                                .maximum = 6});
};

} // namespace

class DatabasePoolTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DatabasePoolTest);
    CPPUNIT_TEST(noMoreThanTheMaximumIsOpened);
    CPPUNIT_TEST(smallerShareIsKeptToAtOnce);
    CPPUNIT_TEST(connectionThatComesFreeBeyondTheShareIsClosed);
    CPPUNIT_TEST(idleConnectionsBeyondTheKeptAreClosed);
    CPPUNIT_TEST(refusedOpensAreTriedAgainWithBackoff);
    CPPUNIT_TEST_SUITE_END();

public:
    void noMoreThanTheMaximumIsOpened()
    {
        World world;
        const std::vector<LinkLease> leases = world.borrow(9);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, leases.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, world.databases["a"].connections);
    }

    // Pattern: a VM comes back soon, and the others had taken over its share.
    void smallerShareIsKeptToAtOnce()
    {
        World world;
        world.borrow(6).clear();
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, world.databases["a"].connections);
        world.pool->setLimits(1, 3, 1);
        world.timers.advance(1ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, world.databases["a"].connections);
    }

    void connectionThatComesFreeBeyondTheShareIsClosed()
    {
        World world;
        std::vector<LinkLease> leases = world.borrow(6);
        world.pool->setLimits(1, 3, 1);
        world.timers.advance(1ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, world.databases["a"].connections);
        leases.resize(4);
        world.timers.advance(1ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, world.databases["a"].connections);
        leases.clear();
        world.timers.advance(1ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, world.databases["a"].connections);
    }

    void idleConnectionsBeyondTheKeptAreClosed()
    {
        World world;
        world.borrow(6).clear();
        world.timers.advance(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.databases["a"].connections);
    }

    // Pattern: hundreds of VMs ask a database for more connections than it bears.
    void refusedOpensAreTriedAgainWithBackoff()
    {
        World world;
        world.databases["a"].isFull = true;
        bool isGranted = false;
        world.pool->wait(nullptr, 0, [&isGranted](const LinkLease &) { isGranted = true; });
        // 30, 60, 120, 240, then 400 ms apart.
        world.timers.advance(10s);
        CPPUNIT_ASSERT(!isGranted);
        CPPUNIT_ASSERT(world.pool->openedCount() <= 30);
        CPPUNIT_ASSERT(world.pool->openedCount() >= 20);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatabasePoolTest);
