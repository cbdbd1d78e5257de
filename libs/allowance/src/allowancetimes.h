#pragma once

#include "base/types.h"

namespace fescuespring::detail {

// A VM counts for no one in its first seconds, until all others know of it. One that they know from
// before its start only waits until its predecessor's tokens have expired.
inline constexpr Duration startPause = std::chrono::seconds(3);
inline constexpr Duration restartPause = std::chrono::milliseconds(300);

// Times without an answer after which the deputy is asked, and after which the deputy, which asks
// the counter first, counts as not responding either.
inline constexpr Duration counterTimeout = std::chrono::milliseconds(100);
inline constexpr Duration deputyTimeout = std::chrono::milliseconds(150);
inline constexpr Duration forwardTimeout = std::chrono::milliseconds(80);

// A counter grants the parts of the VMs that it has heard of within contactTime. VMs exchange a
// message at least every helloInterval.
inline constexpr Duration contactTime = std::chrono::milliseconds(1500);
inline constexpr Duration helloInterval = std::chrono::milliseconds(800);
inline constexpr Duration lateHelloInterval = std::chrono::milliseconds(1000);

// Interval at which a deputy that counts asks the other VMs about their contact with the counter.
inline constexpr Duration aboutInterval = std::chrono::milliseconds(150);

// A VM that did not answer is asked again once it was heard of, or after this time.
inline constexpr Duration failureMemory = std::chrono::seconds(5);

// Fractions of the tolerance that the additional capacity of the buckets and the first tokens of
// isolated VMs may use, and the number of tokens of all counters together that start anew.
inline constexpr double capacityTolerance = 0.7;
inline constexpr double isolatedTolerance = 0.2;
inline constexpr double startTolerance = 0.1;

} // namespace fescuespring::detail
