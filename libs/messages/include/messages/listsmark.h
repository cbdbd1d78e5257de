#pragma once

#include "base/types.h"

#include <compare>
#include <cstdint>

namespace fescuespring {

// Identifies the plan lists that a VM has in force; small enough for every heartbeat. The version
// is the sum of the versions of all objects in which the lists are stored, so that each edit
// increases it by one. The digest distinguishes lists with equal sums, which the two sides of a
// partition may have; digests are not ordered.
struct ListsMark
{
    ObjectVersion version;
    std::uint32_t digest = 0;

    bool operator==(const ListsMark &) const = default;
};

} // namespace fescuespring
