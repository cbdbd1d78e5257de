#include "experiment/experiment.h"
#include "simulation.h"
#include "targets.h"

#include <algorithm>

namespace fescuespring {
namespace {

constexpr Duration aloneTime = std::chrono::seconds(60);
constexpr Duration fillTime = std::chrono::seconds(20);
constexpr Duration mixedTime = std::chrono::seconds(60);
constexpr Duration drainTime = std::chrono::seconds(30);

// Load of long jobs as a share of capacity, high enough to fill every queue.
constexpr double longJobLoad = 2.0;

constexpr double p99RatioBound = 1.5;

// Share of the slots that the plan of the long jobs is entitled to while all plans have work.
double planShare(const DatabaseLoad &load)
{
    double sum = 0.0;
    for (const auto &[id, plan] : load.plans)
        sum += plan.weight;
    return load.plans.at(load.longJobs.plan).weight / sum;
}

double worstRatio(const PhaseFigures &alone, const PhaseFigures &mixed, const DatabaseLoad &load)
{
    double worst = 0.0;
    for (const StreamFigures &stream : mixed.streams) {
        if (stream.stream == load.longJobs.name)
            continue;
        const Duration before = alone.find(stream.stream)->p99;
        worst = std::max(worst, detail::milliseconds(stream.p99) / detail::milliseconds(before));
    }
    return worst;
}

// Late and refused requests count as not served: the p99 of only the served ones is inconclusive.
double minimumServedShare(const PhaseFigures &mixed, const DatabaseLoad &load)
{
    double minimum = 1.0;
    for (const StreamFigures &stream : mixed.streams) {
        if (stream.stream != load.longJobs.name)
            minimum = std::min(minimum, stream.servedShare());
    }
    return minimum;
}

} // namespace

QueueReport runHeadOfLine(const QueueExperimentOptions &options)
{
    QueueExperimentOptions withJobs = options;
    DatabaseLoad &load = withJobs.load;
    load.streams.push_back(load.longJobs);
    const std::string longName = load.longJobs.name;
    const auto shortOnly = [&](const CallerStream &stream) {
        return stream.name == longName ? 0.0 : stream.quietLoad * options.shortLoad;
    };
    const auto mixedLoad = [&](const CallerStream &stream) {
        return stream.name == longName ? longJobLoad : stream.quietLoad * options.shortLoad;
    };

    detail::Simulation simulation(withJobs);
    const detail::Span alone = simulation.run(aloneTime, shortOnly);
    simulation.run(fillTime, mixedLoad);
    const detail::Span mixed = simulation.run(mixedTime, mixedLoad);
    simulation.drain(drainTime);

    const detail::Recorder &recorder = simulation.recorder();
    QueueReport report = detail::emptyReport("head-of-line", options);
    report.phases = {recorder.figures("alone", alone), recorder.figures("mixed", mixed)};
    const PhaseFigures &before = report.phases[0];
    const PhaseFigures &during = report.phases[1];
    report.targets = {detail::atMost("p99 of short work with long jobs, by that without",
                                     p99RatioBound, worstRatio(before, during, load), "ratio"),
                      detail::atLeast("short work served with long jobs", 0.999,
                                      minimumServedShare(during, load), "share"),
                      detail::atLeast("slot share of long jobs", planShare(load),
                                      during.find(longName)->slotShare, "share of slot capacity")};
    report.maximumConnections = simulation.maximumConnections();
    return report;
}

} // namespace fescuespring
