#include "statementproxy/upstreams.h"

#include "net/looptimers.h"
#include "relay/relayserver.h"
#include "support/fakegroup.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

const DatabaseId database("a");

// A VM that is an owner of the database together with two others, whose relay servers are real and
// lend a connection of a fake database, or refuse.
struct ThreeOwners
{
    struct Other
    {
        std::unique_ptr<RelayServer> server;
        std::shared_ptr<DatabasePool> pool;
        std::map<std::string, int> requests;
        int probes = 0;
    };

    ThreeOwners()
    {
        databases["a"].role = Role::Primary;
        std::vector<VmRecord> vms{record("self", {})};
        for (const std::string name : {"vm-1", "vm-2"}) {
            Other &other = others[VmId(name)];
            other.pool =
                    DatabasePool::make(virtualTimers, databases.connector(), {.target = target});
            auto server = RelayServer::listen(loop, {"127.0.0.1", 0}, timers, counters,
                                              {.poolOf = [this, &other](const DatabaseId &) {
                                                  ++other.probes;
                                                  return refuses ? nullptr : other.pool;
                                              }});
            CPPUNIT_ASSERT(server);
            other.server = std::move(server.value());
            vms.push_back(record(name, other.server->endpoint()));
        }
        upstreams.directory().update({.target = target, .role = Role::Primary});
        RouteConfiguration configuration;
        configuration.customers = {{.id = CustomerId("x"), .keys = {}}};
        upstreams.shareConnections(configuration, vms, true);
    }

    static VmRecord record(const std::string &name, const Endpoint &relay)
    {
        return {.vm = VmId(name), .dataCentre = DataCentreId("dc"), .peers = {}, .relay = relay};
    }

    void run(Duration time)
    {
        for (const Instant end = timers.now() + time; timers.now() < end;) {
            loop.after(1ms, [this] { loop.stop(); });
            loop.run();
            virtualTimers.advance(1ms);
        }
    }

    // The VM whose connections a statement of the customer uses.
    VmId userOf(const CustomerId &customer)
    {
        const auto pool = upstreams.pool(database, customer);
        if (pool == upstreams.ownPool(database))
            return VmId("self");
        for (auto &[vm, other] : others)
            other.probes = 0;
        LinkLease lease = pool->tryAcquire({.context = &session, .customer = customer});
        lease->run({.command = {.statement = {.kind = StatementKind::Read}},
                    .context = &session,
                    .customer = customer},
                   [](const LinkOutcome &) {});
        run(20ms);
        for (const auto &[vm, other] : others) {
            if (other.probes > 0)
                return vm;
        }
        return {};
    }

    EventLoop loop;
    LoopTimers timers{loop};
    VirtualTimers virtualTimers;
    FakeGroup databases{virtualTimers};
    SessionContext session;
    bool refuses = false;
    Log log = std::move(Log::open({.level = LogLevel::Off}).value());
    Counters counters;
    UpstreamTarget target{GroupId("herd"), database, {}};
    std::map<VmId, Other> others;
    Upstreams upstreams{
            {.timers = timers,
             .log = log,
             .counters = counters,
             .connect = databases.connector(),
             .vm = VmId("self"),
             .dataCentre = DataCentreId("dc"),
             .connectPeer = [this](const Endpoint &endpoint,
                                   std::function<void(const Error &)> onLost) {
                 return std::make_shared<RelayPeer>(
                         loop, timers,
                         RelayPeer::Options{.endpoint = endpoint, .onLost = std::move(onLost)});
             }}};
};

} // namespace

class UpstreamOwnersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamOwnersTest);
    CPPUNIT_TEST(firstOwnerOfTheCustomerIsUsed);
    CPPUNIT_TEST(nextOwnerIsUsedIfTheFirstDoesNotServe);
    CPPUNIT_TEST(withoutCustomerAnOwnerUsesItsOwnConnections);
    CPPUNIT_TEST_SUITE_END();

public:
    // Failure: an owner serves each customer itself, and each owner opens connections for it.
    void firstOwnerOfTheCustomerIsUsed()
    {
        ThreeOwners vms;
        vms.userOf(CustomerId("x"));
        vms.userOf(CustomerId("y"));
        vms.run(50ms);
        std::map<VmId, int> used;
        for (int i = 0; i < 30; ++i) {
            const CustomerId customer("customer-" + std::to_string(i));
            const VmId first = vms.userOf(customer);
            ++used[first];
            CPPUNIT_ASSERT(first == vms.userOf(customer));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, used.size());
    }

    // Failure: the first owner is cut off from the database but not from this VM; replies through
    // the other owners hide that its customers are not served.
    void nextOwnerIsUsedIfTheFirstDoesNotServe()
    {
        ThreeOwners vms;
        vms.userOf(CustomerId("x"));
        vms.run(50ms);
        CustomerId customer;
        VmId first("self");
        for (int i = 0; first == VmId("self"); ++i) {
            customer = CustomerId("customer-" + std::to_string(i));
            first = vms.userOf(customer);
        }
        vms.refuses = true;
        vms.userOf(customer);
        vms.run(350ms);
        CPPUNIT_ASSERT(vms.userOf(customer) != first);
        // It is used again when it has answered a probe.
        vms.refuses = false;
        for (int i = 0; i < 10; ++i) {
            vms.upstreams.probeUnresponsive();
            vms.run(50ms);
        }
        CPPUNIT_ASSERT(vms.userOf(customer) == first);
    }

    void withoutCustomerAnOwnerUsesItsOwnConnections()
    {
        ThreeOwners vms;
        vms.run(20ms);
        CPPUNIT_ASSERT(vms.upstreams.pool(database, {}) == vms.upstreams.ownPool(database));
        CPPUNIT_ASSERT(vms.upstreams.pool(database) == vms.upstreams.ownPool(database));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamOwnersTest);
