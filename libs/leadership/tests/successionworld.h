#pragma once

#include "leadership/succession.h"
#include "store/objectversion.h"
#include "support/fakegroup.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

// A group of three databases, a store and VMs with a Succession, in virtual time.
namespace fescuespring::successiontest {

using namespace std::chrono_literals;

inline const GroupId group("herd");

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

    // The database that reports itself as the primary to the VMs that start; empty if none does.
    DatabaseId reportedPrimary{"a"};

    // The observers get no answer from the primary a.
    bool isPrimaryLost = false;

    // VMs that may hold leases, and the announcements that they reported as read.
    std::vector<VmIncarnation> leaseHolders{{VmId("other"), "life"}};
    std::map<std::string, ObjectVersion> read;

    // Groups to check in each tick.
    std::vector<GroupId> groupsToCheck{group};
    std::size_t groupSize = 3;
    std::uint32_t synchronousReplicas = 0;
    std::optional<PromotionOutcome> promotionOutcome;

    // Time that the connection for a promotion request takes to open.
    Duration promotionConnectTime{0};
};

// The primary stops answering the VMs.
inline void losePrimary(World &world)
{
    world.databases["a"].isSilent = true;
    world.isPrimaryLost = true;
}

// A VM with its Succession; reads the records every 400 ms unless it cannot reach the store.
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
                     {.groups = [this] { return world.groupsToCheck; },
                      .databases = [this](const GroupId &) { return candidates(); },
                      .groupSize = [this](const GroupId &) { return world.groupSize; },
                      .otherMembers =
                              [this](const GroupId &, const DatabaseId &without) {
                                  return world.groupSize - (without.isEmpty() ? 0 : 1);
                              },
                      .synchronousReplicas =
                              [this](const GroupId &) { return world.synchronousReplicas; },
                      .command = [this](const DatabaseId &database, const Statement &statement,
                                        Duration timeout,
                                        auto done) { command(database, statement, timeout, done); },
                      .write =
                              [this](const ObjectWrite &write, const ObjectStore::WriteDone &done) {
                                  world.timers.after(5ms, [this, write, done] {
                                      done(world.store.write(write));
                                  });
                              },
                      .requestPromotion = [this](const PromotionCall &call,
                                                 auto done) { connectForPromotion(call, done); },
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
        if (!world.reportedPrimary.isEmpty())
            view.setReportedPrimary(group, world.reportedPrimary);
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

    // A call is sent when its connection is open, if it may be sent then.
    void connectForPromotion(const PromotionCall &call,
                             const std::function<void(PromotionOutcome)> &done)
    {
        world.timers.after(world.promotionConnectTime, [this, call, done] {
            if (call.mayBeSent())
                startPromotion(call.database, call.fencingToken, done);
            else
                done(PromotionOutcome::NotDone);
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

} // namespace fescuespring::successiontest
