#pragma once

#include "base/types.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace fescuespring::detail {

// Events in virtual time; events due at the same time run in the order of their insertion.
class EventLoop
{
public:
    Instant now() const
    {
        return m_now;
    }
    void after(Duration delay, std::function<void()> action);

    // Runs all events up to and including end.
    void runUntil(Instant end);

private:
    struct Event
    {
        Instant at;
        std::uint64_t sequence = 0;
        std::function<void()> action;
    };
    struct Later
    {
        bool operator()(const Event &left, const Event &right) const;
    };

    Instant m_now{std::chrono::hours(1)};
    std::uint64_t m_nextSequence = 0;
    std::priority_queue<Event, std::vector<Event>, Later> m_queue;
};

} // namespace fescuespring::detail
