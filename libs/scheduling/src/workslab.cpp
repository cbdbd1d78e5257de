#include "workslab.h"

namespace fescuespring::detail {
namespace {

constexpr int generationShift = 32;

} // namespace

std::uint32_t WorkSlab::allocate()
{
    if (m_free.empty()) {
        m_items.emplace_back();
        return static_cast<std::uint32_t>(m_items.size() - 1);
    }
    const std::uint32_t index = m_free.back();
    m_free.pop_back();
    return index;
}

void WorkSlab::free(std::uint32_t index)
{
    WorkItem &item = m_items[index];
    const std::uint32_t generation = item.generation + 1;
    item = WorkItem{};
    item.generation = generation;
    m_free.push_back(index);
}

Ticket WorkSlab::ticket(std::uint32_t index) const
{
    const std::uint64_t generation = m_items[index].generation;
    return Ticket((generation << generationShift) | index);
}

std::uint32_t WorkSlab::find(Ticket ticket) const
{
    const auto index = static_cast<std::uint32_t>(ticket.value());
    if (index >= m_items.size() || m_items[index].state == WorkState::Free)
        return noIndex;
    if (m_items[index].generation != ticket.value() >> generationShift)
        return noIndex;
    return index;
}

} // namespace fescuespring::detail
