#pragma once

#include "scheduling/scheduler.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace fescuespring {

// Simulates a database in virtual time whose slots are assigned by a scheduler. The offered work
// specifies its own service time; spare statements wait for a slot in the order sent.
class VirtualDatabase
{
public:
    struct Offer
    {
        std::string plan;
        Duration service{0};
        std::uint64_t fingerprint = 1;
        WorkLength length = WorkLength::Unknown;
        std::string customer = "customer";
        Duration deadline = std::chrono::seconds(10);
    };

    explicit VirtualDatabase(const std::map<PlanId, Plan> &plans,
                             const SchedulerOptions &options = {})
        : scheduler(options)
        , m_slotFree(options.slots)
    {
        scheduler.setPlans(plans);
    }

    Admission offer(const Offer &offer)
    {
        m_offers.push_back(offer);
        m_offeredAt.push_back(now);
        return scheduler.enqueue({.plan = PlanId(offer.plan),
                                  .customer = CustomerId(offer.customer),
                                  .length = offer.length,
                                  .fingerprint = offer.fingerprint,
                                  .deadline = now + offer.deadline,
                                  .context = m_offers.size() - 1},
                                 now);
    }

    // Dispatches all work that may run now.
    void dispatch()
    {
        while (const auto dispatch = scheduler.next(now)) {
            const Offer &offer = m_offers[dispatch->context];
            order.push_back(offer.plan + "/" + offer.customer);
            waited[offer.plan] = std::max(waited[offer.plan], dispatch->waited);
            auto slot = std::min_element(m_slotFree.begin(), m_slotFree.end());
            *slot = std::max(*slot, now) + offer.service;
            m_running.emplace(*slot, Running{dispatch->ticket, dispatch->context, now});
        }
        while (const auto work = scheduler.takeDropped(now)) {
            dropped.push_back(*work);
            longestUntilDropped = std::max(longestUntilDropped, now - m_offeredAt[work->context]);
        }
    }

    // Advances virtual time by duration. feed is called before each dispatch, to offer more work.
    void run(
            Duration duration, const std::function<void()> &feed = [] {})
    {
        const Instant end = now + duration;
        for (;;) {
            feed();
            dispatch();
            if (m_running.empty() || m_running.begin()->first > end)
                break;
            finishFirst();
        }
        now = end;
    }

    // Slot time of a plan's finished work, in seconds.
    double used(const std::string &plan)
    {
        return std::chrono::duration<double>(m_used[plan]).count();
    }

    Scheduler scheduler;
    Instant now{std::chrono::hours(1)};
    std::vector<std::string> order;
    std::map<std::string, Duration> waited;
    std::vector<DroppedWork> dropped;
    Duration longestUntilDropped{0};

private:
    struct Running
    {
        Ticket ticket;
        std::uint64_t context = 0;
        Instant since;
    };

    void finishFirst()
    {
        const auto first = m_running.begin();
        now = first->first;
        const Running running = first->second;
        m_running.erase(first);
        const Offer &offer = m_offers[running.context];
        m_used[offer.plan] += offer.service;
        scheduler.finished(running.ticket, now, now - running.since);
    }

    std::vector<Instant> m_slotFree;
    std::vector<Offer> m_offers;
    std::vector<Instant> m_offeredAt;
    std::multimap<Instant, Running> m_running;
    std::map<std::string, Duration> m_used;
};

} // namespace fescuespring
