#pragma once

#include "membership/membership.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace fescuespring::test {

// Members of one data centre in virtual time, joined by datagrams that can be lost, cut or held
// back. Same seed, same run.
class MemberNetwork
{
public:
    struct Options
    {
        std::size_t count = 9;
        double loss = 0;
        std::uint64_t seed = 1;
        std::chrono::microseconds latency{1000};
    };

    struct Change
    {
        Instant at;
        std::size_t observer = 0;
        std::size_t member = 0;
        MemberState state = MemberState::Alive;
    };

    explicit MemberNetwork(const Options &options)
        : m_options(options)
        , m_random(options.seed)
    {
        for (std::size_t i = 0; i < options.count; ++i)
            add();
    }

    std::size_t add()
    {
        const std::size_t index = m_nodes.size();
        m_nodes.emplace_back();
        start(index);
        const auto offset = std::chrono::microseconds(m_random() % 25000);
        schedule(m_now + offset, [this, index] { tick(index); });
        return index;
    }

    // Replaces the process of a member by a new one of the same name.
    void restart(std::size_t index)
    {
        start(index);
    }

    Membership &operator[](std::size_t index)
    {
        return *m_nodes[index].membership;
    }
    std::size_t size() const
    {
        return m_nodes.size();
    }
    Instant now() const
    {
        return m_now;
    }

    void crash(std::size_t index)
    {
        m_nodes[index].isUp = false;
    }
    void freeze(std::size_t index)
    {
        m_nodes[index].isFrozen = true;
    }
    // The member sends, but receives nothing any more.
    void deafen(std::size_t index)
    {
        m_nodes[index].isDeaf = true;
    }
    void thaw(std::size_t index)
    {
        Node &node = m_nodes[index];
        node.isFrozen = false;
        std::deque<Datagram> held = std::move(node.held);
        node.held.clear();
        for (const Datagram &datagram : held)
            deliver(index, datagram.to, datagram.bytes);
    }

    // Members of different sides do not reach each other.
    void cut(const std::function<int(std::size_t)> &sideOf)
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            m_nodes[i].side = sideOf(i);
    }
    void heal()
    {
        cut([](std::size_t) { return 0; });
    }

    void run(Duration duration)
    {
        const Instant end = m_now + duration;
        while (!m_events.empty() && m_events.top().at <= end) {
            const std::function<void()> action = m_events.top().action;
            m_now = std::max(m_now, m_events.top().at);
            m_events.pop();
            action();
        }
        m_now = end;
    }

    // Runs until condition holds; the time that took, or limit.
    Duration runUntil(const std::function<bool()> &condition, Duration limit)
    {
        const Instant start = m_now;
        while (!condition() && m_now - start < limit)
            run(std::chrono::milliseconds(5));
        return m_now - start;
    }

    // True where every live member counts `expected` members.
    bool allCount(std::size_t expected) const
    {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [expected](const Node &node) {
            return !node.isUp || node.isFrozen || node.membership->size() == expected;
        });
    }

    void apply(std::size_t index, const MembershipActions &actions)
    {
        Node &node = m_nodes[index];
        node.pauses += actions.paused ? 1 : 0;
        node.toldToLeave = node.toldToLeave || actions.leaveRequested;
        for (const MemberChange &change : actions.changes)
            m_changes.push_back({m_now, index, indexOf(change.vm), change.state});
        for (const ListsSeen &seen : actions.listsSeen) {
            if (onListsSeen)
                onListsSeen(index, seen);
        }
        for (const Datagram &datagram : actions.datagrams)
            send(index, datagram);
    }

    std::size_t deaths(const std::function<bool(const Change &)> &which) const
    {
        return static_cast<std::size_t>(
                std::count_if(m_changes.begin(), m_changes.end(), [&](const Change &change) {
                    return change.state == MemberState::Dead && which(change);
                }));
    }
    std::vector<Change> &changes()
    {
        return m_changes;
    }
    int pauses(std::size_t index) const
    {
        return m_nodes[index].pauses;
    }
    bool toldToLeave(std::size_t index) const
    {
        return m_nodes[index].toldToLeave;
    }
    const Counters &counters(std::size_t index) const
    {
        return *m_nodes[index].counters;
    }

    // Processor time of all members together, as wall time of their calls.
    std::chrono::nanoseconds spent() const
    {
        return m_spent;
    }

    void schedule(Instant at, std::function<void()> action)
    {
        m_events.push({at, m_nextEvent++, std::move(action)});
    }

    static Endpoint heartbeatOf(std::size_t index)
    {
        return {"10.0.0.1", static_cast<std::uint16_t>(index + 1)};
    }
    static VmId vmOf(std::size_t index)
    {
        return VmId("vm-" + std::to_string(index));
    }
    static std::size_t indexOf(const VmId &vm)
    {
        return std::stoul(vm.value().substr(3));
    }

    std::function<void(std::size_t index, const ListsSeen &)> onListsSeen;

private:
    struct Node
    {
        std::unique_ptr<Counters> counters;
        std::unique_ptr<Membership> membership;
        bool isUp = true;
        bool isFrozen = false;
        bool isDeaf = false;
        bool toldToLeave = false;
        int side = 0;
        int pauses = 0;
        std::deque<Datagram> held;
    };

    struct Event
    {
        Instant at;
        std::uint64_t number = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    static constexpr std::size_t socketBuffer = 200;

    void start(std::size_t index)
    {
        const Endpoint callers{"10.0.0.1", static_cast<std::uint16_t>(10000 + index)};
        const Endpoint peers{"10.0.0.1", static_cast<std::uint16_t>(20000 + index)};
        Node &node = m_nodes[index];
        node.counters = std::make_unique<Counters>();
        node.membership = std::make_unique<Membership>(
                MembershipOptions{.self = vmOf(index),
                                  .dataCentre = DataCentreId("north"),
                                  .endpoints = {heartbeatOf(index), callers, peers},
                                  .seeds = {heartbeatOf(0), heartbeatOf(1), heartbeatOf(2)},
                                  .randomSeed = m_options.seed * 1000 + index,
                                  .firstIncarnation = Incarnation(static_cast<std::uint64_t>(
                                          1 + m_now.time_since_epoch().count()))},
                *node.counters);
        node.isUp = true;
    }

    void tick(std::size_t index)
    {
        const Node &node = m_nodes[index];
        if (node.isUp && !node.isFrozen)
            apply(index, timed([&] { return node.membership->tick(m_now); }));
        schedule(m_now + Membership::tickInterval, [this, index] { tick(index); });
    }

    void send(std::size_t from, const Datagram &datagram)
    {
        const std::size_t to = datagram.to.port - 1U;
        if (to >= m_nodes.size() || m_nodes[to].side != m_nodes[from].side)
            return;
        if (std::uniform_real_distribution<>(0, 1)(m_random) < m_options.loss)
            return;
        schedule(m_now + m_options.latency, [this, to, from = heartbeatOf(from),
                                             bytes = datagram.bytes] { deliver(to, from, bytes); });
    }

    void deliver(std::size_t to, const Endpoint &from, const std::vector<std::uint8_t> &bytes)
    {
        Node &node = m_nodes[to];
        if (node.isFrozen) {
            if (node.held.size() < socketBuffer)
                node.held.push_back({from, bytes});
            return;
        }
        if (node.isUp && !node.isDeaf)
            apply(to, timed([&] { return node.membership->receive(from, bytes, m_now); }));
    }

    template <typename Call>
    MembershipActions timed(const Call &call)
    {
        const auto start = std::chrono::steady_clock::now();
        MembershipActions actions = call();
        m_spent += std::chrono::steady_clock::now() - start;
        return actions;
    }

    Options m_options;
    std::chrono::nanoseconds m_spent{0};
    std::mt19937_64 m_random;
    Instant m_now;
    std::vector<Node> m_nodes;
    std::priority_queue<Event> m_events;
    std::uint64_t m_nextEvent = 0;
    std::vector<Change> m_changes;
};

} // namespace fescuespring::test
