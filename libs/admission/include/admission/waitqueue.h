#pragma once

#include "base/types.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace fescuespring {

// Who waits and who goes next: by priority, and within one priority the oldest first. While the
// oldest has waited longer than overloadAfter, the newest goes first (adaptive LIFO): under
// overload some come too late anyway, and it is better that these are few and the others in time.
//
//     WaitQueue queue;
//     queue.push(ticket, priority, now);
//     while (const auto ticket = queue.pop(now))
//         ...
//
// One thread only, no clock.
class WaitQueue
{
public:
    using Ticket = std::uint64_t;

    explicit WaitQueue(Duration overloadAfter = std::chrono::milliseconds(80));

    // Lower priorities go first.
    void push(Ticket ticket, std::uint32_t priority, Instant now);

    // False if the ticket does not wait.
    bool remove(Ticket ticket);

    // Who goes next, still waiting; nothing if nobody does.
    std::optional<Ticket> next(Instant now) const;

    std::size_t size() const
    {
        return m_waiting.size();
    }
    bool isEmpty() const
    {
        return m_waiting.empty();
    }
    void clear()
    {
        m_waiting.clear();
    }

private:
    struct Waiting
    {
        Ticket ticket = 0;
        std::uint32_t priority = 0;
        Instant since;
    };

    // Ordered by priority, then by arrival.
    std::vector<Waiting> m_waiting;
    Duration m_overloadAfter;
};

} // namespace fescuespring
