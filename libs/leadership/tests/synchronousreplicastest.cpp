#include "leadership/promotionbounds.h"
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

    // Requests the promotion of b; the holder runs no more if it is killed then.
    void requestPromotion(Vm &vm, bool isKilled)
    {
        losePrimary(*this);
        const Instant lostAt = timers.now();
        while (promotionRequests.empty() && timers.now() < lostAt + 10s)
            timers.advance(1ms);
        CPPUNIT_ASSERT(isPromoted("b"));
        vm.isFrozen = isKilled;
    }

    // The promotion takes effect, which ends all pauses. The replica c receives nothing, so that it
    // does not learn of the new term.
    void awaitEffect()
    {
        timers.advance(301ms);
        CPPUNIT_ASSERT(databases["b"].role == Role::Primary);
        databases["c"].heldTerm = Term();
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
    CPPUNIT_TEST(choiceIsRepeatedAfterTheWaitForLeases);
    CPPUNIT_TEST(stoppedPrimaryThatRestartsIsStoppedAgain);
    CPPUNIT_TEST(pausedReplicasDoNotResumeBeforeAnEarlierPromotionHasEnded);
    CPPUNIT_TEST(resumedChangePausesNoReplicaAfterThePromotion);
    CPPUNIT_TEST(pauseThatOutlastsThePromotionIsEnded);
    CPPUNIT_TEST(replicaThatIsPausedAndOutOfReachIsResumedLater);
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

    // Guards against a promotion that drops acknowledged commits: while the change waits for the
    // lease of a VM, a replica that was not chosen restarts, receives again, and that VM
    // acknowledges.
    void choiceIsRepeatedAfterTheWaitForLeases()
    {
        SynchronousWorld world;
        Vm vm(world, "one", 0);
        losePrimary(world);
        while (world.databases["c"].heldTerm == Term())
            world.timers.advance(1ms);
        const Instant pausedAt = world.timers.now();
        while (world.timers.now() < pausedAt + leadershipLease / 2)
            world.timers.advance(1ms);
        CPPUNIT_ASSERT(world.promotionRequests.empty());
        world.databases.restart("c");
        world.databases["c"].received = {Term(1), LogPosition(9)};
        world.timers.advance(4s);
        CPPUNIT_ASSERT(world.isPromoted("c"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.promotionRequests.size());
    }

    // Guards against a promotion that drops acknowledged commits: the primary that was stopped has
    // restarted and led again, so what it reported when it was stopped is not its whole log.
    void stoppedPrimaryThatRestartsIsStoppedAgain()
    {
        SynchronousWorld world;
        world.databases["b"].received = older;
        world.databases["a"].received = older;
        Vm vm(world, "one", 0);
        losePrimary(world);
        world.databases["a"].isSilent = false;
        world.databases["b"].isSilent = true;
        while (world.databases["a"].role == Role::Primary)
            world.timers.advance(1ms);
        // Now the primary leads again, and the replica that the holder does not reach follows it.
        world.databases.restart("a");
        world.databases["a"].role = Role::Primary;
        world.databases["a"].received = acknowledged;
        world.databases["b"].received = acknowledged;
        world.timers.advance(5s);
        CPPUNIT_ASSERT(world.databases["a"].role == Role::Replica);
        CPPUNIT_ASSERT(world.promotionRequests.empty());
        world.databases["b"].isSilent = false;
        world.timers.advance(3s);
        CPPUNIT_ASSERT(world.isPromoted("b"));
    }

    // Guards against commits that are acknowledged and dropped: the next holder of the lock lets
    // the replicas receive again while a promotion that the earlier one requested is in flight.
    void pausedReplicasDoNotResumeBeforeAnEarlierPromotionHasEnded()
    {
        SynchronousWorld world;
        Vm one(world, "one", 0);
        Vm two(world, "two", 1);
        world.promotionOutcome = PromotionOutcome::Unknown;
        losePrimary(world);
        while (world.promotionRequests.empty())
            world.timers.advance(1ms);
        one.isFrozen = true;
        // Only the primary that returns may hold all commits.
        world.databases["b"].isSilent = true;
        world.databases["a"].isSilent = false;
        while (!two.succession.holdsPromotionLock())
            world.timers.advance(1ms);
        const Instant takenAt = world.timers.now();
        const Duration ended = leadershipLease + promotionCallTime + promotionTime;
        while (world.timers.now() < takenAt + ended) {
            world.timers.advance(1ms);
            CPPUNIT_ASSERT(world.databases["c"].heldTerm == Term(2));
        }
        world.timers.advance(2s);
        CPPUNIT_ASSERT(world.databases["c"].heldTerm == Term());
    }

    // Guards against a replica that stays paused for good, so that no commit is acknowledged any
    // more: the next holder paused it when the promotion had taken effect (review/13).
    void resumedChangePausesNoReplicaAfterThePromotion()
    {
        SynchronousWorld world;
        Vm killed(world, "one", 0);
        world.requestPromotion(killed, true);
        // The killed holder does not observe what it requested.
        world.databases["b"].isSilent = true;
        world.awaitEffect();
        world.timers.advance(leadershipLease);
        world.databases["b"].isSilent = false;
        Vm vm(world, "two", 0);
        const Instant from = world.timers.now();
        while (vm.record().primary != DatabaseId("b") && world.timers.now() < from + 10s) {
            world.timers.advance(1ms);
            CPPUNIT_ASSERT(world.databases["c"].heldTerm == Term());
        }
        CPPUNIT_ASSERT(vm.record().primary == DatabaseId("b"));
    }

    // Guards against the same where the promoted database did not answer at first.
    void pauseThatOutlastsThePromotionIsEnded()
    {
        SynchronousWorld world;
        Vm vm(world, "one", 0);
        world.requestPromotion(vm, false);
        world.databases["b"].isSilent = true;
        world.awaitEffect();
        world.timers.advance(2500ms);
        CPPUNIT_ASSERT(world.databases["c"].heldTerm == Term(2));
        world.databases["b"].isSilent = false;
        world.timers.advance(7s);
        CPPUNIT_ASSERT(vm.record().primary == DatabaseId("b"));
        CPPUNIT_ASSERT(world.databases["c"].heldTerm == Term());
    }

    // The same where the replica is out of reach when the change ends.
    void replicaThatIsPausedAndOutOfReachIsResumedLater()
    {
        SynchronousWorld world;
        Vm vm(world, "one", 0);
        world.requestPromotion(vm, false);
        world.databases["b"].isSilent = true;
        world.awaitEffect();
        world.timers.advance(2500ms);
        world.databases["c"].isSilent = true;
        world.databases["b"].isSilent = false;
        world.timers.advance(9s);
        CPPUNIT_ASSERT(world.databases["c"].heldTerm == Term(2));
        world.databases["c"].isSilent = false;
        world.timers.advance(2s);
        CPPUNIT_ASSERT(world.databases["c"].heldTerm == Term());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SynchronousReplicasTest);
