#pragma once

#include "allowance/allowancevm.h"
#include "support/virtualtimers.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace fescuespring {

inline const CustomerId harbour("harbour");

// VMs in data centres on a network in virtual time, whose links can be cut and whose VMs can be
// killed, paused and added. Callers start operations of one customer at random times.
class AllowanceNetwork
{
public:
    struct Vm
    {
        AllowanceMember member;
        std::unique_ptr<AllowanceVm> state;
        bool isPaused = false;
        std::vector<std::function<void()>> queued;
        double operationsPerSecond = 0;
    };

    explicit AllowanceNetwork(Allowance granted, unsigned seed = 1)
        : allowance(granted)
        , m_random(seed)
    {}

    // Adds VMs named DATACENTRE-NUMBER; all VMs learn of them at once.
    void add(const std::string &dataCentre, int count)
    {
        for (int i = 0; i < count; ++i) {
            const std::string name = dataCentre + '-' + std::to_string(vms.size());
            boot({VmId(name), DataCentreId(dataCentre)});
        }
        announce();
    }

    void boot(const AllowanceMember &member)
    {
        auto &vm = vms[member.vm];
        vm = std::make_shared<Vm>();
        vm->member = member;
        vm->state = std::make_unique<AllowanceVm>(AllowanceVm::Options{
                .vm = member.vm,
                .dataCentre = member.dataCentre,
                .now = [this] { return timers.now(); },
                .ask =
                        [this, self = member.vm](const VmId &to, const AllowanceRequest &request,
                                                 Duration timeout, AllowanceVm::Answered done) {
                            send(self, to, request, timeout, std::move(done));
                        }});
        vm->state->setCustomers({{.id = harbour, .allowance = allowance}});
    }

    // All VMs learn the list of VMs, without those that have been taken off it.
    void announce()
    {
        std::vector<AllowanceMember> members;
        for (const auto &[id, vm] : vms)
            members.push_back(vm->member);
        for (const auto &[id, vm] : vms)
            vm->state->setVms(members);
    }

    void setAllowance(Allowance granted)
    {
        allowance = granted;
        for (const auto &[id, vm] : vms)
            vm->state->setCustomers({{.id = harbour, .allowance = granted}});
    }

    // Demand, divided evenly among the VMs of a data centre.
    void demand(const std::string &dataCentre, double operationsPerSecond)
    {
        const auto count = std::ranges::count_if(vms, [&](const auto &entry) {
            return entry.second->member.dataCentre.value() == dataCentre;
        });
        for (const auto &[id, vm] : vms) {
            if (vm->member.dataCentre.value() == dataCentre)
                vm->operationsPerSecond = operationsPerSecond / static_cast<double>(count);
        }
    }

    // The VM that counts in a data centre, or its deputy.
    VmId counter(const std::string &dataCentre, std::size_t place = 0) const
    {
        AllowanceFleet fleet;
        std::vector<AllowanceMember> members;
        for (const auto &[id, vm] : vms)
            members.push_back(vm->member);
        fleet.setLive(members, timers.now());
        return fleet.counters(DataCentreId(dataCentre), harbour).at(place);
    }

    void kill(const VmId &vm)
    {
        killed.insert(vm);
        vms[vm]->operationsPerSecond = 0;
    }

    // All VMs start again at once, and know nothing of before.
    void restartAll()
    {
        std::vector<std::pair<AllowanceMember, double>> members;
        for (const auto &[id, vm] : vms) {
            members.emplace_back(vm->member, vm->operationsPerSecond);
            // Timers still refer to it.
            m_ended.push_back(vm);
        }
        for (const auto &[member, operationsPerSecond] : members) {
            boot(member);
            vms[member.vm]->operationsPerSecond = operationsPerSecond;
            vms[member.vm]->state->setRestarted();
        }
        announce();
    }

    // A paused VM handles nothing until it is resumed, and then everything that has arrived.
    void pause(const VmId &vm)
    {
        vms[vm]->isPaused = true;
    }
    void resume(const VmId &vm)
    {
        vms[vm]->isPaused = false;
        for (const auto &task : std::exchange(vms[vm]->queued, {}))
            task();
    }

    // Runs the callers and the VMs.
    void run(Duration time)
    {
        constexpr Duration step = std::chrono::milliseconds(1);
        for (Duration passed{0}; passed < time; passed += step) {
            timers.advance(step);
            const bool isTick = ++m_steps % 100 == 0;
            for (const auto &[id, vm] : vms) {
                if (killed.contains(id) || vm->isPaused)
                    continue;
                if (isTick)
                    vm->state->tick();
                std::poisson_distribution<int> arrivals(vm->operationsPerSecond / 1000);
                const int count = vm->operationsPerSecond > 0 ? arrivals(m_random) : 0;
                for (int i = 0; i < count; ++i)
                    operation(*vm);
            }
        }
    }

    // Operations granted, at most, in any window, and since `since`.
    std::size_t worstWindow(Duration window = std::chrono::seconds(5)) const
    {
        std::size_t worst = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < granted.size(); ++last) {
            while (granted[last] - granted[first] >= window)
                ++first;
            worst = std::max(worst, last - first + 1);
        }
        return worst;
    }
    double bound() const
    {
        return (allowance.operationsPerSecond * 5 + allowance.burst) * 1.1 + 20;
    }
    // Share that one bucket of the whole allowance would have granted since the last call.
    double idealShare()
    {
        const double share =
                m_idealStarted == 0 ? 1 : double(m_idealServed) / double(m_idealStarted);
        m_idealStarted = m_idealServed = 0;
        return share;
    }

    // Share of the operations since the last call that were granted.
    double servedShare()
    {
        const double share = m_started == 0 ? 1 : double(m_served) / double(m_started);
        m_started = m_served = 0;
        return share;
    }

    std::uint64_t requests() const
    {
        std::uint64_t sum = 0;
        for (const auto &[id, vm] : vms)
            sum += vm->state->statistics().requestsSent;
        return sum;
    }

    VirtualTimers timers;
    Allowance allowance;
    std::map<VmId, std::shared_ptr<Vm>> vms;
    std::set<VmId> killed;
    std::vector<Instant> granted;

    // Whether messages from one VM reach another one.
    std::function<bool(const AllowanceMember &, const AllowanceMember &)> isLinked =
            [](const AllowanceMember &, const AllowanceMember &) {
                return true;
            };

    // Part of the messages that are lost.
    double loss = 0;

private:
    void operation(Vm &vm)
    {
        ++m_started;
        ++m_idealStarted;
        m_ideal.refill({allowance.operationsPerSecond, allowance.burst}, timers.now());
        m_idealServed += m_ideal.take(1);
        vm.state->start(harbour, [this](const AllowanceDecision &decision) {
            if (!decision.isGranted())
                return;
            ++m_served;
            granted.push_back(timers.now());
        });
    }

    void deliver(const AllowanceMember &from, const VmId &to, std::function<void()> task)
    {
        const auto target = vms.find(to);
        if (target == vms.end() || !isLinked(from, target->second->member)
            || std::bernoulli_distribution(loss)(m_random))
            return;
        const bool isNear = from.dataCentre == target->second->member.dataCentre;
        std::uniform_int_distribution<int> jitter(0, 1000);
        const Duration delay =
                std::chrono::microseconds((isNear ? 500 : 10'000) + jitter(m_random));
        timers.after(delay, [this, to, task = std::move(task)] {
            if (killed.contains(to))
                return;
            if (vms[to]->isPaused)
                vms[to]->queued.push_back(task);
            else
                task();
        });
    }

    void send(const VmId &from, const VmId &to, const AllowanceRequest &request, Duration timeout,
              AllowanceVm::Answered done)
    {
        const auto once = std::make_shared<AllowanceVm::Answered>(std::move(done));
        const auto finish = [once](const std::optional<AllowanceAnswer> &answer) {
            if (const AllowanceVm::Answered call = std::exchange(*once, nullptr))
                call(answer);
        };
        timers.after(timeout, [this, from, finish] {
            if (killed.contains(from))
                return;
            if (vms[from]->isPaused)
                vms[from]->queued.push_back([finish] { finish(std::nullopt); });
            else
                finish(std::nullopt);
        });
        const AllowanceMember sender = vms[from]->member;
        deliver(sender, to, [this, sender, to, request, finish] {
            vms[to]->state->handle(
                    request, [this, sender, to, finish](const AllowanceAnswer &answer) {
                        deliver(vms[to]->member, sender.vm, [finish, answer] { finish(answer); });
                    });
        });
    }

    std::vector<std::shared_ptr<Vm>> m_ended;
    std::mt19937 m_random;
    std::uint64_t m_steps = 0;
    std::uint64_t m_started = 0;
    std::uint64_t m_served = 0;
    TokenBucket m_ideal{Instant()};
    std::uint64_t m_idealStarted = 0;
    std::uint64_t m_idealServed = 0;
};

} // namespace fescuespring
