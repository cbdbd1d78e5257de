#pragma once

#include "upstreampool/databasepool.h"

#include <map>
#include <set>

namespace fescuespring {

// One pass over the queue, in order.
struct DatabasePool::Walk
{
    // Whether the limit has room, so that links may be granted or opened for customers.
    bool hasRoom = false;

    // If false, free links are only set aside for the tickets that will get them.
    bool mayGrant = false;

    // Links that are being opened or will be, less those that earlier tickets will get.
    std::map<CustomerId, std::size_t> coming = {};
    std::set<const DatabaseLink *> setAside = {};
};

} // namespace fescuespring
