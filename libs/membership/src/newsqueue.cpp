#include "newsqueue.h"

#include <algorithm>

namespace fescuespring::detail {

void NewsQueue::add(const VmId &vm)
{
    drop(vm);
    m_items.insert(m_items.begin(), {vm, 0});
}

void NewsQueue::drop(const VmId &vm)
{
    std::erase_if(m_items, [&vm](const Item &item) { return item.vm == vm; });
}

std::vector<VmId> NewsQueue::order() const
{
    std::vector<VmId> order;
    order.reserve(m_items.size());
    for (const Item &item : m_items)
        order.push_back(item.vm);
    return order;
}

void NewsQueue::told(const VmId &vm, int times)
{
    const auto found = std::find_if(m_items.begin(), m_items.end(),
                                    [&vm](const Item &item) { return item.vm == vm; });
    if (found == m_items.end())
        return;
    Item item = *found;
    m_items.erase(found);
    if (++item.told >= times)
        return;
    const auto place = std::find_if(m_items.begin(), m_items.end(),
                                    [&item](const Item &other) { return other.told > item.told; });
    m_items.insert(place, std::move(item));
}

} // namespace fescuespring::detail
