#pragma once

#include "base/types.h"

#include <cstddef>
#include <vector>

namespace fescuespring::detail {

// Which members there is news of, and how often it has been told. News is told a number of times
// that grows with the logarithm of the number of members, least told first.
class NewsQueue
{
public:
    // News of vm, to be told from the beginning.
    void add(const VmId &vm);

    void drop(const VmId &vm);

    // The members there is news of, least told first.
    std::vector<VmId> order() const;

    // The news of vm was told once more; it is dropped when that has been done `times` times.
    void told(const VmId &vm, int times);

    bool isEmpty() const
    {
        return m_items.empty();
    }

private:
    struct Item
    {
        VmId vm;
        int told = 0;
    };

    // Ordered by how often told.
    std::vector<Item> m_items;
};

} // namespace fescuespring::detail
