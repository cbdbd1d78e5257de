#pragma once

#include "base/timers.h"

#include <map>
#include <utility>

namespace fescuespring {

// Timers on a clock that only moves when told to.
class VirtualTimers : public Timers
{
public:
    VirtualTimers() = default;
    VirtualTimers(const VirtualTimers &) = delete;
    VirtualTimers &operator=(const VirtualTimers &) = delete;

    // What tasks hold may cancel timers when it goes.
    ~VirtualTimers() override
    {
        const auto tasks = std::move(m_tasks);
        m_tasks.clear();
    }

    Instant now() const override
    {
        return m_now;
    }

    Id after(Duration delay, std::function<void()> task) override
    {
        const Id id = ++m_lastId;
        m_tasks.emplace(std::pair(m_now + delay, id), std::move(task));
        return id;
    }

    void cancel(Id id) override
    {
        std::erase_if(m_tasks, [id](const auto &entry) { return entry.first.second == id; });
    }

    // Runs what is due within time, in order.
    void advance(Duration time)
    {
        const Instant until = m_now + time;
        while (!m_tasks.empty() && m_tasks.begin()->first.first <= until) {
            const auto node = m_tasks.extract(m_tasks.begin());
            m_now = std::max(m_now, node.key().first);
            node.mapped()();
        }
        m_now = until;
    }

    // Moves the clock without running anything, as a suspension of the machine does.
    void suspend(Duration time)
    {
        m_now += time;
    }

private:
    Instant m_now{std::chrono::hours(1)};
    Id m_lastId = 0;
    std::map<std::pair<Instant, Id>, std::function<void()>> m_tasks;
};

} // namespace fescuespring
