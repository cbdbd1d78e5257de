#include "databasequeue.h"

#include <algorithm>
#include <utility>

namespace fescuespring::detail {

DatabaseQueue::DatabaseQueue(EventLoop &loop, std::uint32_t slots, std::uint32_t connectionLimit,
                             Duration openCost)
    : m_loop(loop)
    , m_freeSlots(slots)
    , m_connectionLimit(connectionLimit)
    , m_openCost(openCost)
{}

void DatabaseQueue::open(std::function<void(bool)> done)
{
    if (m_connections == m_connectionLimit) {
        done(false);
        return;
    }
    ++m_connections;
    m_maximumConnections = std::max(m_maximumConnections, m_connections);
    m_loop.after(m_openCost, [done = std::move(done)] { done(true); });
}

void DatabaseQueue::close()
{
    --m_connections;
}

void DatabaseQueue::call(Duration service, std::function<void()> done)
{
    Call call{service, std::move(done)};
    if (m_freeSlots == 0) {
        m_waiting.push_back(std::move(call));
        return;
    }
    --m_freeSlots;
    start(std::move(call));
}

void DatabaseQueue::start(Call call)
{
    const Duration service = call.service;
    m_loop.after(service, [this, call = std::move(call)] {
        if (m_waiting.empty()) {
            ++m_freeSlots;
        } else {
            Call next = std::move(m_waiting.front());
            m_waiting.pop_front();
            start(std::move(next));
        }
        call.done();
    });
}

} // namespace fescuespring::detail
