#include "successionworld.h"

using namespace fescuespring;
using namespace fescuespring::successiontest;

namespace {

const LogPoint base{Term(1), LogPosition(50)};

// The primary a of term 2, which began at the base, is lost. The databases b and c are of term 1: b
// led it, and has entries that the promotion of a has dropped; c has received nothing since.
struct EarlierTermWorld : World
{
    explicit EarlierTermWorld(std::optional<LogPoint> knownBase = base)
    {
        databases["a"].term = Term(2);
        databases["a"].received = {Term(2), LogPosition(60)};
        databases["b"].received = {Term(1), LogPosition(100)};
        databases["c"].received = {Term(1), LogPosition(40)};
        const LeadershipRecord record{
                .group = group, .primary = DatabaseId("a"), .term = Term(2), .base = knownBase};
        CPPUNIT_ASSERT(
                store.write({leadershipKey(group), encodeLeadership(record), ObjectVersion()}));
        losePrimary(*this);
    }

    // Its entry left the directory so long ago that it does not count any more.
    void removePrimary()
    {
        removed = {"a"};
        groupSize = 2;
    }
};

} // namespace

// Changes of primary in which only databases of an earlier term are reachable.
class EarlierTermTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EarlierTermTest);
    CPPUNIT_TEST(onlyDatabaseOfTheTermIsWaitedForAndKept);
    CPPUNIT_TEST(stoppedPrimaryOfTheTermIsPromotedAgain);
    CPPUNIT_TEST(databaseWithoutDroppedEntriesReplacesALostTerm);
    CPPUNIT_TEST(unknownBaseAllowsTheMostAdvanced);
    CPPUNIT_TEST(droppedEntriesReturnOnlyAfterAMinute);
    CPPUNIT_TEST(unreachableDatabaseMayBeOfTheTerm);
    CPPUNIT_TEST(laterTermThatAReplicaFollowsIsReplaced);
    CPPUNIT_TEST(promotionRecordsTheBase);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against the loss of a whole term: the old primary is back with entries that were
    // dropped, and a majority of the group is of its term.
    void onlyDatabaseOfTheTermIsWaitedForAndKept()
    {
        EarlierTermWorld world;
        Vm vm(world, "one", 0);
        world.timers.advance(8s);
        CPPUNIT_ASSERT(world.promotionRequests.empty());
        CPPUNIT_ASSERT(vm.record().isChanging);
        world.databases["a"].isSilent = false;
        world.isPrimaryLost = false;
        world.timers.advance(2s);
        CPPUNIT_ASSERT(world.promotionRequests.empty());
        CPPUNIT_ASSERT(vm.view.isLeading(group, DatabaseId("a"), world.timers.now()));
        CPPUNIT_ASSERT(vm.record().term == Term(2) && vm.record().base == base);
        CPPUNIT_ASSERT(world.databases["c"].heldTerm == Term());
    }

    void stoppedPrimaryOfTheTermIsPromotedAgain()
    {
        EarlierTermWorld world;
        world.databases["a"].role = Role::Replica;
        Vm vm(world, "one", 0);
        world.timers.advance(4s);
        CPPUNIT_ASSERT(world.promotionRequests.empty());
        world.databases["a"].isSilent = false;
        world.isPrimaryLost = false;
        world.timers.advance(4s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.promotionRequests.size());
        CPPUNIT_ASSERT(world.promotionRequests[0].database == DatabaseId("a"));
    }

    void databaseWithoutDroppedEntriesReplacesALostTerm()
    {
        EarlierTermWorld world;
        Vm vm(world, "one", 0);
        world.timers.advance(8s);
        world.removePrimary();
        world.timers.advance(4s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.promotionRequests.size());
        CPPUNIT_ASSERT(world.promotionRequests[0].database == DatabaseId("c"));
    }

    // As in the records of earlier versions.
    void unknownBaseAllowsTheMostAdvanced()
    {
        EarlierTermWorld world(std::nullopt);
        Vm vm(world, "one", 0);
        world.timers.advance(8s);
        CPPUNIT_ASSERT(world.promotionRequests.empty());
        world.removePrimary();
        world.timers.advance(4s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.promotionRequests.size());
        CPPUNIT_ASSERT(world.promotionRequests[0].database == DatabaseId("b"));
    }

    void droppedEntriesReturnOnlyAfterAMinute()
    {
        EarlierTermWorld world;
        world.databases["c"].received.position = LogPosition(51);
        Vm vm(world, "one", 0);
        world.timers.advance(8s);
        world.removePrimary();
        world.timers.advance(50s);
        CPPUNIT_ASSERT(world.promotionRequests.empty());
        world.timers.advance(8s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.promotionRequests.size());
        CPPUNIT_ASSERT(world.promotionRequests[0].database == DatabaseId("b"));
    }

    void unreachableDatabaseMayBeOfTheTerm()
    {
        EarlierTermWorld world;
        world.databases["b"].isSilent = true;
        Vm vm(world, "one", 0);
        world.timers.advance(4s);
        world.removePrimary();
        world.timers.advance(30s);
        CPPUNIT_ASSERT(world.promotionRequests.empty());
    }

    // A promotion took effect whose holder was lost before it recorded it, and the new primary is
    // out of reach: guards against a change that goes back to the recorded term.
    void laterTermThatAReplicaFollowsIsReplaced()
    {
        EarlierTermWorld world;
        world.databases["c"].term = Term(3);
        Vm vm(world, "one", 0);
        world.timers.advance(500ms);
        world.databases["c"].isSilent = true;
        world.timers.advance(15s);
        CPPUNIT_ASSERT(world.promotionRequests.empty());
        CPPUNIT_ASSERT(vm.record().term == Term(3) && !vm.record().base);
        world.databases["c"].isSilent = false;
        world.timers.advance(4s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.promotionRequests.size());
        CPPUNIT_ASSERT(world.promotionRequests[0].database == DatabaseId("c"));
    }

    void promotionRecordsTheBase()
    {
        World world;
        world.databases["b"].received = {Term(1), LogPosition(7)};
        Vm vm(world, "one", 0);
        losePrimary(world);
        world.timers.advance(3s);
        CPPUNIT_ASSERT(vm.record().primary == DatabaseId("b"));
        CPPUNIT_ASSERT(vm.record().base == LogPoint({Term(1), LogPosition(7)}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EarlierTermTest);
