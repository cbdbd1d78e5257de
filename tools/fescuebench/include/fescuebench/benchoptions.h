#pragma once

#include "base/types.h"
#include "workload/workload.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuespring {

// A database stand-in that an experiment may ask and bring faults to.
struct BenchDatabase
{
    GroupId group;
    DatabaseId database;
    Endpoint data;
    Endpoint control;
};

// VMs of one policy. Without VMs the tool itself acts as so many VMs of the naive policy.
struct BenchSide
{
    std::string policy;
    std::vector<Endpoint> vms;
    std::size_t entries = 1;
};

struct BenchOptions
{
    std::string experiment;
    LoadWorkload workload;
    std::uint64_t seed = 1;

    // Length of the main part of a run.
    Duration length = std::chrono::seconds(10);
    std::uint32_t repeat = 1;

    // Factor on the load that each experiment offers.
    double scale = 1;

    // Measured one after another in the same way.
    std::vector<BenchSide> sides;
    std::vector<BenchDatabase> databases;

    // Processes whose CPU time is given per request.
    std::vector<std::uint32_t> processes;

    // Makes request ids new in each call of the program.
    std::string runId;
};

} // namespace fescuespring
