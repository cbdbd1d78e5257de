#include "leadership/succession.h"

#include "store/objectversion.h"

#include "support/fakegroup.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <optional>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

const GroupId group("herd");

// The leadership objects in the store, with conditional writes whose answers may be lost.
struct Store
{
    std::map<std::string, StoredObject> objects;
    std::uint64_t version = 10;
    StoreEpoch epoch;
    bool isDown = false;
    bool losesAnswers = false;

    Result<WriteAnswer> write(const ObjectWrite &write)
    {
        if (isDown)
            return Error{ErrorCode::Unavailable, "down"};
        const auto stored = objects.find(write.key);
        const ObjectVersion current =
                stored == objects.end() ? ObjectVersion() : stored->second.version;
        if (current != write.ifVersion)
            return WriteAnswer{false, current};
        StoredObject &object = objects[write.key];
        object = {write.key, makeObjectVersion(epoch, ++version), write.value};
        if (losesAnswers)
            return Error{ErrorCode::ConnectionLost, "lost"};
        return WriteAnswer{true, object.version};
    }

    LeadershipSnapshot snapshot() const
    {
        std::vector<StoredObject> listed;
        for (const auto &[key, object] : objects)
            listed.push_back(object);
        return decodeSnapshot(listed, epoch).value();
    }

    // Replaces the objects by those of a copy, in the next epoch; versions go back too.
    void restore(const Store &copy)
    {
        epoch = epoch.next();
        version = copy.version;
        objects = copy.objects;
        for (auto &[key, object] : objects)
            object.version = makeObjectVersion(epoch, numberOf(object.version));
    }
};

// A promotion request as the platform receives it.
struct PromotionRequest
{
    DatabaseId database;
    std::uint64_t token = 0;
    Instant at;
};

struct World
{
    World()
    {
        databases["a"].role = Role::Primary;
        databases["b"];
        databases["c"];
    }

    VirtualTimers timers;
    Log log = std::move(Log::open({.level = LogLevel::Off}).value());
    Counters counters;
    FakeGroup databases{timers};
    Store store;
    std::vector<PromotionRequest> promotionRequests;
    std::set<std::string> draining;
    std::set<std::string> removed;

    // The observers get no answer from the primary a.
    bool isPrimaryLost = false;

    // VMs that may hold leases, and the announcements that they reported as read.
    std::vector<VmIncarnation> leaseHolders{{VmId("other"), "life"}};
    std::map<std::string, ObjectVersion> read;

    // Groups to check in each tick.
    std::vector<GroupId> groupsToCheck{group};
    std::size_t groupSize = 3;
    std::optional<PromotionOutcome> promotionOutcome;
};

// A VM with its Succession; reads the records every 400 ms unless it cannot reach the store.
struct Vm
{
    Vm(World &ownWorld, const std::string &name, std::size_t rank)
        : world(ownWorld)
        , self(name)
        , succession(
                  {.timers = world.timers,
                   .log = world.log,
                   .counters = world.counters,
                   .view = view,
                   .self = self,
                   .incarnation = name + "-life"},
                  {.groups = [this] { return world.groupsToCheck; },
                   .databases = [this](const GroupId &) { return candidates(); },
                   .groupSize = [this](const GroupId &) { return world.groupSize; },
                   .command = [this](const DatabaseId &database, const Statement &statement,
                                     Duration timeout,
                                     auto done) { command(database, statement, timeout, done); },
                   .write =
                           [this](const ObjectWrite &write, const ObjectStore::WriteDone &done) {
                               world.timers.after(5ms, [this, write, done] {
                                   done(world.store.write(write));
                               });
                           },
                   .requestPromotion = [this](const GroupId &, const DatabaseId &database,
                                              std::uint64_t token,
                                              auto done) { startPromotion(database, token, done); },
                   .refresh = [this] { read(); },
                   .leaseHolders = [this](const auto &done) { done(world.leaseHolders); },
                   .hasRead =
                           [this](const VmIncarnation &reader, const GroupId &,
                                  ObjectVersion version) {
                               const auto read = world.read.find(reader.vm.value());
                               return read != world.read.end() && read->second >= version;
                           },
                   .rank =
                           [rank] {
                               return rank;
                           }})
    {
        view.setReportedPrimary(group, DatabaseId("a"));
        read();
        loop();
    }

    void loop()
    {
        world.timers.after(100ms, [this] {
            if (!isFrozen) {
                if (world.timers.now() - readAt >= 400ms)
                    read();
                succession.tick();
            }
            loop();
        });
    }

    void read()
    {
        if (world.store.isDown || isFrozen || isStoreUnreachable)
            return;
        const Instant askedAt = world.timers.now();
        readAt = askedAt;
        world.timers.after(5ms, [this, askedAt] {
            view.snapshot(world.store.snapshot(), askedAt);
            if (!isFrozen)
                succession.tick();
        });
    }

    std::vector<SuccessionCandidate> candidates()
    {
        std::vector<SuccessionCandidate> all;
        for (const DatabaseId &database : world.databases.names()) {
            const bool isPrimary = database == DatabaseId("a");
            if (world.removed.contains(database.value()))
                continue;
            all.push_back({.database = database,
                           .isDraining = world.draining.contains(database.value()),
                           .isLost = isPrimary && world.isPrimaryLost});
        }
        return all;
    }

    void command(const DatabaseId &database, const Statement &statement, Duration timeout,
                 const std::function<void(const std::optional<StatementReply> &)> &done)
    {
        if (world.databases[database.value()].isSilent) {
            world.timers.after(timeout, [done] { done(std::nullopt); });
            return;
        }
        world.timers.after(2ms, [this, database, statement, done] {
            done(world.databases.administer(database, statement));
        });
    }

    void startPromotion(const DatabaseId &database, std::uint64_t token,
                        const std::function<void(PromotionOutcome)> &done)
    {
        if (isFrozen)
            return;
        world.promotionRequests.push_back({database, token, world.timers.now()});
        const PromotionOutcome end = world.promotionOutcome.value_or(PromotionOutcome::Accepted);
        if (end == PromotionOutcome::Accepted)
            world.timers.after(300ms, [this, database] { world.databases.promote(database); });
        world.timers.after(10ms, [done, end] { done(end); });
    }

    LeadershipRecord record() const
    {
        return view.record(group);
    }

    World &world;
    VmId self;
    LeadershipView view;
    Succession succession;
    Instant readAt;
    bool isFrozen = false;
    bool isStoreUnreachable = false;
};

} // namespace

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
    CPPUNIT_TEST(changeLostByARestoreIsRecordedAgain);
    CPPUNIT_TEST(vmThatStartsAfterARestoreFindsTheReplacedPrimary);
    CPPUNIT_TEST(healthyPrimaryIsKeptAfterARestore);
    CPPUNIT_TEST(holderOfTheLostLockIsWaitedFor);
    CPPUNIT_TEST(holderOfTheSameEpochIsWaitedFor);
    CPPUNIT_TEST(tokensRiseAcrossARestore);
    CPPUNIT_TEST(groupThatAnInterruptedChangeStoppedGetsAPrimary);
    CPPUNIT_TEST(primaryLostWithTheRecordsIsReplaced);
    CPPUNIT_TEST(primaryIsNotConfirmedWithoutAMajority);
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
        world.timers.advance(2500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.promotionRequests.size());
        CPPUNIT_ASSERT(world.promotionRequests[0].database == DatabaseId("c"));
        CPPUNIT_ASSERT(vm.record().primary == DatabaseId("c"));
        CPPUNIT_ASSERT(vm.record().term == Term(2) && !vm.record().isChanging);
        // No replica may continue to receive from the previous primary.
        CPPUNIT_ASSERT(world.databases["b"].heldTerm == Term(2));
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

    // Guards against a primary that was replaced and leads again by a restored record, while the
    // platform and the databases follow its successor.
    void changeLostByARestoreIsRecordedAgain()
    {
        World world;
        Vm vm(world, "one", 0);
        const Store copy = world.store;
        losePrimary(world);
        world.timers.advance(2500ms);
        const DatabaseId successor = vm.record().primary;
        CPPUNIT_ASSERT(successor != DatabaseId("a"));
        world.store.restore(copy);
        // The previous primary is reachable again and still leads the previous term.
        world.databases["a"].isSilent = false;
        world.isPrimaryLost = false;
        for (int i = 0; i < 600; ++i) {
            world.timers.advance(10ms);
            const Instant now = world.timers.now();
            CPPUNIT_ASSERT(!vm.view.isLeading(group, DatabaseId("a"), now));
        }
        CPPUNIT_ASSERT(vm.view.isLeading(group, successor, world.timers.now()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.promotionRequests.size());
    }

    void vmThatStartsAfterARestoreFindsTheReplacedPrimary()
    {
        World world;
        DatabaseId successor;
        {
            Vm vm(world, "one", 0);
            const Store copy = world.store;
            losePrimary(world);
            world.timers.advance(2500ms);
            successor = vm.record().primary;
            world.store.restore(copy);
            vm.isFrozen = true;
            world.databases["a"].isSilent = false;
            world.isPrimaryLost = false;
            Vm started(world, "two", 0);
            for (int i = 0; i < 500; ++i) {
                world.timers.advance(10ms);
                CPPUNIT_ASSERT(!started.view.isLeading(group, DatabaseId("a"), world.timers.now()));
            }
            CPPUNIT_ASSERT(started.view.isLeading(group, successor, world.timers.now()));
        }
    }

    void healthyPrimaryIsKeptAfterARestore()
    {
        World world;
        Vm one(world, "one", 0);
        Vm two(world, "two", 1);
        world.timers.advance(1s);
        world.store.restore(world.store);
        const Instant restoredAt = world.timers.now();
        while (!two.view.isLeading(group, DatabaseId("a"), world.timers.now())
               && world.timers.now() < restoredAt + 5s)
            world.timers.advance(10ms);
        // The reads of the records, leases and calls of a lost holder, and the confirmation.
        CPPUNIT_ASSERT(world.timers.now() < restoredAt + 3500ms);
        CPPUNIT_ASSERT(world.promotionRequests.empty());
        CPPUNIT_ASSERT(world.databases["a"].role == Role::Primary);
        world.timers.advance(20s);
        CPPUNIT_ASSERT(world.promotionRequests.empty());
    }

    // Guards against two holders that act at once, as the lock of the first was lost.
    void holderOfTheLostLockIsWaitedFor()
    {
        World world;
        Vm one(world, "one", 1);
        Vm two(world, "two", 0);
        two.isStoreUnreachable = true;
        const Store copy = world.store;
        losePrimary(world);
        world.promotionOutcome = PromotionOutcome::NotDone;
        while (world.promotionRequests.empty())
            world.timers.advance(1ms);
        CPPUNIT_ASSERT(one.succession.holdsPromotionLock());
        world.store.restore(copy);
        const Instant restoredAt = world.timers.now();
        // The first holder does not read of the restore while its lease lasts.
        one.isStoreUnreachable = true;
        two.isStoreUnreachable = false;
        world.promotionRequests.clear();
        while (world.timers.now() < restoredAt + 8s) {
            world.timers.advance(1ms);
            CPPUNIT_ASSERT(!(one.succession.holdsPromotionLock() && !world.promotionRequests.empty()
                             && world.promotionRequests.back().token
                                        >= makeObjectVersion(StoreEpoch(1), 0).value()));
        }
        bool hasSucceeded = false;
        for (const PromotionRequest &request : world.promotionRequests) {
            const bool isOfSecond = epochOf(ObjectVersion(request.token)) == StoreEpoch(1);
            CPPUNIT_ASSERT(isOfSecond || !hasSucceeded);
            CPPUNIT_ASSERT(!isOfSecond || request.at >= restoredAt + leadershipLease + 1s);
            hasSucceeded = hasSucceeded || isOfSecond;
        }
        CPPUNIT_ASSERT(hasSucceeded);
    }

    // Guards against two holders that act at once: the second takes the lock over, as the first
    // could not confirm the primary in time.
    void holderOfTheSameEpochIsWaitedFor()
    {
        World world;
        Vm one(world, "one", 0);
        Vm two(world, "two", 1);
        world.timers.advance(1s);
        world.databases["b"].isSilent = true;
        world.databases["c"].isSilent = true;
        world.store.restore(world.store);
        const Instant restoredAt = world.timers.now();
        while (!two.succession.holdsPromotionLock() && world.timers.now() < restoredAt + 20s)
            world.timers.advance(1ms);
        const Instant takenAt = world.timers.now();
        CPPUNIT_ASSERT(two.succession.holdsPromotionLock());
        world.databases["b"].isSilent = false;
        world.databases["c"].isSilent = false;
        losePrimary(world);
        while (world.promotionRequests.empty() && world.timers.now() < takenAt + 10s)
            world.timers.advance(1ms);
        CPPUNIT_ASSERT(!world.promotionRequests.empty());
        CPPUNIT_ASSERT(world.promotionRequests.front().at >= takenAt + leadershipLease);
    }

    // Guards against a fencing token that is given out twice.
    void tokensRiseAcrossARestore()
    {
        World world;
        Vm vm(world, "one", 0);
        const Store copy = world.store;
        losePrimary(world);
        world.timers.advance(2500ms);
        const PromotionRequest first = world.promotionRequests.back();
        world.store.restore(copy);
        world.databases[first.database.value()].isSilent = true;
        world.databases["a"].isSilent = false;
        world.databases["a"].role = Role::Replica;
        world.removed = {first.database.value()};
        world.isPrimaryLost = false;
        world.timers.advance(8s);
        CPPUNIT_ASSERT(world.promotionRequests.size() > 1);
        CPPUNIT_ASSERT(world.promotionRequests.back().token > first.token);
        CPPUNIT_ASSERT(!vm.record().isChanging);
    }

    // A change of primary has stopped the primary and paused the replicas when the store loses it.
    void groupThatAnInterruptedChangeStoppedGetsAPrimary()
    {
        World world;
        Vm vm(world, "one", 0);
        world.timers.advance(1s);
        const Store copy = world.store;
        world.draining = {"a"};
        while (world.databases["a"].role == Role::Primary)
            world.timers.advance(1ms);
        world.store.restore(copy);
        world.draining.clear();
        world.timers.advance(6s);
        CPPUNIT_ASSERT(!vm.record().isChanging);
        CPPUNIT_ASSERT(vm.view.isConfirmed(group));
        CPPUNIT_ASSERT(world.databases[vm.record().primary.value()].role == Role::Primary);
    }

    void primaryLostWithTheRecordsIsReplaced()
    {
        World world;
        Vm vm(world, "one", 0);
        world.timers.advance(1s);
        world.store.restore(world.store);
        losePrimary(world);
        world.timers.advance(5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.promotionRequests.size());
        CPPUNIT_ASSERT(vm.view.isLeading(group, vm.record().primary, world.timers.now()));
        CPPUNIT_ASSERT(vm.record().primary != DatabaseId("a"));
    }

    // The other databases may follow a primary of a later term.
    void primaryIsNotConfirmedWithoutAMajority()
    {
        World world;
        Vm vm(world, "one", 0);
        world.timers.advance(1s);
        world.databases["b"].isSilent = true;
        world.databases["c"].isSilent = true;
        world.store.restore(world.store);
        world.timers.advance(10s);
        CPPUNIT_ASSERT(!vm.view.isConfirmed(group));
        world.databases["b"].isSilent = false;
        world.timers.advance(5s);
        CPPUNIT_ASSERT(vm.view.isLeading(group, DatabaseId("a"), world.timers.now()));
        CPPUNIT_ASSERT(world.promotionRequests.empty());
    }

private:
    static void losePrimary(World &world)
    {
        world.databases["a"].isSilent = true;
        world.isPrimaryLost = true;
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuccessionTest);
