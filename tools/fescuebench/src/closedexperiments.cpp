#include "fescuebench/closedload.h"
#include "fescuebench/controlcalls.h"
#include "fescuebench/databasesenders.h"
#include "fescuebench/experiments.h"

#include <algorithm>

namespace fescuespring {

namespace {

constexpr std::uint32_t throughputCallers = 64;

double toMs(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

void addLatencies(Report &report, const std::string &policy, const std::string &kind,
                  const LatencyHistogram &latency)
{
    report.figures.push_back({kind + " p50", toMs(latency.percentile(0.5)), "ms", policy});
    report.figures.push_back({kind + " p99", toMs(latency.percentile(0.99)), "ms", policy});
}

void addClosedRun(Report &report, const std::string &policy, const ClosedLoadResult &result)
{
    const std::chrono::duration<double> seconds = result.length;
    const auto done = static_cast<double>(result.done);
    report.figures.push_back({"requests", done, "", policy});
    report.figures.push_back({"failed", static_cast<double>(result.failed), "", policy});
    report.figures.push_back({"rate", done / seconds.count(), "requests/s", policy});
    addLatencies(report, policy, "read", result.reads);
    addLatencies(report, policy, "write", result.writes);
}

ClosedLoadOptions closedOptions(const BenchOptions &options, std::uint32_t callers,
                                const std::string &prefix)
{
    return {.group = options.workload.groups.front(),
            .customer = options.workload.classes.front().customer,
            .callers = callers,
            .length = options.length,
            .writeEvery = 2,
            .prefix = options.runId + prefix};
}

// The same closed load straight to the first group's primary and through the first VM of each side.
Result<Report> runClosed(const BenchOptions &options, std::uint32_t callers)
{
    Report report{.experiment = options.experiment,
                  .workload = options.workload.name,
                  .seed = options.seed};
    EventLoop loop;
    if (!options.databases.empty()) {
        BOOST_OUTCOME_TRY(const BenchPrimary primary,
                          primaryOf(loop, options, options.workload.groups.front()));
        const std::uint32_t connections = std::min(callers, options.workload.connections);
        DirectSender direct(loop, primary.database, primary.term, connections);
        addClosedRun(report, "direct",
                     runClosedLoad(loop, direct, closedOptions(options, callers, "d")));
    }
    for (const BenchSide &side : options.sides) {
        if (side.vms.empty())
            continue;
        VmSender sender(loop, {side.vms.front()}, callers);
        const Duration cpuBefore = cpuTimeOf(options.processes);
        const ClosedLoadResult result =
                runClosedLoad(loop, sender, closedOptions(options, callers, side.policy));
        addClosedRun(report, side.policy, result);
        const Duration cpu = cpuTimeOf(options.processes) - cpuBefore;
        if (!options.processes.empty() && result.done > 0)
            report.figures.push_back(
                    {"CPU of the given processes",
                     static_cast<double>(cpu.count()) / static_cast<double>(result.done),
                     "us/request", side.policy});
    }
    return report;
}

} // namespace

Result<Report> runAddedLatency(const BenchOptions &options)
{
    return runClosed(options, 1);
}

Result<Report> runThroughput(const BenchOptions &options)
{
    return runClosed(options, throughputCallers);
}

} // namespace fescuespring
