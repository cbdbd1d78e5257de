#pragma once

#include "base/types.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace fescuespring {

// Queue of waiting tickets, ordered by priority and within a priority by age, oldest first. If the
// first ticket has waited longer than overloadAfter, the newest ticket of its priority goes first
// (adaptive LIFO): under overload some requests are late anyway, and newest first keeps their
// number small and the others in time.
//
//     WaitQueue queue;
//     queue.push(ticket, priority, now);
//     while (const auto ticket = queue.next(now)) {
//         queue.remove(*ticket);
//         ...
//     }
//
// Not thread-safe. Time is passed in by the caller.
class WaitQueue
{
public:
    using Ticket = std::uint64_t;

    explicit WaitQueue(Duration overloadAfter = std::chrono::milliseconds(80));

    // Lower priority values go first.
    void push(Ticket ticket, std::uint32_t priority, Instant now);

    // Returns false if the ticket is not in the queue.
    bool remove(Ticket ticket);

    // The ticket that goes next, which stays in the queue; nothing if the queue is empty.
    std::optional<Ticket> next(Instant now) const;

    // Number of tickets that go before a new one of this priority, if none is preferred for its
    // age.
    std::size_t countAhead(std::uint32_t priority) const;

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
