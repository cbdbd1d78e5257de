#include "experiment/experiment.h"
#include "simulation.h"
#include "targets.h"

#include <cmath>

namespace fescuespring {
namespace {

constexpr Duration settleTime = std::chrono::seconds(2);
constexpr Duration saturatedTime = std::chrono::seconds(30);
constexpr Duration drainTime = std::chrono::seconds(5);

constexpr double deviationBound = 0.05;

// Every plan of the experiment offers this load by itself, as a share of capacity.
constexpr double loadOfEach = 1.5;

} // namespace

ExperimentReport runPlanShares(const ExperimentOptions &options)
{
    ExperimentOptions saturated = options;
    Workload &workload = saturated.workload;
    double weights = 0.0;
    std::uint32_t vms = 1;
    for (CallerStream &stream : workload.streams) {
        // Through one VM, through three, through nine.
        stream.vms = std::min(vms, workload.vms());
        vms *= 3;
        workload.plans.at(stream.plan).priority = 0;
        weights += workload.plans.at(stream.plan).weight;
    }
    const auto load = [](const CallerStream &) {
        return loadOfEach;
    };
    detail::Simulation simulation(saturated);
    simulation.run(settleTime, load);
    const detail::Span span = simulation.run(saturatedTime, load);
    simulation.drain(drainTime);

    ExperimentReport report = detail::emptyReport("plan-shares", options);
    report.phases = {simulation.recorder().figures("saturated", span)};
    const PhaseFigures &phase = report.phases.front();
    for (const CallerStream &stream : workload.streams) {
        const double entitled = workload.plans.at(stream.plan).weight / weights;
        const double share = phase.find(stream.name)->slotShare / phase.goodput;
        report.targets.push_back(detail::atMost(stream.name + " away from its share",
                                                deviationBound, std::abs(share / entitled - 1.0),
                                                "share"));
    }
    report.mostConnections = simulation.mostConnections();
    return report;
}

} // namespace fescuespring
