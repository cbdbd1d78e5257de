#pragma once

#include "base/types.h"

#include <compare>
#include <cstdint>

namespace fescuespring {

// Which plan lists a VM has in force, small enough for every heartbeat. The version is the sum of
// the versions of all objects that the lists are stored in, so that each edit raises it by one. The
// digest tells apart lists of equal sums, as two sides of a cut may have; it has no order.
struct ListsMark
{
    ObjectVersion version;
    std::uint32_t digest = 0;

    bool operator==(const ListsMark &) const = default;
};

} // namespace fescuespring
