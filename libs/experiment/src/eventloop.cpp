#include "eventloop.h"

#include <utility>

namespace fescuespring::detail {

bool EventLoop::Later::operator()(const Event &left, const Event &right) const
{
    if (left.at != right.at)
        return left.at > right.at;
    return left.sequence > right.sequence;
}

void EventLoop::after(Duration delay, std::function<void()> action)
{
    m_queue.push({m_now + delay, m_nextSequence++, std::move(action)});
}

void EventLoop::runUntil(Instant end)
{
    while (!m_queue.empty() && m_queue.top().at <= end) {
        const Event event = m_queue.top();
        m_queue.pop();
        m_now = event.at;
        event.action();
    }
    m_now = end;
}

} // namespace fescuespring::detail
