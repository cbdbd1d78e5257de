#pragma once

#include <chrono>

namespace fescuespring::detail {

// An unanswered write of a leadership record is repeated under the same condition after this time,
// well before another VM takes over the promotion lock.
inline constexpr std::chrono::milliseconds recordWriteTimeout{400};

} // namespace fescuespring::detail
