#pragma once

#include "distribution/distribution.h"
#include "support/fakestore.h"
#include "support/membernetwork.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace fescuespring::test {

// The members of one data centre with their plan lists and the platform's store, in virtual time.
class ListsFleet
{
public:
    // One VM's way to the store, which can be cut, or blind for one key.
    class NodeStore : public ObjectStore
    {
    public:
        explicit NodeStore(FakeStore &store)
            : m_store(store)
        {}

        bool isCut = false;
        std::string blindFor;

        void read(const std::string &key, std::chrono::milliseconds timeout, ReadDone done) override
        {
            m_store.read(key, timeout, through(key, std::move(done)));
        }
        void list(const std::string &prefix, std::chrono::milliseconds timeout,
                  ListDone done) override
        {
            m_store.list(prefix, timeout, through(prefix, std::move(done)));
        }
        void write(const ObjectWrite &write, std::chrono::milliseconds timeout,
                   WriteDone done) override
        {
            m_store.write(write, timeout, through(write.key, std::move(done)));
        }
        void watch(const std::string &key, ObjectVersion after, std::chrono::milliseconds wait,
                   ReadDone done) override
        {
            m_store.watch(key, after, wait, through(key, std::move(done)));
        }
        void vms(std::chrono::milliseconds timeout, VmsDone done) override
        {
            m_store.vms(timeout, through("vms", std::move(done)));
        }

    private:
        template <typename Done>
        Done through(const std::string &key, Done done)
        {
            return [this, key, done](const auto &result) {
                if (isCut || (!blindFor.empty() && key == blindFor))
                    done(Error{ErrorCode::Timeout, "cut off"});
                else
                    done(result);
            };
        }

        FakeStore &m_store;
    };

    struct Node
    {
        std::unique_ptr<NodeStore> port;
        std::unique_ptr<Counters> counters;
        std::unique_ptr<StoreClient> client;
        std::unique_ptr<Distribution> distribution;
        ListsMark mark;
        std::shared_ptr<const PlanLists> lists;
        std::vector<std::uint64_t> versions;
        bool isUp = true;
        bool isFrozen = false;
        std::size_t members = std::numeric_limits<std::size_t>::max();
        Instant nextMembers;
    };

    explicit ListsFleet(const MemberNetwork::Options &options, std::size_t parts = 2)
        : network(options)
    {
        std::string plans = "customerParts: " + std::to_string(parts) + "\n";
        store.put("plans", plans + "plans:\n  basic: {}\n  gold: {weight: 10}\n");
        for (std::size_t part = 0; part < parts; ++part)
            store.put("customers/" + std::to_string(part),
                      "customers:\n  coop-" + std::to_string(part) + ": gold\n");
        for (std::size_t i = 0; i < network.size(); ++i)
            start(i);
        network.onListsSeen = [this](std::size_t index, const ListsSeen &seen) {
            nodes[index].distribution->listsSeen({seen}, network.now());
        };
        network.schedule(network.now(), [this] { step(); });
    }

    // Starts a new VM.
    std::size_t add()
    {
        const std::size_t index = network.add();
        start(index);
        return index;
    }

    void crash(std::size_t index)
    {
        network.crash(index);
        nodes[index].isUp = false;
    }
    void freeze(std::size_t index)
    {
        network.freeze(index);
        nodes[index].isFrozen = true;
    }
    void thaw(std::size_t index)
    {
        nodes[index].isFrozen = false;
        network.thaw(index);
    }
    void cut(const std::function<int(std::size_t)> &sideOf)
    {
        network.cut(sideOf);
        side = sideOf;
    }

    // The VMs that hold the watches, as they see it themselves.
    std::vector<std::size_t> watchers() const
    {
        std::vector<std::size_t> found;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (nodes[i].isUp && nodes[i].distribution->status().isWatcher)
                found.push_back(i);
        }
        return found;
    }

    // Time until every VM that runs, and that which holds for, has version in force.
    Duration untilInForce(
            std::uint64_t version, Duration limit,
            const std::function<bool(std::size_t)> &which = [](std::size_t) { return true; })
    {
        return network.runUntil(
                [&] {
                    for (std::size_t i = 0; i < nodes.size(); ++i) {
                        const Node &node = nodes[i];
                        if (node.isUp && !node.isFrozen && which(i)
                            && node.mark.version.value() < version)
                            return false;
                    }
                    return true;
                },
                limit);
    }

    // True where no VM has ever gone back.
    bool versionsOnlyRose() const
    {
        return std::all_of(nodes.begin(), nodes.end(), [](const Node &node) {
            return std::is_sorted(node.versions.begin(), node.versions.end());
        });
    }

    MemberNetwork network;
    FakeStore store;
    std::deque<Node> nodes;
    std::function<int(std::size_t)> side = [](std::size_t) {
        return 0;
    };

    // Whether pulls reach the other side of a cut, as from data centre to data centre.
    bool pullsCross = false;
    std::uint64_t pulls = 0;
    std::uint64_t pulledBytes = 0;

private:
    static constexpr std::chrono::milliseconds stepInterval{10};
    static constexpr std::chrono::milliseconds membersInterval{50};
    static constexpr std::size_t peerPorts = 20000;

    void start(std::size_t index)
    {
        Node &node = nodes.emplace_back();
        node.port = std::make_unique<NodeStore>(store);
        node.counters = std::make_unique<Counters>();
        node.client = std::make_unique<StoreClient>(
                *node.port, StoreClientOptions{.randomSeed = index + 1}, *node.counters);
        DistributionHooks hooks;
        hooks.pull = [this, index](const Endpoint &peer, const ListsRequest &request,
                                   std::chrono::milliseconds timeout,
                                   const DistributionHooks::PullDone &done) {
            pull(index, peer.port - peerPorts, request, timeout, done);
        };
        hooks.inForce = [this, index](const std::shared_ptr<const PlanLists> &lists,
                                      const ListsMark &mark) {
            nodes[index].lists = lists;
            nodes[index].mark = mark;
            nodes[index].versions.push_back(mark.version.value());
            network.apply(index, network[index].setLists(mark, network.now()));
        };
        node.distribution = std::make_unique<Distribution>(
                DistributionOptions{.self = MemberNetwork::vmOf(index),
                                    .dataCentre = DataCentreId("north"),
                                    .randomSeed = index + 1},
                hooks, *node.client, *node.counters);
    }

    void pull(std::size_t from, std::size_t to, const ListsRequest &request,
              std::chrono::milliseconds timeout, const DistributionHooks::PullDone &done)
    {
        const auto reaches = [this, from, to] {
            return to < nodes.size() && nodes[to].isUp && !nodes[to].isFrozen
                   && (pullsCross || side(from) == side(to));
        };
        network.schedule(network.now() + m_latency, [=, this] {
            if (!reaches()) {
                network.schedule(network.now() + timeout, [done] {
                    done(Error{ErrorCode::Timeout, "no answer"});
                });
                return;
            }
            const ListsAnswer answer = nodes[to].distribution->answer(request);
            ++pulls;
            for (const StoredObject &object : answer.newer)
                pulledBytes += object.value.size();
            network.schedule(network.now() + m_latency, [=, this] {
                if (nodes[from].isUp)
                    done(answer);
            });
        });
    }

    void step()
    {
        const Instant now = network.now();
        store.run(now);
        for (std::size_t index = 0; index < nodes.size(); ++index) {
            Node &node = nodes[index];
            if (!node.isUp || node.isFrozen)
                continue;
            const std::size_t changes = network.changes().size();
            if (node.members != changes && now >= node.nextMembers) {
                node.members = changes;
                node.nextMembers = now + membersInterval;
                node.distribution->setMembers(network[index].members(), now);
            }
            node.client->tick(now);
            node.distribution->tick(now);
        }
        network.schedule(now + stepInterval, [this] { step(); });
    }

    std::chrono::milliseconds m_latency{1};
};

} // namespace fescuespring::test
