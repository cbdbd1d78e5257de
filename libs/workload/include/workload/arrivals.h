#pragma once

#include "base/types.h"
#include "messages/request.h"
#include "workload/workload.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace fescuespring {

// Arrival rate from this time on.
struct RateStep
{
    Duration from{0};
    double perSecond = 0;
};

struct ArrivalOptions
{
    std::uint64_t seed = 1;

    // Part of the sessions' own keys, so that a run does not read keys that another run wrote.
    std::string keySpace = {};

    Duration length = std::chrono::seconds(10);

    // Ordered by time; nothing arrives before the first step.
    std::vector<RateStep> steps;

    // Sessions per customer that its arrivals are spread over; customers share no session.
    std::uint32_t sessions = 1000;

    // Entries that callers can reach. A session sends each request to a random one with the
    // probability roaming, otherwise to the one it used last.
    std::uint32_t entries = 1;
    double roaming = 0.1;
};

// One request of a plan, sent at a fixed time regardless of the outcome of earlier ones.
struct Arrival
{
    // Time since the start of the run.
    Duration at{0};

    // Index into the workload's classes.
    std::size_t requestClass = 0;
    std::uint32_t session = 0;
    std::uint32_t entry = 0;

    // Number of the write among its session's writes to its own key, from 1; for a read, the number
    // of the last write planned before it. 0 if the class has no own key or nothing was written.
    std::uint64_t ownSequence = 0;

    // Without session token.
    CallerRequest request;
};

// The arrivals of a Poisson process whose rate follows the steps. The same seed gives the same plan
// on every platform.
//
//     const auto plan = planArrivals(herdviewLoad(), {.seed = 7, .steps = {{0s, 500}}});
std::vector<Arrival> planArrivals(const LoadWorkload &workload, const ArrivalOptions &options);

} // namespace fescuespring
