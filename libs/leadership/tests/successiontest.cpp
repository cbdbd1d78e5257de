#include "leadership/succession.h"

#include "support/fakegroup.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <optional>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

const GroupId group("herd");

// The store's objects of leadership, with conditional writes that are acknowledged or not.
struct Store
{
    std::map<std::string, StoredObject> objects;
    std::uint64_t version = 10;
    bool isDown = false;
    bool losesAnswers = false;

    Result<WriteAnswer> write(const ObjectWrite &write)
    {
        if (isDown)
            return Error{ErrorCode::Unavailable, "down"};
        StoredObject &object = objects[write.key];
        if (object.version != write.ifVersion)
            return WriteAnswer{false, object.version};
        object = {write.key, ObjectVersion(++version), write.value};
        if (losesAnswers)
            return Error{ErrorCode::ConnectionLost, "lost"};
        return WriteAnswer{true, object.version};
    }

    LeadershipSnapshot snapshot() const
    {
        std::vector<StoredObject> listed;
        for (const auto &[key, object] : objects)
            listed.push_back(object);
        return decodeSnapshot(listed).value();
    }
};

// Orders as the platform sees them.
struct Order
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
    std::vector<Order> orders;
    std::set<std::string> draining;
    std::set<std::string> gone;

    // VMs of three that hear nothing from the primary a.
    std::size_t silentVms = 0;

    // VMs that may hold leases, and the announcements that they say they have read.
    std::vector<VmIncarnation> leaseHolders{{VmId("other"), "life"}};
    std::map<std::string, ObjectVersion> read;

    // Groups whose turn it is.
    std::vector<GroupId> groupsDue{group};
    std::size_t groupSize = 3;
    std::optional<PromotionOutcome> orderEnd;
};

// One VM's succession; reads the records every 400 ms, unless it is cut off.
struct Vm
{
    Vm(World &ownWorld, const std::string &name, std::size_t rank)
        : world(ownWorld)
        , self(name)
        , succession({.timers = world.timers,
                      .log = world.log,
                      .counters = world.counters,
                      .view = view,
                      .self = self,
                      .incarnation = name + "-life"},
                     {.groups = [this] { return world.groupsDue; },
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
                                                 auto done) { order(database, token, done); },
                      .refresh = [this] { read(); },
                      .leaseHolders = [this](const auto &done) { done(world.leaseHolders); },
                      .hasRead =
                              [this](const VmIncarnation &life, const GroupId &,
                                     ObjectVersion version) {
                                  const auto read = world.read.find(life.vm.value());
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
        if (world.store.isDown || isFrozen || isCutFromStore)
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
            if (world.gone.contains(database.value()))
                continue;
            all.push_back({.database = database,
                           .isDraining = world.draining.contains(database.value()),
                           .vmsNotReached = isPrimary ? world.silentVms : 0,
                           .vms = 3});
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

    void order(const DatabaseId &database, std::uint64_t token,
               const std::function<void(PromotionOutcome)> &done)
    {
        if (isFrozen)
            return;
        world.orders.push_back({database, token, world.timers.now()});
        const PromotionOutcome end = world.orderEnd.value_or(PromotionOutcome::Accepted);
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
    bool isCutFromStore = false;
};

} // namespace

class SuccessionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SuccessionTest);
    CPPUNIT_TEST(nothingHappensWhileThePrimaryIsHeard);
    CPPUNIT_TEST(orderWaitsForLeasesUntilAllHaveRead);
    CPPUNIT_TEST(silentPrimaryIsWaitedForOnce);
    CPPUNIT_TEST(minorityDoesNotReplace);
    CPPUNIT_TEST(dueChangeIsFollowedUpBetweenItsTurns);
    CPPUNIT_TEST(lostPrimaryIsReplacedByTheFurthest);
    CPPUNIT_TEST(othersCannotTrustOldRecordsWhenTheOrderGoesOut);
    CPPUNIT_TEST(leavingPrimaryIsStoppedFirst);
    CPPUNIT_TEST(nobodyIsPromotedWithoutAMajority);
    CPPUNIT_TEST(refusedDatabaseIsPassedOver);
    CPPUNIT_TEST(onlyOneHolderOrders);
    CPPUNIT_TEST(waitingHolderIsNotRobbed);
    CPPUNIT_TEST(deadHolderIsFollowedWithAHigherToken);
    CPPUNIT_TEST(frozenHolderOrdersNothingWhenItWakes);
    CPPUNIT_TEST(lostAnswersDoNotStopAChange);
    CPPUNIT_TEST(outageOfTheStoreStopsOrders);
    CPPUNIT_TEST(primaryThatReturnsUnderAnotherNameIsKept);
    CPPUNIT_TEST(returnedPrimaryIsNotKeptUnseen);
    CPPUNIT_TEST_SUITE_END();

public:
    void nothingHappensWhileThePrimaryIsHeard()
    {
        World world;
        Vm vm(world, "one", 0);
        world.timers.advance(20s);
        CPPUNIT_ASSERT(world.orders.empty());
        CPPUNIT_ASSERT(world.store.objects.empty());
    }

    void orderWaitsForLeasesUntilAllHaveRead()
    {
        for (const bool isRead : {false, true}) {
            World world;
            Vm vm(world, "vm-0", 0);
            world.timers.advance(1s);
            world.silentVms = 2;
            while (!vm.record().isChanging)
                world.timers.advance(1ms);
            const Instant announcedAt = world.timers.now();
            // What was read of an earlier change says nothing of this one.
            world.read["other"] = ObjectVersion(vm.record().version.value() - (isRead ? 0 : 1));
            while (world.orders.empty())
                world.timers.advance(1ms);
            const Duration wait = world.orders.at(0).at - announcedAt;
            CPPUNIT_ASSERT(isRead ? wait < 500ms : wait >= leadershipLease + leadershipMargin);
        }
    }

    // It gets 250 ms to say what it had.
    void silentPrimaryIsWaitedForOnce()
    {
        World world;
        Vm vm(world, "vm-0", 0);
        world.timers.advance(1s);
        world.silentVms = 2;
        world.databases["a"].isSilent = true;
        while (!vm.record().isChanging)
            world.timers.advance(1ms);
        const Instant announcedAt = world.timers.now();
        world.read["other"] = vm.record().version;
        while (world.orders.empty())
            world.timers.advance(1ms);
        CPPUNIT_ASSERT(world.orders.at(0).at - announcedAt <= 350ms);
    }

    // Pattern: more groups than are looked at in each tick.
    void dueChangeIsFollowedUpBetweenItsTurns()
    {
        World world;
        Vm vm(world, "vm-0", 0);
        world.timers.advance(1s);
        world.silentVms = 2;
        world.timers.advance(100ms);
        world.groupsDue.clear();
        world.timers.advance(4s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.orders.size());
    }

    void minorityDoesNotReplace()
    {
        World world;
        Vm vm(world, "one", 0);
        world.silentVms = 1;
        world.timers.advance(20s);
        CPPUNIT_ASSERT(world.orders.empty());
    }

    void lostPrimaryIsReplacedByTheFurthest()
    {
        World world;
        Vm vm(world, "one", 0);
        world.databases["b"].received = {Term(1), LogPosition(7)};
        world.databases["c"].received = {Term(1), LogPosition(9)};
        loseA(world);
        world.timers.advance(2500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.orders.size());
        CPPUNIT_ASSERT(world.orders[0].database == DatabaseId("c"));
        CPPUNIT_ASSERT(vm.record().primary == DatabaseId("c"));
        CPPUNIT_ASSERT(vm.record().term == Term(2) && !vm.record().isChanging);
        // No replica may go on receiving from the old primary.
        CPPUNIT_ASSERT(world.databases["b"].heldTerm == Term(2));
    }

    // The other VM reads the records just before the announcement, and never again.
    void othersCannotTrustOldRecordsWhenTheOrderGoesOut()
    {
        World world;
        Vm other(world, "two", 1);
        Vm vm(world, "one", 0);
        world.timers.advance(1s);
        loseA(world);
        while (world.orders.empty()) {
            if (world.store.objects.size() < 2)
                other.view.snapshot(world.store.snapshot(), world.timers.now());
            other.isCutFromStore = true;
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
        // Stopped, and nobody is promoted before it has received everything.
        CPPUNIT_ASSERT(world.databases["a"].role == Role::Replica);
        CPPUNIT_ASSERT(world.orders.empty());
        world.databases["c"].received = {Term(1), LogPosition(9)};
        world.timers.advance(700ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.orders.size());
        CPPUNIT_ASSERT(vm.record().primary == DatabaseId("c"));
    }

    // The primary and one replica are behind a cut, where VMs may vouch for the primary.
    void nobodyIsPromotedWithoutAMajority()
    {
        World world;
        Vm vm(world, "one", 0);
        world.databases["c"].isSilent = true;
        loseA(world);
        world.timers.advance(9s);
        CPPUNIT_ASSERT(world.orders.empty());
        world.databases["c"].isSilent = false;
        world.timers.advance(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.orders.size());
    }

    void refusedDatabaseIsPassedOver()
    {
        World world;
        Vm vm(world, "one", 0);
        world.databases["c"].received = {Term(1), LogPosition(9)};
        loseA(world);
        world.orderEnd = PromotionOutcome::Refused;
        while (world.orders.empty())
            world.timers.advance(1ms);
        world.orderEnd.reset();
        world.timers.advance(1s);
        CPPUNIT_ASSERT(world.orders[0].database == DatabaseId("c"));
        CPPUNIT_ASSERT(world.orders[1].database == DatabaseId("b"));
        CPPUNIT_ASSERT(vm.record().primary == DatabaseId("b"));
    }

    void onlyOneHolderOrders()
    {
        World world;
        Vm one(world, "one", 0);
        Vm two(world, "two", 0);
        Vm three(world, "three", 0);
        loseA(world);
        world.timers.advance(4s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.orders.size());
        CPPUNIT_ASSERT(!two.record().isChanging && two.record().primary == one.record().primary);
    }

    // The holder waits for a lease before it orders, which is no reason to take the duty over.
    void waitingHolderIsNotRobbed()
    {
        World world;
        Vm one(world, "one", 0);
        Vm two(world, "two", 1);
        loseA(world);
        world.timers.advance(4s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.orders.size());
        const ObjectVersion duty = world.store.objects[promotionLockKey()].version;
        // Written first, before the announcement and the new record.
        CPPUNIT_ASSERT(duty == ObjectVersion(11));
    }

    void deadHolderIsFollowedWithAHigherToken()
    {
        World world;
        Vm one(world, "one", 0);
        Vm two(world, "two", 1);
        loseA(world);
        world.timers.advance(800ms);
        one.isFrozen = true;
        world.timers.advance(12s);
        CPPUNIT_ASSERT(!two.record().isChanging);
        CPPUNIT_ASSERT(two.record().primary != DatabaseId("a"));
        for (std::size_t i = 1; i < world.orders.size(); ++i)
            CPPUNIT_ASSERT(world.orders[i].token >= world.orders[i - 1].token);
        CPPUNIT_ASSERT(world.orders.back().token > 11);
    }

    // It wakes after its successor has ordered, and must not order under its lower token.
    void frozenHolderOrdersNothingWhenItWakes()
    {
        World world;
        auto one = std::make_unique<Vm>(world, "one", 0);
        Vm two(world, "two", 1);
        loseA(world);
        world.timers.advance(1300ms);
        world.orderEnd = PromotionOutcome::NotDone;
        one->isFrozen = true;
        world.timers.advance(10s);
        const std::uint64_t highest = world.orders.back().token;
        one->isFrozen = false;
        world.timers.advance(5s);
        bool sawHighest = false;
        for (const Order &order : world.orders) {
            CPPUNIT_ASSERT(!sawHighest || order.token >= highest);
            sawHighest = sawHighest || order.token == highest;
        }
    }

    void lostAnswersDoNotStopAChange()
    {
        World world;
        Vm vm(world, "one", 0);
        world.store.losesAnswers = true;
        loseA(world);
        world.timers.advance(3s);
        world.store.losesAnswers = false;
        world.timers.advance(5s);
        CPPUNIT_ASSERT(!vm.record().isChanging);
        CPPUNIT_ASSERT(vm.record().primary != DatabaseId("a"));
    }

    void outageOfTheStoreStopsOrders()
    {
        World world;
        Vm vm(world, "one", 0);
        loseA(world);
        world.timers.advance(150ms);
        CPPUNIT_ASSERT(vm.record().isChanging);
        world.store.isDown = true;
        world.timers.advance(20s);
        // The lease on the last records ends before the wait for the others' leases does.
        CPPUNIT_ASSERT(world.orders.empty());
        world.store.isDown = false;
        world.timers.advance(5s);
        CPPUNIT_ASSERT(!vm.record().isChanging && vm.record().primary != DatabaseId("a"));
    }

private:
    static void loseA(World &world)
    {
        world.databases["a"].isSilent = true;
        world.silentVms = 3;
    }

    // The primary crashes, the change is announced and its holder frozen, and the primary comes
    // back with its log as another database: nobody has to be promoted, and nobody could be, as the
    // platform takes the order for its present primary as done.
    void primaryThatReturnsUnderAnotherNameIsKept()
    {
        World world;
        Vm first(world, "one", 0);
        Vm second(world, "two", 1);
        world.timers.advance(1s);
        const LogPoint written{Term(1), LogPosition(9)};
        world.databases["a"].isSilent = true;
        world.databases["a"].received = written;
        world.silentVms = 3;
        world.timers.advance(300ms);
        CPPUNIT_ASSERT(second.record().isChanging);
        first.isFrozen = true;
        FakeGroup::Database returned = world.databases["a"];
        returned.isSilent = false;
        world.gone = {"a"};
        world.databases["a"].role = Role::Replica;
        world.databases["d"] = returned;
        world.timers.advance(9s);
        CPPUNIT_ASSERT(!second.record().isChanging);
        CPPUNIT_ASSERT(second.record().primary == DatabaseId("d"));
        CPPUNIT_ASSERT(second.record().term == Term(1));
        CPPUNIT_ASSERT(world.orders.empty());
        // The others receive again.
        CPPUNIT_ASSERT(world.databases["b"].heldTerm == Term());
        CPPUNIT_ASSERT(world.databases["c"].heldTerm == Term());
    }

    // One that does not answer may have been promoted meanwhile.
    void returnedPrimaryIsNotKeptUnseen()
    {
        World world;
        Vm first(world, "one", 0);
        world.timers.advance(1s);
        world.databases["a"].isSilent = true;
        world.silentVms = 3;
        world.timers.advance(300ms);
        FakeGroup::Database returned = world.databases["a"];
        returned.isSilent = false;
        world.gone = {"a"};
        world.databases["a"].role = Role::Replica;
        world.databases["d"] = returned;
        world.databases["c"].isSilent = true;
        world.timers.advance(4s);
        CPPUNIT_ASSERT(first.record().isChanging);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuccessionTest);
