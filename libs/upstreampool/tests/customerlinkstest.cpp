#include "upstreampool/databasepool.h"

#include "support/fakegroup.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <vector>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

// A pool whose connections are counted by customer.
struct CustomerFixture
{
    explicit CustomerFixture(std::uint32_t maximum = 3)
    {
        databases["a"].role = Role::Primary;
        const UpstreamConnector connect = databases.connector();
        pool = DatabasePool::make(
                timers,
                [this, connect](const UpstreamTarget &target, UpstreamChannelHandlers handlers) {
                    ++opened[target.customer.value()];
                    return connect(target, std::move(handlers));
                },
                {.target = {GroupId("herd"), DatabaseId("a"), {"10.0.0.1", 1}},
                 .kept = 3,
                 .maximum = maximum,
                 .counters = &counters});
        pool->setLimits(3, maximum, maximum);
        pool->serveCustomers(true);
    }

    // A lease that ends is granted to the next ticket, which must not happen while the fixture
    // goes.
    ~CustomerFixture()
    {
        pool->close();
    }
    CustomerFixture(const CustomerFixture &) = delete;
    CustomerFixture &operator=(const CustomerFixture &) = delete;

    LinkRequest request(const std::string &customer) const
    {
        return {.context = &session, .customer = CustomerId(customer), .priority = 1};
    }

    // Queues a statement that keeps its lease in `leases` until it is erased there.
    void queue(const std::string &customer)
    {
        pool->wait(request(customer), [this, customer](LinkLease lease) {
            order.push_back(customer);
            leases.emplace(customer, std::move(lease));
        });
    }

    // A lease that the pool grants within a second.
    void take(const std::string &customer)
    {
        queue(customer);
        timers.advance(1s);
        CPPUNIT_ASSERT_EQUAL(customer, order.back());
    }

    void release(const std::string &customer)
    {
        leases.extract(leases.find(customer));
    }

    // Runs statements on the lease one after the other.
    void runUntil(Instant end, LinkLease &lease)
    {
        lease->run({.command = {.statement = {.kind = StatementKind::Read}}, .context = &session},
                   [this, end, &lease](const LinkOutcome &) {
                       if (timers.now() < end)
                           runUntil(end, lease);
                   });
    }

    std::uint64_t count(const std::string &name)
    {
        return counters.counter(name).value();
    }

    VirtualTimers timers;
    FakeGroup databases{timers};
    Counters counters;
    SessionContext session;
    std::map<std::string, int> opened;
    std::vector<std::string> order;
    std::shared_ptr<DatabasePool> pool;
    std::multimap<std::string, LinkLease> leases;
};

} // namespace

class CustomerLinksTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CustomerLinksTest);
    CPPUNIT_TEST(connectionServesItsCustomerOnly);
    CPPUNIT_TEST(ownStatementsUseAnyIdleConnection);
    CPPUNIT_TEST(idleConnectionsStayOpen);
    CPPUNIT_TEST(vmThatOwnsNoneClosesWhatItOpened);
    CPPUNIT_TEST(leastRecentlyUsedIsClosedToMakeRoom);
    CPPUNIT_TEST(freedConnectionIsClosedForTheNextCustomer);
    CPPUNIT_TEST(companionsUseTheirConnectionFirst);
    CPPUNIT_TEST(rareCustomerWaitsNoLongerThanTheBound);
    CPPUNIT_TEST(rareCustomersDoNotCloseOneAnothersConnections);
    CPPUNIT_TEST(connectionsStayWithinTheMaximum);
    CPPUNIT_TEST(openingCountsAgainstTheLimit);
    CPPUNIT_TEST(nothingIsClosedWhileOpensAreRefused);
    CPPUNIT_TEST(oneConnectionIsOpenedAheadOfDemand);
    CPPUNIT_TEST_SUITE_END();

public:
    // Failure: after a restart of all VMs, each keeps the connection that it opened while it knew
    // no other VM. Together these fill the database's limit, and its owners can open none.
    void vmThatOwnsNoneClosesWhatItOpened()
    {
        CustomerFixture fixture;
        fixture.pool->setLimits(0, 1, 1);
        fixture.take("x");
        fixture.release("x");
        fixture.timers.advance(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.pool->connections());
    }

    // Failure: a statement runs on a connection that was opened for another customer.
    void connectionServesItsCustomerOnly()
    {
        CustomerFixture fixture;
        fixture.take("x");
        fixture.release("x");
        CPPUNIT_ASSERT(!fixture.pool->tryAcquire(fixture.request("y")));
        CPPUNIT_ASSERT(!fixture.pool->tryAcquire(fixture.request("")));
        CPPUNIT_ASSERT(fixture.pool->tryAcquire(fixture.request("x")));
        CPPUNIT_ASSERT_EQUAL(1, fixture.opened["x"]);
    }

    // Failure: status requests fail while customers hold every connection.
    void ownStatementsUseAnyIdleConnection()
    {
        CustomerFixture fixture(1);
        fixture.take("x");
        fixture.release("x");
        CPPUNIT_ASSERT(fixture.pool->tryAcquire({}));
        CPPUNIT_ASSERT_EQUAL(0, fixture.opened[""]);
    }

    // Failure: a rare customer pays for an opening with each statement.
    void idleConnectionsStayOpen()
    {
        CustomerFixture fixture;
        for (const std::string customer : {"x", "y", "z"}) {
            fixture.take(customer);
            fixture.release(customer);
        }
        fixture.timers.advance(50s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.databases["a"].connections);
        // Before the database closes them, at 60 s.
        fixture.timers.advance(8s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.databases["a"].connections);
    }

    void leastRecentlyUsedIsClosedToMakeRoom()
    {
        CustomerFixture fixture;
        for (const std::string customer : {"x", "y", "z"}) {
            fixture.take(customer);
            fixture.release(customer);
        }
        fixture.take("w");
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.databases["a"].connections);
        CPPUNIT_ASSERT(!fixture.pool->tryAcquire(fixture.request("x")));
        CPPUNIT_ASSERT(fixture.pool->tryAcquire(fixture.request("y")));
        CPPUNIT_ASSERT(fixture.pool->tryAcquire(fixture.request("z")));
        CPPUNIT_ASSERT_EQUAL(
                std::uint64_t{1},
                fixture.count("fescuespring_connections_closed_for_another_customer_total"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4},
                             fixture.count("fescuespring_connections_opened_total"));
    }

    // Failure: statements of a customer without a connection wait for ever at the maximum.
    void freedConnectionIsClosedForTheNextCustomer()
    {
        CustomerFixture fixture(1);
        fixture.take("x");
        fixture.queue("y");
        fixture.timers.advance(100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.order.size());
        fixture.release("x");
        fixture.timers.advance(10ms);
        CPPUNIT_ASSERT_EQUAL(std::string("y"), fixture.order.back());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.databases["a"].connections);
    }

    // Failure: two customers that alternate in the queue cause an opening for each statement.
    void companionsUseTheirConnectionFirst()
    {
        CustomerFixture fixture(1);
        fixture.take("x");
        fixture.queue("y");
        fixture.queue("x");
        fixture.queue("y");
        fixture.queue("x");
        for (int i = 0; i < 4; ++i) {
            fixture.release(fixture.order.back());
            fixture.timers.advance(5ms);
        }
        const std::vector<std::string> expected{"x", "x", "x", "y", "y"};
        CPPUNIT_ASSERT(expected == fixture.order);
        CPPUNIT_ASSERT_EQUAL(1, fixture.opened["y"]);
    }

    // Failure: a large customer that always has statements waiting keeps every connection.
    void rareCustomerWaitsNoLongerThanTheBound()
    {
        CustomerFixture fixture(1);
        fixture.take("x");
        fixture.queue("y");
        const Instant queuedAt = fixture.timers.now();
        while (fixture.order.back() != "y") {
            fixture.queue("x");
            fixture.timers.advance(5ms);
            fixture.release("x");
            fixture.timers.advance(3ms);
            CPPUNIT_ASSERT(fixture.timers.now() - queuedAt < 60ms);
        }
    }

    // Failure: while rare customers wait for a slot, each closes the connection that was just
    // opened for another; in a model with an overload this doubled the openings.
    void rareCustomersDoNotCloseOneAnothersConnections()
    {
        CustomerFixture fixture(5);
        for (int i = 0; i < 4; ++i)
            fixture.take("x");
        fixture.pool->setLimits(3, 1, 1);
        fixture.pool->setLimits(3, 5, 1);
        fixture.queue("y");
        fixture.queue("z");
        // Four transactions take turns in the one to three slots of the limit while the connection
        // of y opens and z becomes overdue.
        const Instant end = fixture.timers.now() + 60ms;
        for (auto &[customer, lease] : fixture.leases)
            fixture.runUntil(end, lease);
        fixture.timers.advance(100ms);
        CPPUNIT_ASSERT_EQUAL(std::string("y"), fixture.order.back());
        fixture.release("y");
        fixture.timers.advance(10ms);
        CPPUNIT_ASSERT_EQUAL(std::string("z"), fixture.order.back());
        CPPUNIT_ASSERT_EQUAL(1, fixture.opened["y"]);
        CPPUNIT_ASSERT_EQUAL(1, fixture.opened["z"]);
    }

    // Failure: the sum over the owners exceeds what the database allows.
    void connectionsStayWithinTheMaximum()
    {
        CustomerFixture fixture;
        fixture.databases["a"].maximumConnections = 3;
        for (int i = 0; i < 200; ++i) {
            fixture.queue(std::string(1, static_cast<char>('a' + i * 7 % 20)));
            fixture.timers.advance(2ms);
            CPPUNIT_ASSERT(fixture.pool->connections() <= 3);
            if (fixture.leases.size() == 3)
                fixture.leases.extract(fixture.leases.begin());
        }
        // No connection was refused: each opening became a lease or was replaced.
        CPPUNIT_ASSERT(fixture.order.size() > 60);
        CPPUNIT_ASSERT(fixture.pool->openedCount() < 220);
    }

    // Failure: openings of many customers at once occupy more slots than the limit allows.
    void openingCountsAgainstTheLimit()
    {
        CustomerFixture fixture(6);
        fixture.pool->setLimits(3, 2, 2);
        fixture.pool->setLimits(3, 6, 2);
        for (const std::string customer : {"x", "y", "z", "w"})
            fixture.queue(customer);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, fixture.pool->openedCount());
        fixture.timers.advance(10ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fixture.order.size());
    }

    // Failure: connections of a VM that lost power are still open; idle ones are closed although
    // none can be opened in their place.
    void nothingIsClosedWhileOpensAreRefused()
    {
        CustomerFixture fixture;
        for (const std::string customer : {"x", "y", "z"}) {
            fixture.take(customer);
            fixture.release(customer);
        }
        fixture.databases["a"].isFull = true;
        fixture.queue("w");
        fixture.timers.advance(5ms);
        for (int i = 0; i < 4; ++i)
            fixture.queue("w");
        fixture.timers.advance(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.databases["a"].connections);
        fixture.databases["a"].isFull = false;
        fixture.timers.advance(500ms);
        CPPUNIT_ASSERT_EQUAL(std::string("w"), fixture.order.back());
    }

    void oneConnectionIsOpenedAheadOfDemand()
    {
        CustomerFixture fixture;
        fixture.pool->warmUp();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fixture.pool->openedCount());
        CPPUNIT_ASSERT_EQUAL(1, fixture.opened[""]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CustomerLinksTest);
