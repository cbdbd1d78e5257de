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
        std::vector<WaitQueue::Ticket> tickets = {};
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

    // Share of the statements that were dropped after a wait of over a quarter of their target, and
    // of over 50 ms.
    double fractionHeldForNothing() const
    {
        const auto held = std::count_if(m_jobs.begin(), m_jobs.end(), [](const auto &entry) {
            return entry.second.isHeldForNothing;
        });
        return static_cast<double>(held) / static_cast<double>(m_jobs.size());
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
        bool isHeldForNothing = false;
    };

    static Duration holdOf(const Work &work)
    {
        return std::max<Duration>(work.target / 4, std::chrono::milliseconds(50));
    }

    // A statement is held for 600 ms at most. With a learned limit, it is refused on arrival if it
    // is expected to be late, and shortly before the hold time ends if it is doubtful.
    bool isDropped(Owner &owner, const Job &job) const
    {
        const Duration waited = now - job.arrivedAt;
        const LearnedLimit *limit = owner.limit.learned();
        if (!limit || waited > std::chrono::milliseconds(600))
            return waited > std::chrono::milliseconds(600);
        const Duration hold = holdOf(*job.work);
        const bool isHoldEnd = waited > hold * 85 / 100 && waited <= hold;
        if (waited != Duration(0) && !isHoldEnd && waited <= hold)
            return false;
        const std::size_t ahead = owner.waiting.countAhead(job.work->priority);
        const Duration left = (job.work->target - waited) / (isHoldEnd ? 2 : 1);
        const Duration service = limit->serviceTime(WorkKind(job.work->kind));
        return limit->expectedWait(ahead, now) > std::max(left - service, left / 4);
    }

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
        for (Owner &owner : m_owners) {
            if (now.time_since_epoch() % std::chrono::milliseconds(5) == Duration(0))
                dropLate(owner);
            send(owner);
        }
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
            m_jobs[ticket] = {.owner = &owner, .work = &work, .arrivedAt = now};
            if (isDropped(owner, m_jobs[ticket]))
                continue;
            owner.waiting.push(ticket, work.priority, now);
            owner.tickets.push_back(ticket);
        }
    }

    // As the timers of statements that wait.
    void dropLate(Owner &owner)
    {
        std::erase_if(owner.tickets, [&](WaitQueue::Ticket ticket) {
            Job &job = m_jobs[ticket];
            if (job.sentAt != Instant())
                return true;
            if (!isDropped(owner, job))
                return false;
            job.isHeldForNothing = now - job.arrivedAt > holdOf(*job.work);
            return owner.waiting.remove(ticket);
        });
    }

    void send(Owner &owner)
    {
        while (owner.limit.hasRoom()) {
            const auto ticket = owner.waiting.next(now);
            if (!ticket)
                return;
            owner.waiting.remove(*ticket);
            Job &job = m_jobs[*ticket];
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
