#include "updatequeue.h"

#include <algorithm>

namespace fescuespring::detail {

void UpdateQueue::add(const VmId &vm)
{
    drop(vm);
    m_items.insert(m_items.begin(), {vm, 0});
}

void UpdateQueue::drop(const VmId &vm)
{
    std::erase_if(m_items, [&vm](const Item &item) { return item.vm == vm; });
}

std::vector<VmId> UpdateQueue::pending() const
{
    std::vector<VmId> pending;
    pending.reserve(m_items.size());
    for (const Item &item : m_items)
        pending.push_back(item.vm);
    return pending;
}

void UpdateQueue::markSent(const VmId &vm, int limit)
{
    const auto found = std::find_if(m_items.begin(), m_items.end(),
                                    [&vm](const Item &item) { return item.vm == vm; });
    if (found == m_items.end())
        return;
    Item item = *found;
    m_items.erase(found);
    if (++item.sends >= limit)
        return;
    const auto place = std::find_if(m_items.begin(), m_items.end(), [&item](const Item &other) {
        return other.sends > item.sends;
    });
    m_items.insert(place, std::move(item));
}

} // namespace fescuespring::detail
