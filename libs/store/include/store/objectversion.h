#pragma once

#include "base/types.h"

namespace fescuespring {

// Versions of a store that may be restored from a copy. The store numbers its changes, but after a
// restore it gives out numbers again that it had given out before. So a version consists of the
// epoch of the store and the number within the epoch, and orders by the epoch first. It is one
// number, which fits into the JSON of the records and, as a fencing token, into 53 bits for the
// first 8191 epochs.
//
//     const ObjectVersion version = makeObjectVersion(epoch, number);
//     if (epochOf(version) == currentEpoch)
//         watchFrom(numberOf(version));

// Numbers within an epoch are lower.
inline constexpr std::uint64_t epochSize = std::uint64_t{1} << 40U;

constexpr ObjectVersion makeObjectVersion(StoreEpoch epoch, std::uint64_t number)
{
    return ObjectVersion(epoch.value() * epochSize + number);
}

constexpr StoreEpoch epochOf(ObjectVersion version)
{
    return StoreEpoch(version.value() / epochSize);
}

constexpr std::uint64_t numberOf(ObjectVersion version)
{
    return version.value() % epochSize;
}

} // namespace fescuespring
