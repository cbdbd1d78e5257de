#include "flow.h"

#include <algorithm>

namespace fescuespring::detail {

void Flow::push(WorkStore &store, std::uint32_t index)
{
    WorkItem &item = store[index];
    item.flow = this;
    std::uint32_t queue = store.findQueue(*this, item.customer);
    if (queue == noIndex) {
        queue = store.addQueue(*this, item.customer);
        addToRing(store, queue);
    }
    store.append(queue, index);
    ++m_size;
    m_backlog += item.cost;
}

std::uint32_t Flow::front(WorkStore &store) const
{
    return store.queue(m_nextQueue).head;
}

void Flow::remove(WorkStore &store, std::uint32_t index)
{
    const std::uint32_t queue = store[index].queue;
    const bool wasFront = queue == m_nextQueue && store.queue(queue).head == index;
    store.unlink(index);
    --m_size;
    m_backlog -= store[index].cost;
    if (wasFront)
        m_nextQueue = store.queue(queue).next;
    if (store.queue(queue).size > 0)
        return;
    removeFromRing(store, queue);
    store.removeQueue(queue);
}

double Flow::backlogAhead(std::uint32_t ownQueued) const
{
    if (m_size == 0)
        return 0.0;
    const double backlog = static_cast<double>(m_backlog.count());
    const double itemsAhead = (ownQueued + 1.0) * m_customers;
    return std::min(backlog, itemsAhead / m_size * backlog);
}

// Inserts the queue before the one that is served next, so that it is served last.
void Flow::addToRing(WorkStore &store, std::uint32_t queue)
{
    ++m_customers;
    CustomerQueue &added = store.queue(queue);
    if (m_nextQueue == noIndex) {
        added.previous = queue;
        added.next = queue;
        m_nextQueue = queue;
        return;
    }
    CustomerQueue &nextQueue = store.queue(m_nextQueue);
    added.next = m_nextQueue;
    added.previous = nextQueue.previous;
    store.queue(nextQueue.previous).next = queue;
    nextQueue.previous = queue;
}

void Flow::removeFromRing(WorkStore &store, std::uint32_t queue)
{
    --m_customers;
    const CustomerQueue &removed = store.queue(queue);
    store.queue(removed.previous).next = removed.next;
    store.queue(removed.next).previous = removed.previous;
    if (m_nextQueue != queue)
        return;
    m_nextQueue = m_customers == 0 ? noIndex : removed.next;
}

bool PlanState::mayRun(FlowKind kind) const
{
    if (flow(kind).isEmpty() || running >= plan.connections)
        return false;
    return kind == FlowKind::Short || runningLong < plan.longStatements;
}

double PlanState::flowWeight(FlowKind kind) const
{
    const FlowKind other = kind == FlowKind::Short ? FlowKind::Long : FlowKind::Short;
    const double weight = plan.weight;
    return flow(other).isEmpty() ? weight : weight / 2;
}

void FlowHeap::push(Flow &flow)
{
    m_flows.push_back(&flow);
    place(m_flows.size() - 1, &flow);
    siftUp(m_flows.size() - 1);
}

void FlowHeap::remove(Flow &flow)
{
    const std::size_t position = flow.heapPosition;
    Flow *last = m_flows.back();
    m_flows.pop_back();
    flow.heapPosition = noIndex;
    if (last == &flow)
        return;
    place(position, last);
    update(*last);
}

void FlowHeap::update(Flow &flow)
{
    siftUp(flow.heapPosition);
    siftDown(flow.heapPosition);
}

void FlowHeap::place(std::size_t position, Flow *flow)
{
    m_flows[position] = flow;
    flow->heapPosition = static_cast<std::uint32_t>(position);
}

void FlowHeap::siftUp(std::size_t position)
{
    Flow *flow = m_flows[position];
    while (position > 0) {
        const std::size_t parent = (position - 1) / 2;
        if (m_flows[parent]->tag <= flow->tag)
            break;
        place(position, m_flows[parent]);
        position = parent;
    }
    place(position, flow);
}

void FlowHeap::siftDown(std::size_t position)
{
    Flow *flow = m_flows[position];
    for (;;) {
        std::size_t child = 2 * position + 1;
        if (child >= m_flows.size())
            break;
        if (child + 1 < m_flows.size() && m_flows[child + 1]->tag < m_flows[child]->tag)
            ++child;
        if (m_flows[child]->tag >= flow->tag)
            break;
        place(position, m_flows[child]);
        position = child;
    }
    place(position, flow);
}

} // namespace fescuespring::detail
