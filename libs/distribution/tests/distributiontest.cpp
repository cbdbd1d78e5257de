#include "planlists/listeditor.h"
#include "support/listsfleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;
using namespace std::chrono_literals;
using test::ListsFleet;

class DistributionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DistributionTest);
    CPPUNIT_TEST(editIsInForceEverywhere);
    CPPUNIT_TEST(onlyTwoVmsWatch);
    CPPUNIT_TEST(deadWatchersAreReplaced);
    CPPUNIT_TEST(frozenWatchersAreReplacedAndCatchUp);
    CPPUNIT_TEST(storeOutageDuringStartEditAndStop);
    CPPUNIT_TEST(partitionedSidesWithDifferentVersionsConverge);
    CPPUNIT_TEST(dataCentreWithoutStorePullsFromAnother);
    CPPUNIT_TEST(dataCentreStartedInAnOutagePullsFromAnother);
    CPPUNIT_TEST(invalidListIsRefusedAndReported);
    CPPUNIT_TEST(olderVersionFromTheStoreChangesNothing);
    CPPUNIT_TEST(withoutStoreAndPeersNoVmIsReady);
    CPPUNIT_TEST_SUITE_END();

public:
    void editIsInForceEverywhere()
    {
        for (const std::size_t count : {1, 9, 60}) {
            ListsFleet fleet({.count = count, .seed = count});
            CPPUNIT_ASSERT(fleet.untilInForce(3, 10s) < 5s);
            fleet.network.run(5s);
            fleet.store.put("customers/1", "customers:\n  coop-1: basic\n");
            CPPUNIT_ASSERT(fleet.untilInForce(4, 9s) < 2s);
            CPPUNIT_ASSERT_EQUAL(
                    std::string("basic"),
                    fleet.nodes[count - 1].lists->customers.at(CustomerId("coop-1")).value());
            CPPUNIT_ASSERT(fleet.versionsOnlyRose());
        }
    }

    void onlyTwoVmsWatch()
    {
        ListsFleet fleet({.count = 30, .seed = 2});
        fleet.network.run(10s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fleet.watchers().size());
        const std::uint64_t before = fleet.store.calls;
        fleet.network.run(60s);
        // Two watchers watch three objects each, and renew every watch after 30 s.
        CPPUNIT_ASSERT(fleet.store.calls - before <= 14);
    }

    void deadWatchersAreReplaced()
    {
        ListsFleet fleet({.count = 9, .seed = 3});
        fleet.network.run(10s);
        for (const std::size_t watcher : fleet.watchers())
            fleet.crash(watcher);
        fleet.store.put("customers/1", "customers:\n  coop-1: basic\n");
        CPPUNIT_ASSERT(fleet.untilInForce(4, 20s) < 9s);
    }

    void frozenWatchersAreReplacedAndCatchUp()
    {
        ListsFleet fleet({.count = 9, .seed = 4});
        fleet.network.run(10s);
        const std::vector<std::size_t> watchers = fleet.watchers();
        for (const std::size_t watcher : watchers)
            fleet.freeze(watcher);
        fleet.store.put("customers/1", "customers:\n  coop-1: basic\n");
        CPPUNIT_ASSERT(fleet.untilInForce(4, 20s) < 9s);
        for (const std::size_t watcher : watchers)
            fleet.thaw(watcher);
        CPPUNIT_ASSERT(fleet.untilInForce(4, 20s) < 2s);
        CPPUNIT_ASSERT(fleet.versionsOnlyRose());
    }

    void storeOutageDuringStartEditAndStop()
    {
        ListsFleet fleet({.count = 9, .seed = 5});
        fleet.network.run(10s);
        fleet.store.isDown = true;
        fleet.network.run(20s);

        const std::size_t started = fleet.add();
        const Duration ready = fleet.network.runUntil(
                [&] { return fleet.nodes[started].distribution->isReady(); }, 10s);
        CPPUNIT_ASSERT(ready < 1s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), fleet.nodes[started].mark.version.value());

        EditResult result;
        ListEditor editor(*fleet.nodes[1].client);
        editor.edit({"e1", MoveCustomer{CustomerId("coop-0"), PlanId("basic")}},
                    fleet.network.now(), fleet.network.now() + 60s,
                    [&result](const EditResult &done) { result = done; });
        fleet.network.run(20s);

        fleet.network.apply(4, fleet.network[4].leave(fleet.network.now()));
        fleet.crash(4);
        fleet.network.run(20s);
        CPPUNIT_ASSERT(fleet.network.allCount(9));
        CPPUNIT_ASSERT(fleet.untilInForce(3, 1s) < 1s);

        fleet.store.isDown = false;
        CPPUNIT_ASSERT(fleet.untilInForce(4, 20s) < 9s);
        CPPUNIT_ASSERT(result.outcome == EditOutcome::Done);
        CPPUNIT_ASSERT(fleet.versionsOnlyRose());
    }

    void partitionedSidesWithDifferentVersionsConverge()
    {
        ListsFleet fleet({.count = 12, .seed = 6});
        fleet.network.run(10s);
        fleet.cut([](std::size_t i) { return i < 5 ? 1 : 2; });
        for (std::size_t index = 0; index < 12; ++index)
            fleet.nodes[index].port->blindFor = index < 5 ? "customers/0" : "customers/1";
        fleet.network.run(10s);
        fleet.store.put("customers/0", "customers:\n  coop-0: basic\n");
        fleet.store.put("customers/1", "customers:\n  coop-1: basic\n");
        fleet.network.run(10s);
        const ListsMark one = fleet.nodes[0].mark;
        const ListsMark two = fleet.nodes[11].mark;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), one.version.value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), two.version.value());
        CPPUNIT_ASSERT(one != two);
        fleet.cut([](std::size_t) { return 0; });
        CPPUNIT_ASSERT(fleet.untilInForce(5, 20s) < 9s);
        CPPUNIT_ASSERT(fleet.nodes[0].mark == fleet.nodes[11].mark);
        CPPUNIT_ASSERT(fleet.versionsOnlyRose());
    }

    void dataCentreWithoutStorePullsFromAnother()
    {
        ListsFleet fleet({.count = 12, .seed = 7});
        fleet.network.run(10s);
        fleet.cut([](std::size_t i) { return i < 5 ? 1 : 2; });
        fleet.pullsCross = true;
        for (std::size_t index = 0; index < 12; ++index) {
            fleet.nodes[index].port->isCut = index < 5;
            const std::uint16_t port = index < 5 ? 20007 : 20001;
            fleet.nodes[index].distribution->setRemotePeers({{"10.0.0.1", port}});
        }
        fleet.network.run(10s);
        fleet.store.put("customers/1", "customers:\n  coop-1: basic\n");
        CPPUNIT_ASSERT(fleet.untilInForce(4, 20s) < 9s);
    }

    void dataCentreStartedInAnOutagePullsFromAnother()
    {
        ListsFleet fleet({.count = 4, .seed = 11});
        fleet.network.run(10s);
        fleet.store.isDown = true;
        fleet.pullsCross = true;
        fleet.side = [](std::size_t i) {
            return i < 4 ? 1 : 2;
        };
        for (int i = 0; i < 5; ++i)
            fleet.add();
        fleet.network.cut(fleet.side);
        for (std::size_t i = 4; i < 9; ++i)
            fleet.nodes[i].distribution->setRemotePeers({{"10.0.0.1", 20002}});
        CPPUNIT_ASSERT(fleet.untilInForce(3, 20s) < 1s);
    }

    void invalidListIsRefusedAndReported()
    {
        ListsFleet fleet({.count = 9, .seed = 8});
        fleet.network.run(15s);
        fleet.store.put("customers/0", "customers:\n  coop-0: glod\n");
        fleet.store.put("customers/1", "customers:\n  coop-1: basic\n");
        // The valid edit is applied, the invalid one is not.
        CPPUNIT_ASSERT(fleet.untilInForce(4, 20s) < 2s);
        fleet.network.run(15s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), fleet.nodes[0].mark.version.value());
        CPPUNIT_ASSERT_EQUAL(std::string("gold"),
                             fleet.nodes[0].lists->customers.at(CustomerId("coop-0")).value());
        const std::string status = fleet.store.value("status/north");
        CPPUNIT_ASSERT_MESSAGE(status, status.find("customers/0:2: customers.coop-0: unknown plan "
                                                   "'glod', did you mean 'gold'?")
                                               != std::string::npos);
        fleet.store.put("customers/0", "customers:\n  coop-0: basic\n");
        CPPUNIT_ASSERT(fleet.untilInForce(6, 20s) < 2s);
        fleet.network.run(15s);
        CPPUNIT_ASSERT(fleet.store.value("status/north").find("refused: []") != std::string::npos);
    }

    void olderVersionFromTheStoreChangesNothing()
    {
        ListsFleet fleet({.count = 9, .seed = 9});
        fleet.network.run(10s);
        fleet.store.put("customers/1", "customers:\n  coop-1: basic\n");
        CPPUNIT_ASSERT(fleet.untilInForce(4, 20s) < 2s);
        fleet.store.answersOld = 10;
        for (const std::size_t watcher : fleet.watchers())
            fleet.crash(watcher);
        fleet.network.run(40s);
        CPPUNIT_ASSERT(fleet.store.answersOld < 10);
        CPPUNIT_ASSERT(fleet.versionsOnlyRose());
        CPPUNIT_ASSERT(fleet.untilInForce(4, 20s) < 1s);
    }

    void withoutStoreAndPeersNoVmIsReady()
    {
        ListsFleet fleet({.count = 3, .seed = 10});
        fleet.store.isDown = true;
        fleet.network.run(20s);
        CPPUNIT_ASSERT(!fleet.nodes[0].distribution->isReady());
        CPPUNIT_ASSERT(!fleet.nodes[2].lists);
        fleet.store.isDown = false;
        CPPUNIT_ASSERT(fleet.untilInForce(3, 20s) < 5s);
        CPPUNIT_ASSERT(fleet.nodes[0].distribution->isReady());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DistributionTest);
