#pragma once

#include "coordination/coordinator.h"

#include "statementproxy/statementsession.h"
#include "store/objectversion.h"
#include "support/fakegroup.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

// A group of three databases, a store and VMs with a Coordinator, in virtual time.
namespace fescuespring::coordinationtest {

using namespace std::chrono_literals;

inline const GroupId group("herd");

// The store in virtual time: every call takes 4 ms, or times out while the store is down.
class MemoryStore : public ObjectStore
{
public:
    explicit MemoryStore(VirtualTimers &timers)
        : m_timers(timers)
    {}

    void read(const std::string &, std::chrono::milliseconds, ReadDone) override
    {}
    void watch(const std::string &, ObjectVersion, std::chrono::milliseconds, ReadDone) override
    {}
    void vms(std::chrono::milliseconds, VmsDone) override
    {}

    void list(const std::string &prefix, std::chrono::milliseconds timeout, ListDone done) override
    {
        if (isDown) {
            m_timers.after(timeout, [done] { done(Error{ErrorCode::Timeout, "down"}); });
            return;
        }
        m_timers.after(4ms, [this, prefix, done] {
            std::vector<StoredObject> listed;
            for (const auto &[key, object] : objects) {
                if (key.starts_with(prefix))
                    listed.push_back(object);
            }
            done(listed);
        });
    }

    void write(const ObjectWrite &write, std::chrono::milliseconds timeout, WriteDone done) override
    {
        if (isDown) {
            m_timers.after(timeout, [done] { done(Error{ErrorCode::Timeout, "down"}); });
            return;
        }
        if (lostWrites.erase(write.key) > 0 || write.key == unwritableKey) {
            m_timers.after(timeout, [done] { done(Error{ErrorCode::Timeout, "lost"}); });
            return;
        }
        m_timers.after(4ms, [this, write, done] {
            StoredObject &object = objects[write.key];
            if (object.version != write.ifVersion) {
                done(WriteAnswer{false, object.version});
                return;
            }
            object = {write.key, makeObjectVersion(epoch, ++m_version), write.value};
            done(WriteAnswer{true, object.version});
            if (onWritten)
                onWritten(object);
        });
    }

    // Replaces the objects by an earlier copy of them, in the next epoch; versions go back too.
    void restore(std::map<std::string, StoredObject> copy)
    {
        epoch = epoch.next();
        objects = std::move(copy);
        m_version = 100;
        for (auto &[key, object] : objects) {
            m_version = std::max(m_version, numberOf(object.version));
            object.version = makeObjectVersion(epoch, numberOf(object.version));
        }
    }

    std::map<std::string, StoredObject> objects;
    StoreEpoch epoch;
    std::function<void(const StoredObject &)> onWritten;
    bool isDown = false;

    // Keys whose next write is lost.
    std::set<std::string> lostWrites;

    // Key whose writes are all lost.
    std::string unwritableKey;

private:
    VirtualTimers &m_timers;
    std::uint64_t m_version = 100;
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
    MemoryStore store{timers};
    std::vector<DatabaseId> promotionRequests;
    bool isFirstStart = false;

    // Each database has its own address, or that of another one whose log it has taken over.
    Endpoint endpointOf(const DatabaseId &database) const
    {
        const auto predecessor = predecessors.find(database);
        const DatabaseId &first =
                predecessor == predecessors.end() ? database : predecessor->second;
        return {"10.0.0.1", static_cast<std::uint16_t>(8000 + first.value().front())};
    }

    std::map<DatabaseId, DatabaseId> predecessors;

    // Databases without an entry in the store.
    std::set<DatabaseId> unlisted;

    // Reads of the list of databases fail.
    bool isListUnreadable = false;
    std::uint32_t synchronousReplicas = 0;
};

// A connection of a VM that may be partitioned from databases: nothing passes meanwhile, and a
// connection that cannot be opened fails after a second.
class PartitionedChannel : public UpstreamChannel
{
public:
    PartitionedChannel(VirtualTimers &timers, const UpstreamConnector &connect,
                       std::function<bool()> isCut, const UpstreamTarget &target,
                       const UpstreamChannelHandlers &handlers)
        : m_isCut(std::move(isCut))
    {
        const std::weak_ptr<bool> alive = m_alive;
        const auto opened = [&timers, alive, isCut = m_isCut, handlers](const auto &reply) {
            if (!isCut()) {
                handlers.onOpened(reply);
                return;
            }
            timers.after(1s, [alive, handlers] {
                if (!alive.expired())
                    handlers.onClosed({ErrorCode::Unreachable, "partitioned"});
            });
        };
        const auto replied = [isCut = m_isCut, handlers](StatementReply reply) {
            if (!isCut())
                handlers.onReply(std::move(reply));
        };
        m_channel = connect(
                target, {.onOpened = opened, .onReply = replied, .onClosed = handlers.onClosed});
    }

    static UpstreamConnector wrap(VirtualTimers &timers, UpstreamConnector connect,
                                  std::function<bool()> isCut)
    {
        return [&timers, connect = std::move(connect), isCut = std::move(isCut)](
                       const UpstreamTarget &target, const UpstreamChannelHandlers &handlers) {
            return std::make_unique<PartitionedChannel>(timers, connect, isCut, target, handlers);
        };
    }

    void send(const std::vector<UpstreamCommand> &commands) override
    {
        if (!m_isCut())
            m_channel->send(commands);
    }

private:
    std::function<bool()> m_isCut;
    std::unique_ptr<UpstreamChannel> m_channel;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

// A VM without sockets.
struct Vm
{
    Vm(World &ownWorld, const std::string &name)
        : world(ownWorld)
        , upstreams({.timers = world.timers,
                     .log = world.log,
                     .counters = world.counters,
                     .connect = PartitionedChannel::wrap(world.timers, world.databases.connector(),
                                                         [this] { return isPartitioned; }),
                     .vm = VmId(name),
                     .dataCentre = DataCentreId("north")})
        , coordinator(upstreams, world.store,
                      {.vm = VmId(name),
                       .dataCentre = DataCentreId("north"),
                       .incarnation = name,
                       .isFirstStart = world.isFirstStart,
                       .readRecords = [this](auto done) { readRecords(done); },
                       .readDatabases =
                               [this](auto done) {
                                   world.timers.after(4ms, [this, done] {
                                       if (!world.isListUnreadable)
                                           readDatabases();
                                       done(!world.isListUnreadable);
                                   });
                               },
                       .requestPromotion =
                               [this](const PromotionCall &call, auto done) {
                                   requestPromotion(call.database, done);
                               }})
    {
        readDatabases();
        RouteConfiguration configuration{.version = 1};
        configuration.routes = {{.name = RouteName("strict"), .group = group, .timeout = 800ms}};
        configuration.groups[group] = {.connections = 40,
                                       .synchronousReplicas = world.synchronousReplicas};
        routes.apply(configuration);
        coordinator.configurationChanged(configuration);
        coordinator.start();
    }

    // Applies the list of databases in the store.
    void readDatabases()
    {
        std::vector<UpstreamEntry> entries;
        for (const DatabaseId &database : world.databases.names()) {
            if (world.unlisted.contains(database))
                continue;
            entries.push_back({.target = {group, database, world.endpointOf(database)},
                               .dataCentre = DataCentreId("north"),
                               .role = world.databases[database.value()].role,
                               .slots = 3});
        }
        upstreams.directory().replaceAll(entries, world.timers.now());
    }

    void readRecords(const std::function<void(const Result<DatedRecords> &)> &done)
    {
        const Instant askedAt = world.timers.now();
        world.store.list(std::string(leadershipKeyPrefix), 1000ms,
                         [this, askedAt, done](const Result<std::vector<StoredObject>> &objects) {
                             if (objects)
                                 done(DatedRecords{objects.value(), askedAt, world.store.epoch});
                             else
                                 done(objects.error());
                         });
    }

    void requestPromotion(const DatabaseId &database,
                          const std::function<void(PromotionOutcome)> &done)
    {
        world.promotionRequests.push_back(database);
        world.timers.after(300ms, [this, database] { world.databases.promote(database); });
        world.timers.after(10ms, [done] { done(PromotionOutcome::Accepted); });
    }

    World &world;

    // The VM reaches the store, but no database.
    bool isPartitioned = false;
    RouteTable routes;
    Upstreams upstreams;
    Coordinator coordinator;
};

struct Fleet : World
{
    explicit Fleet(int count)
    {
        store.onWritten = [this](const StoredObject &object) {
            const Result<VmRecord> record = decodeVmRecord(object.key, object.value);
            const Result<VmNotice> notice = decodeVmNotice(object.key, object.value);
            for (const auto &vm : vms) {
                if (record)
                    vm->coordinator.vmChanged(record.value());
                else if (notice)
                    vm->coordinator.noticeChanged(notice.value());
                else
                    vm->coordinator.leadershipChanged();
            }
        };
        for (int i = 0; i < count; ++i)
            vms.push_back(std::make_unique<Vm>(*this, "vm-" + std::to_string(i)));
        timers.advance(3s);
    }

    // Lets statements in flight end by a reply or a timeout.
    ~Fleet()
    {
        timers.advance(5s);
    }
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    // Runs a caller that writes every 20 ms through the first VM; returns the longest time without
    // an acknowledged write.
    Duration longestGap(Duration time)
    {
        std::optional<StatementReply> reply;
        const auto connect = [&] {
            return std::make_unique<StatementSession>(
                    StatementSession::Options{.upstreams = vms[0]->upstreams,
                                              .routes = vms[0]->routes,
                                              .name = RouteName("strict"),
                                              .onReply = [&reply](const StatementReply &answer) {
                                                  reply = answer;
                                              }});
        };
        auto session = connect();
        Duration longest{0};
        Instant lastWrite = timers.now();
        const Instant end = timers.now() + time;
        while (timers.now() < end) {
            reply.reset();
            session->handle(RequestId("w"), {.kind = StatementKind::Write, .argument = "1 x"});
            // Replicas receive a commit some milliseconds later.
            for (int waited = 0; !reply; ++waited) {
                timers.advance(1ms);
                if (waited % 8 == 7)
                    databases.sync();
            }
            if (reply->isSuccess()) {
                longest = std::max(longest, timers.now() - lastWrite);
                lastWrite = timers.now();
            }
            databases.sync();
            timers.advance(20ms);
        }
        return std::max(longest, timers.now() - lastWrite);
    }

    // Makes the primary unresponsive; returns the time from the announcement of the change to the
    // promotion request.
    Duration waitBeforeThePromotionRequest()
    {
        std::optional<Instant> announcedAt;
        store.onWritten = [this, &announcedAt,
                           written = store.onWritten](const StoredObject &object) {
            if (object.key == leadershipKey(group) && !announcedAt)
                announcedAt = timers.now();
            written(object);
        };
        databases["a"].isSilent = true;
        for (Duration waited{0}; waited < 10s && promotionRequests.empty(); waited += 1ms)
            timers.advance(1ms);
        CPPUNIT_ASSERT(announcedAt && promotionRequests.size() == 1);
        return timers.now() - *announcedAt;
    }

    std::vector<std::unique_ptr<Vm>> vms;
};

} // namespace fescuespring::coordinationtest
