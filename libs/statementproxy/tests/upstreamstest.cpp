#include "statementproxy/upstreams.h"
#include "support/fakegroup.h"

#include <cppunit/extensions/HelperMacros.h>
#include <memory>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

// A VM before four groups, each with a primary only.
struct World
{
    World()
    {
        RouteConfiguration configuration{.version = 1};
        for (const char *primary : {"a", "b", "c", "d"}) {
            const GroupId group(std::string("group-") + primary);
            databases[primary].role = Role::Primary;
            configuration.groups[group] = {.connections = 20};
            upstreams.directory().update(
                    {.target = {group, DatabaseId(primary), {}}, .role = Role::Primary});
        }
        upstreams.shareConnections(configuration, {}, true);
        timers.advance(4s);
    }

    // A caller's statements go to group-a alone.
    bool isCutOffWithin(Duration time)
    {
        for (const Instant end = timers.now() + time; timers.now() < end;) {
            upstreams.command(DatabaseId("a"), {.kind = StatementKind::Read, .argument = "1"},
                              600ms, [](const auto &) {});
            timers.advance(100ms);
            upstreams.probeSilent();
            if (upstreams.isCutOffFromMost())
                return true;
        }
        return false;
    }

    VirtualTimers timers;
    Log log = std::move(Log::open({.level = LogLevel::Off}).value());
    Counters counters;
    FakeGroup databases{timers};
    Upstreams upstreams{
            {.timers = timers, .log = log, .counters = counters, .connect = databases.connector()}};
};

} // namespace

class UpstreamsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamsTest);
    CPPUNIT_TEST(statementUnderWayEndsWithItsVm);
    CPPUNIT_TEST(cutOffVmKnowsSoonWithLittleToDo);
    CPPUNIT_TEST(oneSilentPrimaryIsNoCut);
    CPPUNIT_TEST_SUITE_END();

public:
    // Pattern: a data centre is cut off, and its VMs have callers of one group at the moment.
    void cutOffVmKnowsSoonWithLittleToDo()
    {
        World world;
        for (const char *primary : {"a", "b", "c"})
            world.databases[primary].isSilent = true;
        CPPUNIT_ASSERT(world.isCutOffWithin(900ms));
    }

    void oneSilentPrimaryIsNoCut()
    {
        World world;
        world.databases["a"].isSilent = true;
        CPPUNIT_ASSERT(!world.isCutOffWithin(3s));
    }

    // The statement holds its connection, and the connection whom to tell of the answer.
    void statementUnderWayEndsWithItsVm()
    {
        const auto told = std::make_shared<int>(0);
        {
            VirtualTimers timers;
            Log log = std::move(Log::open({.level = LogLevel::Off}).value());
            Counters counters;
            FakeGroup databases(timers);
            databases["a"];
            Upstreams upstreams({.timers = timers,
                                 .log = log,
                                 .counters = counters,
                                 .connect = databases.connector()});
            upstreams.directory().update({.target = {GroupId("herd"), DatabaseId("a"), {}}});
            upstreams.askStatus(DatabaseId("a"), [told](const auto &) { ++*told; });
            timers.advance(50ms);
            CPPUNIT_ASSERT_EQUAL(1, *told);
            databases["a"].isSilent = true;
            upstreams.askStatus(DatabaseId("a"), [told](const auto &) { ++*told; });
            timers.advance(50ms);
        }
        CPPUNIT_ASSERT_EQUAL(1, *told);
        CPPUNIT_ASSERT_EQUAL(1L, told.use_count());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamsTest);
