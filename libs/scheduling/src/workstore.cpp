#include "workstore.h"

#include "flow.h"

namespace fescuespring::detail {
namespace {

constexpr int generationShift = 32;

std::uint64_t keyOf(const Flow &flow, std::uint64_t customer)
{
    constexpr std::uint64_t oddConstant = 0x9e3779b97f4a7c15;
    return customer ^ (flow.id * oddConstant);
}

} // namespace

void WorkStore::free(std::uint32_t index)
{
    WorkItem &item = m_items[index];
    const std::uint32_t generation = item.generation + 1;
    item = WorkItem{};
    item.generation = generation;
    m_items.free(index);
}

Ticket WorkStore::ticket(std::uint32_t index) const
{
    const std::uint64_t generation = m_items[index].generation;
    return Ticket((generation << generationShift) | index);
}

std::uint32_t WorkStore::find(Ticket ticket) const
{
    const auto index = static_cast<std::uint32_t>(ticket.value());
    if (index >= m_items.size() || m_items[index].state == WorkState::Free)
        return noIndex;
    if (m_items[index].generation != ticket.value() >> generationShift)
        return noIndex;
    return index;
}

std::uint32_t WorkStore::findQueue(const Flow &flow, std::uint64_t customer) const
{
    const auto found = m_queueByKey.find(keyOf(flow, customer));
    return found == m_queueByKey.end() ? noIndex : found->second;
}

std::uint32_t WorkStore::addQueue(const Flow &flow, std::uint64_t customer)
{
    const std::uint32_t index = m_queues.allocate();
    m_queues[index] = CustomerQueue{};
    m_queues[index].key = keyOf(flow, customer);
    m_queueByKey.emplace(m_queues[index].key, index);
    return index;
}

void WorkStore::removeQueue(std::uint32_t index)
{
    m_queueByKey.erase(m_queues[index].key);
    m_queues.free(index);
}

void WorkStore::append(std::uint32_t queue, std::uint32_t index)
{
    CustomerQueue &customerQueue = m_queues[queue];
    WorkItem &item = m_items[index];
    item.queue = queue;
    item.previous = customerQueue.tail;
    item.next = noIndex;
    if (customerQueue.tail == noIndex)
        customerQueue.head = index;
    else
        m_items[customerQueue.tail].next = index;
    customerQueue.tail = index;
    ++customerQueue.size;
}

void WorkStore::unlink(std::uint32_t index)
{
    const WorkItem &item = m_items[index];
    CustomerQueue &customerQueue = m_queues[item.queue];
    if (item.previous == noIndex)
        customerQueue.head = item.next;
    else
        m_items[item.previous].next = item.next;
    if (item.next == noIndex)
        customerQueue.tail = item.previous;
    else
        m_items[item.next].previous = item.previous;
    --customerQueue.size;
}

} // namespace fescuespring::detail
