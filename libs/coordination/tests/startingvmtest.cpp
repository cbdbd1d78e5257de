#include "coordinationworld.h"

using namespace fescuespring;
using namespace fescuespring::coordinationtest;

namespace {

// The databases were in use for some time; the record names a as the primary of the group.
struct RunningWorld : World
{
    RunningWorld()
    {
        synchronousReplicas = 1;
        store.objects[leadershipKey(group)] = {
                leadershipKey(group), ObjectVersion(20),
                encodeLeadership({.group = group, .primary = DatabaseId("a"), .term = Term(1)})};
        timers.advance(10s);
    }

    // A VM watches c leave as planned; afterwards b lacks what the primary and c hold.
    void recordDeparture()
    {
        Vm vm(*this, "vm-0");
        timers.advance(4s);
        UpstreamEntry leaving = *vm.upstreams.directory().find(DatabaseId("c"));
        leaving.isDraining = true;
        vm.upstreams.directory().update(leaving);
        timers.advance(1s);
        databases["a"].received = databases["c"].received = {Term(1), LogPosition(9)};
    }

    // c has left, the primary a is lost for good, and no VM that knew them runs any more.
    void loseTwo()
    {
        for (const char *name : {"a", "c"}) {
            databases[name].isSilent = true;
            unlisted.insert(DatabaseId(name));
        }
    }

    // The time until a promotion is requested, or the limit.
    Duration timeToPromotion(Duration limit)
    {
        const Instant from = timers.now();
        while (promotionRequests.empty() && timers.now() < from + limit)
            timers.advance(10ms);
        return timers.now() - from;
    }
};

// The longest time from the start of a VM to the replacement of a primary that is gone: the two
// seconds in which its entry might return, and that of a change.
constexpr Duration longestReplacement = 4s;

} // namespace

// A VM that starts has only the listed entries of the databases, some of which an outage of the
// store may have removed.
class StartingVmTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StartingVmTest);
    CPPUNIT_TEST(onlyReplicaSeenIsNotPromoted);
    CPPUNIT_TEST(databasesThatTheWatchHasNotShownAreRead);
    CPPUNIT_TEST(nothingIsPromotedWhileTheListCannotBeRead);
    CPPUNIT_TEST(outageAfterTheStartDelaysPromotions);
    CPPUNIT_TEST(databaseThatIsGoneHoldsUpNothing);
    CPPUNIT_TEST(databaseThatIsGoneHoldsUpNothingAfterTwoRestarts);
    CPPUNIT_TEST(databaseThatIsGoneHoldsUpNothingAfterAnOutage);
    CPPUNIT_TEST(firstPrimaryThatIsGoneIsReplaced);
    CPPUNIT_TEST(firstPrimaryThatIsUnseenIsKept);
    CPPUNIT_TEST(replicaThatLeftBeforeTheStartCounts);
    CPPUNIT_TEST(departureIsRecordedOnceAndRemoved);
    CPPUNIT_TEST(replicaWhoseLogWasTakenOverHoldsUpNothing);
    CPPUNIT_TEST(departureThatIsRecordedNoLongerCountsForEver);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against the loss of commits that are held by databases whose entries come back up to
    // two seconds after the store (review/11).
    void onlyReplicaSeenIsNotPromoted()
    {
        RunningWorld world;
        world.unlisted = {DatabaseId("a"), DatabaseId("c")};
        Vm vm(world, "vm-0");
        world.timers.advance(2s);
        CPPUNIT_ASSERT(world.promotionRequests.empty());
        world.unlisted.clear();
        vm.readDatabases();
        world.timers.advance(8s);
        CPPUNIT_ASSERT(world.promotionRequests.empty());
    }

    // Guards against the same while the watch of the entries lags behind the store.
    void databasesThatTheWatchHasNotShownAreRead()
    {
        RunningWorld world;
        world.unlisted = {DatabaseId("a"), DatabaseId("c")};
        Vm vm(world, "vm-0");
        world.unlisted.clear();
        world.timers.advance(8s);
        CPPUNIT_ASSERT(world.promotionRequests.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                             vm.upstreams.directory().groupSize(group, world.timers.now()));
    }

    // Guards against a list that is taken for complete because it could not be read again.
    void nothingIsPromotedWhileTheListCannotBeRead()
    {
        RunningWorld world;
        world.unlisted = {DatabaseId("a")};
        world.isListUnreadable = true;
        Vm vm(world, "vm-0");
        world.timers.advance(8s);
        CPPUNIT_ASSERT(world.promotionRequests.empty());
        world.isListUnreadable = false;
        CPPUNIT_ASSERT(world.timeToPromotion(5s) < longestReplacement - missingEntryGrace);
    }

    // Guards against a wait that counts from a start before the outage.
    void outageAfterTheStartDelaysPromotions()
    {
        RunningWorld world;
        world.unlisted = {DatabaseId("a"), DatabaseId("c")};
        Vm vm(world, "vm-0");
        world.timers.advance(500ms);
        world.store.isDown = true;
        world.timers.advance(6s);
        world.store.isDown = false;
        world.timers.advance(2s);
        CPPUNIT_ASSERT(world.promotionRequests.empty());
        world.unlisted.clear();
        world.timers.advance(8s);
        CPPUNIT_ASSERT(world.promotionRequests.empty());
    }

    // The other side: what is gone for good must not hold up a change beyond the two seconds.
    void databaseThatIsGoneHoldsUpNothing()
    {
        RunningWorld world;
        world.databases["a"].isSilent = true;
        world.unlisted = {DatabaseId("a")};
        Vm vm(world, "vm-0");
        CPPUNIT_ASSERT(world.timeToPromotion(10s) < longestReplacement);
    }

    void databaseThatIsGoneHoldsUpNothingAfterTwoRestarts()
    {
        RunningWorld world;
        world.databases["a"].isSilent = true;
        world.unlisted = {DatabaseId("a")};
        for (int start = 0; start < 2; ++start) {
            Vm stopped(world, "vm-" + std::to_string(start));
            world.timers.advance(1s);
        }
        Vm vm(world, "vm-3");
        CPPUNIT_ASSERT(world.timeToPromotion(10s) < longestReplacement);
    }

    void databaseThatIsGoneHoldsUpNothingAfterAnOutage()
    {
        RunningWorld world;
        world.databases["a"].isSilent = true;
        world.unlisted = {DatabaseId("a")};
        world.store.isDown = true;
        Vm vm(world, "vm-0");
        world.timers.advance(7s);
        world.store.isDown = false;
        // A read that was under way during the outage ends within a second.
        CPPUNIT_ASSERT(world.timeToPromotion(10s) < longestReplacement + 1s);
    }

    // Guards against a group that remains without a primary, as it never had a record (review/12).
    void firstPrimaryThatIsGoneIsReplaced()
    {
        RunningWorld world;
        world.store.objects.clear();
        world.databases["a"].isSilent = true;
        world.unlisted = {DatabaseId("a")};
        for (int start = 0; start < 2; ++start) {
            Vm stopped(world, "vm-" + std::to_string(start));
            world.timers.advance(1s);
        }
        Vm vm(world, "vm-3");
        CPPUNIT_ASSERT(world.timeToPromotion(10s) < longestReplacement);
    }

    void firstPrimaryThatIsUnseenIsKept()
    {
        RunningWorld world;
        world.store.objects.clear();
        world.unlisted = {DatabaseId("a")};
        Vm vm(world, "vm-0");
        world.timers.advance(2s);
        world.unlisted.clear();
        vm.readDatabases();
        world.timers.advance(8s);
        CPPUNIT_ASSERT(world.promotionRequests.empty());
        CPPUNIT_ASSERT(
                vm.upstreams.leadership().isLeading(group, DatabaseId("a"), world.timers.now()));
    }

    // Guards against the loss of commits that a lost primary and a replica held which left as
    // planned before the VM started; the database that takes over its log is yet to come.
    void replicaThatLeftBeforeTheStartCounts()
    {
        RunningWorld world;
        world.recordDeparture();
        world.loseTwo();
        Vm vm(world, "vm-1");
        world.timers.advance(10s);
        CPPUNIT_ASSERT(world.promotionRequests.empty());
    }

    void departureIsRecordedOnceAndRemoved()
    {
        RunningWorld world;
        int written = 0;
        world.store.onWritten = [&written](const StoredObject &object) {
            written += object.key == departureKey(group) ? 1 : 0;
        };
        world.recordDeparture();
        CPPUNIT_ASSERT_EQUAL(1, written);
        const auto recorded = [&world] {
            return decodeDepartures(group, world.store.objects.at(departureKey(group)))
                    .value()
                    .databases.size();
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, recorded());
        world.unlisted.insert(DatabaseId("c"));
        Vm vm(world, "vm-1");
        world.timers.advance(lostDatabaseRetention + 5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, recorded());
        CPPUNIT_ASSERT_EQUAL(2, written);
    }

    // The other side: a record must not hold up a change once the log of the database is elsewhere,
    // nor for longer than a VM that saw it leave would wait.
    void replicaWhoseLogWasTakenOverHoldsUpNothing()
    {
        RunningWorld world;
        world.recordDeparture();
        world.loseTwo();
        world.predecessors[DatabaseId("d")] = DatabaseId("c");
        world.databases["d"].received = {Term(1), LogPosition(9)};
        Vm vm(world, "vm-1");
        CPPUNIT_ASSERT(world.timeToPromotion(10s) < longestReplacement);
        CPPUNIT_ASSERT(world.promotionRequests.front() == DatabaseId("d"));
    }

    void departureThatIsRecordedNoLongerCountsForEver()
    {
        RunningWorld world;
        world.recordDeparture();
        world.loseTwo();
        Vm vm(world, "vm-1");
        CPPUNIT_ASSERT(world.timeToPromotion(60s) < lostDatabaseRetention + longestReplacement);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartingVmTest);
