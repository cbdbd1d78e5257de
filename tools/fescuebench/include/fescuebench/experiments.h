#pragma once

#include "base/result.h"
#include "fescuebench/benchoptions.h"
#include "loadtest/report.h"

#include <string>
#include <vector>

namespace fescuespring {

// One experiment by name, and what it is about.
struct Experiment
{
    const char *name;
    const char *summary;
    Result<Report> (*run)(const BenchOptions &options);
};

const std::vector<Experiment> &experiments();

// What a path costs without pressure: callers in a closed loop, straight to a database and through
// the first VM, in the same run.
Result<Report> runAddedLatency(const BenchOptions &options);
Result<Report> runThroughput(const BenchOptions &options);

// Three times what the slots can carry, for the length of the run, after idle.
Result<Report> runCrest(const BenchOptions &options);

// Short work alone, and with more long jobs than the slots can carry.
Result<Report> runHeadOfLine(const BenchOptions &options);

// Sessions that roam and check their own writes, while replicas lag by 100 ms.
Result<Report> runReplicaReads(const BenchOptions &options);

// The primary of the first group stops answering under load.
Result<Report> runFailover(const BenchOptions &options);

} // namespace fescuespring
