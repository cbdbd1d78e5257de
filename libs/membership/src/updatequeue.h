#pragma once

#include "base/types.h"

#include <cstddef>
#include <vector>

namespace fescuespring::detail {

// Members whose updates are still to be sent, and how often each has been sent. An update is sent a
// number of times that grows with the logarithm of the number of members, least sent first.
class UpdateQueue
{
public:
    // Adds vm, or resets its count.
    void add(const VmId &vm);

    void drop(const VmId &vm);

    // The members with pending updates, least sent first.
    std::vector<VmId> pending() const;

    // Counts one transmission of the update of vm; drops it after `limit` transmissions.
    void markSent(const VmId &vm, int limit);

    bool isEmpty() const
    {
        return m_items.empty();
    }

private:
    struct Item
    {
        VmId vm;
        int sends = 0;
    };

    // Ordered by number of transmissions.
    std::vector<Item> m_items;
};

} // namespace fescuespring::detail
