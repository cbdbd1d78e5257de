#include "successionworld.h"

using namespace fescuespring;
using namespace fescuespring::successiontest;

namespace {

const LogPoint acknowledged{Term(1), LogPosition(7)};
const LogPoint older{Term(1), LogPosition(1)};

// A group whose commits need one replica: b has received the newest one, c none for a while.
struct SynchronousWorld : World
{
    SynchronousWorld()
    {
        synchronousReplicas = 1;
        databases["a"].received = acknowledged;
        databases["b"].received = acknowledged;
        databases["c"].received = older;
    }

    void growToFive()
    {
        groupSize = 5;
        databases["d"].received = older;
        databases["e"].received = older;
    }

    bool isPromoted(const std::string &name) const
    {
        return !promotionRequests.empty() && promotionRequests.back().database == DatabaseId(name);
    }
};

} // namespace

// Changes of primary in a group whose commits are acknowledged once a replica has received them.
class SynchronousReplicasTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SynchronousReplicasTest);
    CPPUNIT_TEST(leavingPrimaryServesUntilAReplicaFollows);
    CPPUNIT_TEST(waitingHolderIsNotReplacedAtOnce);
    CPPUNIT_TEST(changeGoesOnAfterAllEntriesWereMissing);
    CPPUNIT_TEST(stoppedPrimaryIsNotReplacedByAReplicaBehindIt);
    CPPUNIT_TEST(lostPrimaryIsNotReplacedWhileAReplicaIsMissing);
    CPPUNIT_TEST(lostPrimaryIsReplacedWhenAllReplicasAnswer);
    CPPUNIT_TEST(replicasCatchUpWithAPrimaryThatReturns);
    CPPUNIT_TEST(refusedHolderOfTheNewestCommitIsNotPassedOver);
    CPPUNIT_TEST(goneReplicaIsNotWaitedForForever);
    CPPUNIT_TEST(withoutSynchronousReplicasNothingWaits);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a planned change of primary that drops acknowledged commits: the replica that
    // holds them is dark, and the other one receives nothing.
    void leavingPrimaryServesUntilAReplicaFollows()
    {
        SynchronousWorld world;
        Vm vm(world, "one", 0);
        world.databases["b"].isSilent = true;
        world.draining = {"a"};
        for (int i = 0; i < 400; ++i) {
            world.timers.advance(10ms);
            CPPUNIT_ASSERT(world.databases["a"].role == Role::Primary);
            CPPUNIT_ASSERT(!vm.record().isChanging);
        }
        CPPUNIT_ASSERT(world.promotionRequests.empty());
        world.databases["b"].isSilent = false;
        world.timers.advance(3s);
        CPPUNIT_ASSERT(world.isPromoted("b"));
        CPPUNIT_ASSERT(vm.record().primary == DatabaseId("b"));
    }

    // Guards against a lock that VMs take from one another while a planned change waits.
    void waitingHolderIsNotReplacedAtOnce()
    {
        SynchronousWorld world;
        Vm one(world, "one", 0);
        Vm two(world, "two", 1);
        world.databases["b"].isSilent = true;
        world.draining = {"a"};
        world.timers.advance(200ms);
        CPPUNIT_ASSERT(one.succession.holdsPromotionLock());
        world.timers.advance(3500ms);
        CPPUNIT_ASSERT(one.succession.holdsPromotionLock());
        // A holder that is gone is replaced while the primary still serves.
        one.isFrozen = true;
        world.databases["b"].isSilent = false;
        world.timers.advance(5s);
        CPPUNIT_ASSERT(world.isPromoted("b"));
    }

    // Guards against a planned change that stands still for good, as no database was listed for a
    // moment while it waited.
    void changeGoesOnAfterAllEntriesWereMissing()
    {
        SynchronousWorld world;
        Vm vm(world, "one", 0);
        world.databases["b"].isSilent = true;
        world.draining = {"a"};
        world.timers.advance(1s);
        world.removed = {"a", "b", "c"};
        world.timers.advance(1s);
        world.removed.clear();
        world.databases["b"].isSilent = false;
        world.timers.advance(4s);
        CPPUNIT_ASSERT(world.isPromoted("b"));
    }

    // Guards against the same loss when the replica goes dark after the primary was stopped.
    void stoppedPrimaryIsNotReplacedByAReplicaBehindIt()
    {
        SynchronousWorld world;
        Vm vm(world, "one", 0);
        world.draining = {"a"};
        while (world.databases["a"].role == Role::Primary)
            world.timers.advance(1ms);
        world.databases["b"].isSilent = true;
        world.timers.advance(5s);
        CPPUNIT_ASSERT(world.promotionRequests.empty());
        // The other replica may still receive the log of the stopped primary.
        CPPUNIT_ASSERT(world.databases["c"].heldTerm == Term());
        world.databases["c"].received = acknowledged;
        world.timers.advance(3s);
        CPPUNIT_ASSERT(world.isPromoted("c"));
    }

    // Guards against an unplanned change that drops acknowledged commits: primary and replica that
    // hold them are away, and the primary's position is unknown.
    void lostPrimaryIsNotReplacedWhileAReplicaIsMissing()
    {
        SynchronousWorld world;
        Vm vm(world, "one", 0);
        world.growToFive();
        world.databases["b"].isSilent = true;
        losePrimary(world);
        world.timers.advance(9s);
        CPPUNIT_ASSERT(world.promotionRequests.empty());
        world.databases["b"].isSilent = false;
        world.timers.advance(2s);
        CPPUNIT_ASSERT(world.isPromoted("b"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.promotionRequests.size());
    }

    void lostPrimaryIsReplacedWhenAllReplicasAnswer()
    {
        SynchronousWorld world;
        Vm vm(world, "one", 0);
        losePrimary(world);
        world.timers.advance(2500ms);
        CPPUNIT_ASSERT(world.isPromoted("b"));
        CPPUNIT_ASSERT(vm.record().primary == DatabaseId("b"));
    }

    // The primary was dark only for a while, and the replica with its newest commit stays away.
    void replicasCatchUpWithAPrimaryThatReturns()
    {
        SynchronousWorld world;
        Vm vm(world, "one", 0);
        world.groupSize = 4;
        world.databases["d"].received = older;
        world.databases["b"].isSilent = true;
        losePrimary(world);
        world.timers.advance(3s);
        CPPUNIT_ASSERT(world.databases["c"].heldTerm == Term(2));
        world.databases["a"].isSilent = false;
        world.timers.advance(1s);
        CPPUNIT_ASSERT(world.databases["a"].role == Role::Replica);
        CPPUNIT_ASSERT(world.databases["c"].heldTerm == Term());
        CPPUNIT_ASSERT(world.promotionRequests.empty());
        world.databases["c"].received = acknowledged;
        world.timers.advance(3s);
        CPPUNIT_ASSERT(world.isPromoted("c"));
    }

    void refusedHolderOfTheNewestCommitIsNotPassedOver()
    {
        SynchronousWorld world;
        Vm vm(world, "one", 0);
        losePrimary(world);
        world.promotionOutcome = PromotionOutcome::Refused;
        world.timers.advance(4s);
        CPPUNIT_ASSERT(world.promotionRequests.size() > 1);
        for (const PromotionRequest &request : world.promotionRequests)
            CPPUNIT_ASSERT(request.database == DatabaseId("b"));
        world.promotionOutcome.reset();
        world.timers.advance(2s);
        CPPUNIT_ASSERT(vm.record().primary == DatabaseId("b"));
    }

    // The entry of a replica that is lost for good leaves the store, and after some time the group.
    void goneReplicaIsNotWaitedForForever()
    {
        SynchronousWorld world;
        Vm vm(world, "one", 0);
        world.growToFive();
        world.databases["b"].isSilent = true;
        world.removed = {"b"};
        losePrimary(world);
        world.timers.advance(9s);
        CPPUNIT_ASSERT(world.promotionRequests.empty());
        world.groupSize = 4;
        world.timers.advance(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.promotionRequests.size());
    }

    void withoutSynchronousReplicasNothingWaits()
    {
        SynchronousWorld world;
        world.synchronousReplicas = 0;
        Vm vm(world, "one", 0);
        world.databases["b"].isSilent = true;
        world.draining = {"a"};
        world.timers.advance(4s);
        CPPUNIT_ASSERT(world.isPromoted("c"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SynchronousReplicasTest);
