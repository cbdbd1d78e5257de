#include "successionworld.h"

using namespace fescuespring;
using namespace fescuespring::successiontest;

namespace {

// The first primary a of a group without a record is gone for good, and its entry with it: no VM
// that starts from now on learns that it was the primary.
void loseFirstPrimary(World &world)
{
    losePrimary(world);
    world.removed = {"a"};
    world.groupSize = 2;
    world.reportedPrimary = DatabaseId();
}

// Advances until a change of primary has been announced, or recorded.
void awaitAnnouncement(World &world)
{
    const Instant from = world.timers.now();
    while (!world.store.objects.contains(leadershipKey(group)) && world.timers.now() < from + 20s)
        world.timers.advance(1ms);
    CPPUNIT_ASSERT(world.store.objects.contains(leadershipKey(group)));
}

Duration timeToRecord(World &world, const Vm &vm, Duration limit)
{
    const Instant from = world.timers.now();
    const auto isRecorded = [&vm] {
        return !vm.record().primary.isEmpty() && !vm.record().isChanging;
    };
    while (!isRecorded() && world.timers.now() < from + limit)
        world.timers.advance(10ms);
    return world.timers.now() - from;
}

// The wait for all leases, the promotion, and the reads and writes of the records.
constexpr Duration longestChange = 3500ms;

} // namespace

// Groups whose primary no VM knows.
class FirstPrimaryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FirstPrimaryTest);
    CPPUNIT_TEST(firstPrimaryThatIsGoneIsReplaced);
    CPPUNIT_TEST(changeThatAnnouncedNoPrimaryIsContinuedAfterARestart);
    CPPUNIT_TEST(primaryIsReplacedAfterARestoreWithoutARecord);
    CPPUNIT_TEST(databaseThatLeadsIsRecorded);
    CPPUNIT_TEST(primaryThatReturnsDuringTheChangeIsKept);
    CPPUNIT_TEST(leasesOnThePrimaryAreWaitedFor);
    CPPUNIT_TEST(groupWithoutDatabasesIsLeftAlone);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a group that is without a primary for ever, as all VMs that knew its first one
    // were killed (review/12).
    void firstPrimaryThatIsGoneIsReplaced()
    {
        World world;
        loseFirstPrimary(world);
        Vm vm(world, "one", 0);
        CPPUNIT_ASSERT(timeToRecord(world, vm, 20s) < longestChange);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.promotionRequests.size());
        const DatabaseId primary = vm.record().primary;
        CPPUNIT_ASSERT(world.databases[primary.value()].role == Role::Primary);
        CPPUNIT_ASSERT(vm.view.isLeading(group, primary, world.timers.now()));
    }

    // Guards against the same after a second restart, in the middle of the change.
    void changeThatAnnouncedNoPrimaryIsContinuedAfterARestart()
    {
        World world;
        loseFirstPrimary(world);
        Vm killed(world, "one", 0);
        awaitAnnouncement(world);
        killed.isFrozen = true;
        world.leaseHolders = {{VmId("one"), "one-life"}};
        Vm vm(world, "two", 0);
        CPPUNIT_ASSERT(timeToRecord(world, vm, 30s) < 10s);
        CPPUNIT_ASSERT(vm.view.isLeading(group, vm.record().primary, world.timers.now()));
    }

    void primaryIsReplacedAfterARestoreWithoutARecord()
    {
        World world;
        loseFirstPrimary(world);
        world.store.restore({});
        Vm vm(world, "one", 0);
        CPPUNIT_ASSERT(timeToRecord(world, vm, 30s) < 8s);
        CPPUNIT_ASSERT(vm.view.isLeading(group, vm.record().primary, world.timers.now()));
    }

    // The other side: a database that leads but has not reported so is not replaced.
    void databaseThatLeadsIsRecorded()
    {
        World world;
        world.reportedPrimary = DatabaseId();
        Vm vm(world, "one", 0);
        CPPUNIT_ASSERT(timeToRecord(world, vm, 20s) < longestChange);
        CPPUNIT_ASSERT(vm.record().primary == DatabaseId("a"));
        world.timers.advance(10s);
        CPPUNIT_ASSERT(world.promotionRequests.empty());
    }

    void primaryThatReturnsDuringTheChangeIsKept()
    {
        World world;
        loseFirstPrimary(world);
        world.promotionOutcome = PromotionOutcome::NotDone;
        Vm vm(world, "one", 0);
        awaitAnnouncement(world);
        world.databases["a"].isSilent = false;
        world.isPrimaryLost = false;
        world.removed.clear();
        world.groupSize = 3;
        CPPUNIT_ASSERT(timeToRecord(world, vm, 20s) < 10s);
        CPPUNIT_ASSERT(vm.record().primary == DatabaseId("a"));
        world.timers.advance(5s);
        for (const char *replica : {"b", "c"})
            CPPUNIT_ASSERT(world.databases[replica].heldTerm == Term());
    }

    // Guards against a promotion while a VM that has seen the primary still acknowledges by it.
    void leasesOnThePrimaryAreWaitedFor()
    {
        World world;
        Vm other(world, "other", 9);
        other.isFrozen = true;
        loseFirstPrimary(world);
        Vm vm(world, "one", 0);
        awaitAnnouncement(world);
        const Instant announcedAt = world.timers.now();
        CPPUNIT_ASSERT(timeToRecord(world, vm, 20s) < longestChange);
        CPPUNIT_ASSERT(world.promotionRequests.front().at
                       >= announcedAt + leadershipLease + leadershipMargin);
        CPPUNIT_ASSERT(!other.view.isLeading(group, DatabaseId("a"), world.timers.now()));
    }

    void groupWithoutDatabasesIsLeftAlone()
    {
        World world;
        world.reportedPrimary = DatabaseId();
        world.removed = {"a", "b", "c"};
        Vm vm(world, "one", 0);
        world.timers.advance(10s);
        CPPUNIT_ASSERT(world.store.objects.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FirstPrimaryTest);
