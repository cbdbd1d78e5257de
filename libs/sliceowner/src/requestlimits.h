#pragma once

#include "base/types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace fescuespring {

// Limits shared by the source files of RequestRunner.

// A request that was forwarded this many times is not forwarded again.
constexpr std::uint32_t maximumHops = 2;

// Interval at which a parked request is routed again if no database status arrives.
constexpr Duration parkedRecheckInterval = std::chrono::milliseconds(50);

// Retry delay returned to callers for failures that a change of primary may resolve.
constexpr std::chrono::milliseconds primaryRetryAfter{200};

} // namespace fescuespring
