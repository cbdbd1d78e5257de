#include "successionworld.h"

using namespace fescuespring;
using namespace fescuespring::successiontest;

class SuccessionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SuccessionTest);
    CPPUNIT_TEST(reachablePrimaryIsNotReplaced);
    CPPUNIT_TEST(promotionWaitsForLeasesUntilAllHaveRead);
    CPPUNIT_TEST(unresponsivePrimaryIsWaitedForOnce);
    CPPUNIT_TEST(primaryThatIsNotLostIsKept);
    CPPUNIT_TEST(idleLockIsReleased);
    CPPUNIT_TEST(dueChangeContinuesBetweenChecks);
    CPPUNIT_TEST(lostPrimaryIsReplacedByTheMostAdvanced);
    CPPUNIT_TEST(leasesHaveExpiredWhenThePromotionIsRequested);
    CPPUNIT_TEST(leavingPrimaryIsStoppedFirst);
    CPPUNIT_TEST(nothingIsPromotedWithoutAMajority);
    CPPUNIT_TEST(refusedDatabaseIsSkipped);
    CPPUNIT_TEST(onlyOneHolderRequestsPromotion);
    CPPUNIT_TEST(waitingHolderKeepsTheLock);
    CPPUNIT_TEST(deadHolderIsReplacedWithAHigherToken);
    CPPUNIT_TEST(frozenHolderRequestsNothingWhenItResumes);
    CPPUNIT_TEST(changeSurvivesLostAnswers);
    CPPUNIT_TEST(storeOutageStopsPromotions);
    CPPUNIT_TEST(primaryThatReturnsUnderAnotherNameIsKept);
    CPPUNIT_TEST(returnedPrimaryIsNotKeptWithoutAllAnswers);
    CPPUNIT_TEST(promotionIsNotRequestedOnceTheLockIsLost);
    CPPUNIT_TEST_SUITE_END();

public:
    void reachablePrimaryIsNotReplaced()
    {
        World world;
        Vm vm(world, "one", 0);
        world.timers.advance(20s);
        CPPUNIT_ASSERT(world.promotionRequests.empty());
        CPPUNIT_ASSERT(world.store.objects.empty());
    }

    void promotionWaitsForLeasesUntilAllHaveRead()
    {
        for (const bool isRead : {false, true}) {
            World world;
            Vm vm(world, "vm-0", 0);
            world.timers.advance(1s);
            world.isPrimaryLost = true;
            while (!vm.record().isChanging)
                world.timers.advance(1ms);
            const Instant announcedAt = world.timers.now();
            // Having read an earlier announcement must not count for this one.
            world.read["other"] = ObjectVersion(vm.record().version.value() - (isRead ? 0 : 1));
            while (world.promotionRequests.empty())
                world.timers.advance(1ms);
            const Duration wait = world.promotionRequests.at(0).at - announcedAt;
            CPPUNIT_ASSERT(isRead ? wait < 500ms : wait >= leadershipLease + leadershipMargin);
        }
    }

    // The primary gets 250 ms to report its log position.
    void unresponsivePrimaryIsWaitedForOnce()
    {
        World world;
        Vm vm(world, "vm-0", 0);
        world.timers.advance(1s);
        world.isPrimaryLost = true;
        world.databases["a"].isSilent = true;
        while (!vm.record().isChanging)
            world.timers.advance(1ms);
        const Instant announcedAt = world.timers.now();
        world.read["other"] = vm.record().version;
        while (world.promotionRequests.empty())
            world.timers.advance(1ms);
        CPPUNIT_ASSERT(world.promotionRequests.at(0).at - announcedAt <= 350ms);
    }

    // With many groups, a tick does not check every group; a due change must continue regardless.
    void dueChangeContinuesBetweenChecks()
    {
        World world;
        Vm vm(world, "vm-0", 0);
        world.timers.advance(1s);
        world.isPrimaryLost = true;
        world.timers.advance(100ms);
        world.groupsToCheck.clear();
        world.timers.advance(4s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.promotionRequests.size());
    }

    void primaryThatIsNotLostIsKept()
    {
        World world;
        Vm vm(world, "one", 0);
        world.databases["a"].isSilent = true;
        world.timers.advance(20s);
        CPPUNIT_ASSERT(world.promotionRequests.empty());
    }

    // Pattern: the holder of the lock is cut off together with the primary that it would replace.
    // Its successor would wait for its lease to expire and its calls to end.
    void idleLockIsReleased()
    {
        World world;
        Vm vm(world, "one", 0);
        losePrimary(world);
        world.timers.advance(2500ms);
        CPPUNIT_ASSERT(vm.succession.holdsPromotionLock());
        world.timers.advance(6s);
        CPPUNIT_ASSERT(!vm.succession.holdsPromotionLock());
        vm.isStoreUnreachable = true;
        world.databases["a"].isSilent = false;
        world.databases["a"].role = Role::Replica;
        Vm successor(world, "two", 0);
        world.timers.advance(3s);
        const Instant lostAt = world.timers.now();
        const std::string primary = world.promotionRequests.front().database.value();
        // The replicas have learned of the new term.
        world.databases["a"].term = Term(2);
        world.databases["b"].term = Term(2);
        world.databases["c"].term = Term(2);
        world.databases[primary].isSilent = true;
        world.removed = {primary};
        while (world.promotionRequests.size() < 2 && world.timers.now() < lostAt + 5s)
            world.timers.advance(1ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.promotionRequests.size());
        // 0.6 s of detection and 0.3 s of the platform are left of the 2.5 s.
        const Duration wait = world.promotionRequests.back().at - lostAt;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(wait.count()), wait <= 1600ms);
        CPPUNIT_ASSERT(world.promotionRequests.back().token
                       > world.promotionRequests.front().token);
    }

    void lostPrimaryIsReplacedByTheMostAdvanced()
    {
        World world;
        Vm vm(world, "one", 0);
        world.databases["b"].received = {Term(1), LogPosition(7)};
        world.databases["c"].received = {Term(1), LogPosition(9)};
        losePrimary(world);
        const Instant lostAt = world.timers.now();
        // From the request until the promotion has taken effect, no replica may continue to receive
        // from the previous primary.
        while (world.databases["c"].role == Role::Replica && world.timers.now() < lostAt + 2500ms) {
            world.timers.advance(1ms);
            CPPUNIT_ASSERT(world.promotionRequests.empty()
                           || world.databases["b"].heldTerm == Term(2));
        }
        world.timers.advance(lostAt + 2500ms - world.timers.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.promotionRequests.size());
        CPPUNIT_ASSERT(world.promotionRequests[0].database == DatabaseId("c"));
        CPPUNIT_ASSERT(vm.record().primary == DatabaseId("c"));
        CPPUNIT_ASSERT(vm.record().term == Term(2) && !vm.record().isChanging);
    }

    // The other VM last reads the records just before the announcement.
    void leasesHaveExpiredWhenThePromotionIsRequested()
    {
        World world;
        Vm other(world, "two", 1);
        Vm vm(world, "one", 0);
        world.timers.advance(1s);
        losePrimary(world);
        while (world.promotionRequests.empty()) {
            if (world.store.objects.size() < 2)
                other.view.snapshot(world.store.snapshot(), world.timers.now());
            other.isStoreUnreachable = true;
            world.timers.advance(1ms);
        }
        CPPUNIT_ASSERT(!other.view.isLeading(group, DatabaseId("a"), world.timers.now()));
    }

    void leavingPrimaryIsStoppedFirst()
    {
        World world;
        Vm vm(world, "one", 0);
        world.databases["a"].received = {Term(1), LogPosition(9)};
        world.draining = {"a"};
        world.timers.advance(1300ms);
        CPPUNIT_ASSERT(world.databases["a"].role == Role::Primary);
        world.timers.advance(350ms);
        // The primary is stopped; nothing is promoted until a replica has received its whole log.
        CPPUNIT_ASSERT(world.databases["a"].role == Role::Replica);
        CPPUNIT_ASSERT(world.promotionRequests.empty());
        world.databases["c"].received = {Term(1), LogPosition(9)};
        world.timers.advance(700ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.promotionRequests.size());
        CPPUNIT_ASSERT(vm.record().primary == DatabaseId("c"));
    }

    // A partition separates the primary and one replica; VMs on that side may still confirm the
    // primary.
    void nothingIsPromotedWithoutAMajority()
    {
        World world;
        Vm vm(world, "one", 0);
        world.databases["c"].isSilent = true;
        losePrimary(world);
        world.timers.advance(9s);
        CPPUNIT_ASSERT(world.promotionRequests.empty());
        world.databases["c"].isSilent = false;
        world.timers.advance(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.promotionRequests.size());
    }

    void refusedDatabaseIsSkipped()
    {
        World world;
        Vm vm(world, "one", 0);
        world.databases["c"].received = {Term(1), LogPosition(9)};
        losePrimary(world);
        world.promotionOutcome = PromotionOutcome::Refused;
        while (world.promotionRequests.empty())
            world.timers.advance(1ms);
        world.promotionOutcome.reset();
        world.timers.advance(1s);
        CPPUNIT_ASSERT(world.promotionRequests[0].database == DatabaseId("c"));
        CPPUNIT_ASSERT(world.promotionRequests[1].database == DatabaseId("b"));
        CPPUNIT_ASSERT(vm.record().primary == DatabaseId("b"));
    }

    void onlyOneHolderRequestsPromotion()
    {
        World world;
        Vm one(world, "one", 0);
        Vm two(world, "two", 0);
        Vm three(world, "three", 0);
        losePrimary(world);
        world.timers.advance(4s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.promotionRequests.size());
        CPPUNIT_ASSERT(!two.record().isChanging && two.record().primary == one.record().primary);
    }

    // The holder waits for leases to expire before it requests the promotion; other VMs must not
    // take the lock over meanwhile.
    void waitingHolderKeepsTheLock()
    {
        World world;
        Vm one(world, "one", 0);
        Vm two(world, "two", 1);
        losePrimary(world);
        world.timers.advance(4s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.promotionRequests.size());
        const ObjectVersion lockVersion = world.store.objects[promotionLockKey()].version;
        // The lock was written once, before the announcement and the new record.
        CPPUNIT_ASSERT(lockVersion == ObjectVersion(11));
    }

    void deadHolderIsReplacedWithAHigherToken()
    {
        World world;
        Vm one(world, "one", 0);
        Vm two(world, "two", 1);
        losePrimary(world);
        world.timers.advance(800ms);
        one.isFrozen = true;
        world.timers.advance(12s);
        CPPUNIT_ASSERT(!two.record().isChanging);
        CPPUNIT_ASSERT(two.record().primary != DatabaseId("a"));
        for (std::size_t i = 1; i < world.promotionRequests.size(); ++i)
            CPPUNIT_ASSERT(world.promotionRequests[i].token
                           >= world.promotionRequests[i - 1].token);
        CPPUNIT_ASSERT(world.promotionRequests.back().token > 11);
    }

    // The holder resumes after its successor has requested a promotion, and must not request one
    // with its lower token.
    void frozenHolderRequestsNothingWhenItResumes()
    {
        World world;
        auto one = std::make_unique<Vm>(world, "one", 0);
        Vm two(world, "two", 1);
        losePrimary(world);
        world.timers.advance(1300ms);
        world.promotionOutcome = PromotionOutcome::NotDone;
        one->isFrozen = true;
        world.timers.advance(10s);
        const std::uint64_t highest = world.promotionRequests.back().token;
        one->isFrozen = false;
        world.timers.advance(5s);
        bool sawHighest = false;
        for (const PromotionRequest &request : world.promotionRequests) {
            CPPUNIT_ASSERT(!sawHighest || request.token >= highest);
            sawHighest = sawHighest || request.token == highest;
        }
    }

    void changeSurvivesLostAnswers()
    {
        World world;
        Vm vm(world, "one", 0);
        world.store.losesAnswers = true;
        losePrimary(world);
        world.timers.advance(3s);
        world.store.losesAnswers = false;
        world.timers.advance(5s);
        CPPUNIT_ASSERT(!vm.record().isChanging);
        CPPUNIT_ASSERT(vm.record().primary != DatabaseId("a"));
    }

    void storeOutageStopsPromotions()
    {
        World world;
        Vm vm(world, "one", 0);
        losePrimary(world);
        world.timers.advance(150ms);
        CPPUNIT_ASSERT(vm.record().isChanging);
        world.store.isDown = true;
        world.timers.advance(20s);
        // The lease of this VM expires before it has waited for the leases of the others.
        CPPUNIT_ASSERT(world.promotionRequests.empty());
        world.store.isDown = false;
        world.timers.advance(5s);
        CPPUNIT_ASSERT(!vm.record().isChanging && vm.record().primary != DatabaseId("a"));
    }

    // The primary crashes, the holder announces a change and is frozen, and the primary returns
    // with its log under another name. No promotion is needed, and none would succeed, as the
    // platform treats a request for its current primary as done.
    void primaryThatReturnsUnderAnotherNameIsKept()
    {
        World world;
        Vm first(world, "one", 0);
        Vm second(world, "two", 1);
        world.timers.advance(1s);
        const LogPoint written{Term(1), LogPosition(9)};
        world.databases["a"].isSilent = true;
        world.databases["a"].received = written;
        world.isPrimaryLost = true;
        world.timers.advance(300ms);
        CPPUNIT_ASSERT(second.record().isChanging);
        first.isFrozen = true;
        FakeGroup::Database returned = world.databases["a"];
        returned.isSilent = false;
        world.removed = {"a"};
        world.databases["a"].role = Role::Replica;
        world.databases["d"] = returned;
        world.timers.advance(9s);
        CPPUNIT_ASSERT(!second.record().isChanging);
        CPPUNIT_ASSERT(second.record().primary == DatabaseId("d"));
        CPPUNIT_ASSERT(second.record().term == Term(1));
        CPPUNIT_ASSERT(world.promotionRequests.empty());
        // The replicas have resumed.
        CPPUNIT_ASSERT(world.databases["b"].heldTerm == Term());
        CPPUNIT_ASSERT(world.databases["c"].heldTerm == Term());
    }

    // A database that does not answer may have been promoted in the meantime.
    void returnedPrimaryIsNotKeptWithoutAllAnswers()
    {
        World world;
        Vm first(world, "one", 0);
        world.timers.advance(1s);
        world.databases["a"].isSilent = true;
        world.isPrimaryLost = true;
        world.timers.advance(300ms);
        FakeGroup::Database returned = world.databases["a"];
        returned.isSilent = false;
        world.removed = {"a"};
        world.databases["a"].role = Role::Replica;
        world.databases["d"] = returned;
        world.databases["c"].isSilent = true;
        world.timers.advance(4s);
        CPPUNIT_ASSERT(first.record().isChanging);
    }

    // Guards against a promotion request under an old fencing token: the holder stood still while
    // its connection opened, and was replaced.
    void promotionIsNotRequestedOnceTheLockIsLost()
    {
        World world;
        Vm first(world, "one", 0);
        Vm second(world, "two", 1);
        world.leaseHolders.clear();
        world.promotionConnectTime = 9s;
        losePrimary(world);
        world.timers.advance(1s);
        CPPUNIT_ASSERT(first.succession.holdsPromotionLock() && first.record().isChanging);
        first.isStoreUnreachable = true;
        world.promotionConnectTime = 0s;
        world.timers.advance(12s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.promotionRequests.size());
        CPPUNIT_ASSERT(second.record().primary == world.promotionRequests.front().database);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuccessionTest);
