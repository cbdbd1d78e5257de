#pragma once

#include "fescuebench/requestsender.h"
#include "loadtest/latencyhistogram.h"
#include "net/eventloop.h"
#include "workload/workload.h"

#include <cstdint>
#include <string>

namespace fescuespring {

struct ClosedLoadOptions
{
    GroupId group;
    CustomerId customer;

    // Callers that each send the next request when the last one was answered.
    std::uint32_t callers = 1;
    Duration length = std::chrono::seconds(5);

    // One request in so many writes.
    std::uint32_t writeEvery = 2;

    std::string prefix;
};

struct ClosedLoadResult
{
    std::uint64_t done = 0;
    std::uint64_t failed = 0;
    Duration length{0};
    LatencyHistogram reads;
    LatencyHistogram writes;
};

// Runs a closed load of statements without work; for what a path costs, not for what it does under
// pressure, since callers that wait hide delays.
ClosedLoadResult runClosedLoad(EventLoop &loop, RequestSender &sender,
                               const ClosedLoadOptions &options);

} // namespace fescuespring
