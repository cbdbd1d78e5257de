#pragma once

#include "admission/concurrencylimit.h"
#include "admission/waitqueue.h"

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace fescuespring {

// Simulates, in steps of 500 us, a database with slots and a FIFO queue that several owners share,
// each behind a concurrency limit and a wait queue that the others do not see.
class ServerLoad
{
public:
    static constexpr Duration stepTime = std::chrono::microseconds(500);

    struct Work
    {
        std::string kind;
        Duration mean;
        double perSecond = 0;
        Duration target = std::chrono::milliseconds(600);
        std::uint32_t priority = 1;
    };

    struct Owner
    {
        ConcurrencyLimit limit;
        std::vector<Work> works;
        WaitQueue waiting = WaitQueue();
    };

    struct Served
    {
        Instant at;
        bool isInTime = false;
    };

    ServerLoad(unsigned seed, std::size_t slots)
        : m_random(seed)
        , m_slots(slots)
    {}

    Owner &addOwner(ConcurrencyLimitOptions options, std::vector<Work> works)
    {
        m_owners.push_back({ConcurrencyLimit(std::move(options)), std::move(works)});
        return m_owners.back();
    }

    void run(Duration time)
    {
        for (const Instant end = now + time; now < end;)
            step();
    }

    // Share of the statements that arrived in an interval and were answered within their target.
    double fractionInTime(Instant from, Instant to) const
    {
        std::size_t count = 0;
        std::size_t inTime = 0;
        for (const auto &[ticket, job] : m_jobs) {
            if (job.arrivedAt < from || job.arrivedAt >= to)
                continue;
            ++count;
            inTime += job.isInTime ? 1 : 0;
        }
        return count == 0 ? 1 : static_cast<double>(inTime) / static_cast<double>(count);
    }

    double worstSecond(Instant from, Instant to) const
    {
        double worst = 1;
        for (Instant at = from; at + std::chrono::seconds(1) <= to; at += std::chrono::seconds(1))
            worst = std::min(worst, fractionInTime(at, at + std::chrono::seconds(1)));
        return worst;
    }

    Instant now{std::chrono::hours(1)};

    // Factor on the work of statements that start while it is set.
    double slowness = 1;

    // Whether work is exponentially distributed; otherwise it is the mean.
    bool isNoisy = true;

    // Whether a statement is dropped from the owner's queue once its target has passed.
    bool dropsLate = true;

    std::deque<Owner> &owners()
    {
        return m_owners;
    }

private:
    struct Job
    {
        Owner *owner = nullptr;
        const Work *work = nullptr;
        Instant arrivedAt;
        Instant sentAt;
        bool isInTime = false;
    };

    void step()
    {
        now += stepTime;
        while (!m_running.empty() && m_running.begin()->first <= now) {
            Job &job = m_jobs[m_running.begin()->second];
            m_running.erase(m_running.begin());
            job.owner->limit.end(now - job.sentAt, now, WorkKind(job.work->kind));
            job.isInTime = now - job.arrivedAt <= job.work->target;
        }
        for (Owner &owner : m_owners)
            arrive(owner);
        for (Owner &owner : m_owners)
            send(owner);
        while (m_running.size() < m_slots && !m_queue.empty()) {
            const WaitQueue::Ticket ticket = m_queue.front();
            m_queue.pop_front();
            const auto mean = static_cast<double>(m_jobs[ticket].work->mean.count()) * slowness;
            const double work =
                    isNoisy ? std::exponential_distribution<>(1 / mean)(m_random) : mean;
            m_running.emplace(now + Duration(static_cast<std::int64_t>(work)), ticket);
        }
    }

    void arrive(Owner &owner)
    {
        for (const Work &work : owner.works) {
            const double chance = work.perSecond * 0.0005;
            if (std::uniform_real_distribution<>(0, 1)(m_random) >= chance)
                continue;
            const WaitQueue::Ticket ticket = ++m_lastTicket;
            m_jobs[ticket] = {&owner, &work, now, {}, false};
            owner.waiting.push(ticket, work.priority, now);
        }
    }

    void send(Owner &owner)
    {
        while (owner.limit.hasRoom()) {
            const auto ticket = owner.waiting.next(now);
            if (!ticket)
                return;
            owner.waiting.remove(*ticket);
            Job &job = m_jobs[*ticket];
            if (dropsLate && now - job.arrivedAt > job.work->target)
                continue;
            owner.limit.begin(now);
            job.sentAt = now;
            m_queue.push_back(*ticket);
        }
    }

    std::mt19937_64 m_random;
    std::size_t m_slots;
    std::deque<Owner> m_owners;
    std::map<WaitQueue::Ticket, Job> m_jobs;
    std::multimap<Instant, WaitQueue::Ticket> m_running;
    std::deque<WaitQueue::Ticket> m_queue;
    WaitQueue::Ticket m_lastTicket = 0;
};

} // namespace fescuespring
