#pragma once

#include "base/types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace fescuespring {

// Bounds that the parts of RequestRunner share.

// A request that came by so many hops is not sent on.
constexpr std::uint32_t maximumHops = 2;

// How often a parked request looks again although no status has arrived.
constexpr Duration parkedRecheck = std::chrono::milliseconds(50);

// Told to callers where a change of primary may help.
constexpr std::chrono::milliseconds primaryRetryAfter{200};

} // namespace fescuespring
