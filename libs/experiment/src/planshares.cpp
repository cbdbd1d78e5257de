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

// Load that each plan offers, as a share of capacity.
constexpr double loadPerPlan = 1.5;

} // namespace

QueueReport runPlanShares(const QueueExperimentOptions &options)
{
    QueueExperimentOptions saturated = options;
    DatabaseLoad &load = saturated.load;
    double weights = 0.0;
    std::uint32_t vms = 1;
    for (CallerStream &stream : load.streams) {
        // The streams use one, three and nine VMs.
        stream.vms = std::min(vms, load.vms());
        vms *= 3;
        load.plans.at(stream.plan).priority = 0;
        weights += load.plans.at(stream.plan).weight;
    }
    const auto offeredLoad = [](const CallerStream &) {
        return loadPerPlan;
    };
    detail::Simulation simulation(saturated);
    simulation.run(settleTime, offeredLoad);
    const detail::Span span = simulation.run(saturatedTime, offeredLoad);
    simulation.drain(drainTime);

    QueueReport report = detail::emptyReport("plan-shares", options);
    report.phases = {simulation.recorder().figures("saturated", span)};
    const PhaseFigures &phase = report.phases.front();
    for (const CallerStream &stream : load.streams) {
        const double entitled = load.plans.at(stream.plan).weight / weights;
        const double share = phase.find(stream.name)->slotShare / phase.goodput;
        report.targets.push_back(detail::atMost(stream.name + " away from its share",
                                                deviationBound, std::abs(share / entitled - 1.0),
                                                "share"));
    }
    report.maximumConnections = simulation.maximumConnections();
    return report;
}

} // namespace fescuespring
