#include "admission/waitqueue.h"

#include <algorithm>

namespace fescuespring {

WaitQueue::WaitQueue(Duration overloadAfter)
    : m_overloadAfter(overloadAfter)
{}

void WaitQueue::push(Ticket ticket, std::uint32_t priority, Instant now)
{
    const auto place = std::upper_bound(
            m_waiting.begin(), m_waiting.end(), priority,
            [](std::uint32_t value, const Waiting &waiting) { return value < waiting.priority; });
    m_waiting.insert(place, {ticket, priority, now});
}

bool WaitQueue::remove(Ticket ticket)
{
    return std::erase_if(m_waiting,
                         [ticket](const Waiting &waiting) { return waiting.ticket == ticket; })
           > 0;
}

std::size_t WaitQueue::countAhead(std::uint32_t priority) const
{
    const auto end = std::upper_bound(
            m_waiting.begin(), m_waiting.end(), priority,
            [](std::uint32_t value, const Waiting &waiting) { return value < waiting.priority; });
    return static_cast<std::size_t>(end - m_waiting.begin());
}

std::optional<WaitQueue::Ticket> WaitQueue::next(Instant now) const
{
    if (m_waiting.empty())
        return std::nullopt;
    const Waiting &oldest = m_waiting.front();
    if (now - oldest.since <= m_overloadAfter)
        return oldest.ticket;
    const auto end =
            std::find_if(m_waiting.begin(), m_waiting.end(), [&oldest](const Waiting &waiting) {
                return waiting.priority != oldest.priority;
            });
    return std::prev(end)->ticket;
}

} // namespace fescuespring
