#pragma once

#include "base/types.h"
#include "messages/request.h"
#include "workload/workload.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace fescuespring {

// From this moment on, so many arrivals a second.
struct RateStep
{
    Duration from{0};
    double perSecond = 0;
};

struct ArrivalOptions
{
    std::uint64_t seed = 1;

    // Stands in the own keys of sessions, so that one run does not read what another one wrote.
    std::string keySpace = {};

    Duration length = std::chrono::seconds(10);

    // In order of time; nothing arrives before the first.
    std::vector<RateStep> steps;

    // Sessions of each customer that its arrivals are spread over; none is shared by customers.
    std::uint32_t sessions = 1000;

    // Entries that callers can reach; a session sends each request to any of them with this
    // probability, else to the one it used last.
    std::uint32_t entries = 1;
    double roaming = 0.1;
};

// One request of a plan, to be sent at a fixed time whatever became of those before it.
struct Arrival
{
    // Since the start of the run.
    Duration at{0};

    // Place in the workload's classes.
    std::size_t requestClass = 0;
    std::uint32_t session = 0;
    std::uint32_t entry = 0;

    // Number of the write among its session's writes to its own key, from 1; in a read, the number
    // of the last one planned before it. 0: the class has no own key, or nothing was written.
    std::uint64_t ownSequence = 0;

    // Without token.
    CallerRequest request;
};

// The arrivals of a Poisson process whose rate follows the steps. The same seed gives the same
// plan, on every machine.
//
//     const auto plan = planArrivals(herdviewLoad(), {.seed = 7, .steps = {{0s, 500}}});
std::vector<Arrival> planArrivals(const LoadWorkload &workload, const ArrivalOptions &options);

} // namespace fescuespring
