#include "flow.h"

#include <bit>

namespace fescuespring::detail {

void Flow::push(WorkSlab &slab, std::uint32_t index)
{
    WorkItem &item = slab[index];
    Bucket &bucket = m_buckets[item.bucket];
    item.flow = this;
    item.previous = bucket.tail;
    item.next = noIndex;
    if (bucket.tail == noIndex)
        bucket.head = index;
    else
        slab[bucket.tail].next = index;
    bucket.tail = index;
    m_occupied |= 1U << item.bucket;
    ++m_size;
    m_backlog += item.cost;
}

std::uint32_t Flow::front() const
{
    return m_buckets[turn()].head;
}

void Flow::remove(WorkSlab &slab, std::uint32_t index)
{
    WorkItem &item = slab[index];
    Bucket &bucket = m_buckets[item.bucket];
    if (turn() == item.bucket && bucket.head == index)
        m_lastTurn = item.bucket;
    if (item.previous == noIndex)
        bucket.head = item.next;
    else
        slab[item.previous].next = item.next;
    if (item.next == noIndex)
        bucket.tail = item.previous;
    else
        slab[item.next].previous = item.previous;
    if (bucket.head == noIndex)
        m_occupied &= ~(1U << item.bucket);
    --m_size;
    m_backlog -= item.cost;
}

// The first occupied bucket after the last that had its turn.
std::uint32_t Flow::turn() const
{
    const std::uint32_t start = (m_lastTurn + 1) % buckets;
    const std::uint32_t later = m_occupied >> start;
    if (later != 0)
        return start + static_cast<std::uint32_t>(std::countr_zero(later));
    return static_cast<std::uint32_t>(std::countr_zero(m_occupied));
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
