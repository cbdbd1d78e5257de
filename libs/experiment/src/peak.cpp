#include "experiment/experiment.h"
#include "simulation.h"
#include "targets.h"

#include <algorithm>

namespace fescuespring {
namespace {

constexpr Duration quietTime = std::chrono::seconds(10);
constexpr Duration pauseTime = std::chrono::seconds(5);
constexpr Duration peakTime = std::chrono::seconds(10);
constexpr Duration drainTime = std::chrono::seconds(30);

constexpr double goodputBound = 0.95;
constexpr double refusalBoundMs = 100.0;
constexpr double normalBoundMs = 1000.0;
constexpr double addedLatencyBoundMs = 50.0;

// Minimum share of the requests of a stream that must be served during the peak.
struct ServiceTarget
{
    const char *stream;
    double share;
    bool boundsLatency;
};
constexpr ServiceTarget serviceTargets[] = {{"head-office", 0.999, true},
                                            {"scanners", 0.99, false}};

Duration longestRefusal(const PhaseFigures &phase)
{
    Duration longest{0};
    for (const StreamFigures &stream : phase.streams)
        longest = std::max(longest, stream.refusalLongest);
    return longest;
}

std::vector<QueueTarget> targets(const PhaseFigures &quiet, const PhaseFigures &peak,
                                 Duration timeToNormal)
{
    std::vector<QueueTarget> targets;
    targets.push_back(detail::atLeast("goodput in the worst second of the crest", goodputBound,
                                      peak.worstSecond, "share of slot capacity"));
    for (const ServiceTarget &target : serviceTargets) {
        const StreamFigures *stream = peak.find(target.stream);
        if (!stream)
            continue;
        const std::string name = target.stream;
        targets.push_back(detail::atLeast(name + " served at the crest", target.share,
                                          stream->servedShare(), "share"));
        if (!target.boundsLatency)
            continue;
        const Duration added = stream->p99 - quiet.find(target.stream)->p99;
        targets.push_back(detail::atMost(name + " p99 above unloaded", addedLatencyBoundMs,
                                         detail::milliseconds(added), "ms"));
    }
    targets.push_back(detail::atMost("longest time until a refusal is told", refusalBoundMs,
                                     detail::milliseconds(longestRefusal(peak)), "ms"));
    targets.push_back(detail::atMost("time to normal latency after the crest", normalBoundMs,
                                     detail::milliseconds(timeToNormal), "ms"));
    return targets;
}

} // namespace

QueueReport runPeak(const QueueExperimentOptions &options)
{
    const auto quietLoad = [](const CallerStream &stream) {
        return stream.quietLoad;
    };
    const auto peakLoad = [](const CallerStream &stream) {
        return stream.peakLoad;
    };
    detail::Simulation simulation(options);
    const detail::Span quiet = simulation.run(quietTime, quietLoad);
    simulation.drain(pauseTime);
    const detail::Span peak = simulation.run(peakTime, peakLoad);
    const detail::Span after = simulation.run(quietTime, quietLoad);
    simulation.drain(drainTime);

    const detail::Recorder &recorder = simulation.recorder();
    QueueReport report = detail::emptyReport("crest", options);
    report.phases = {recorder.figures("quiet", quiet), recorder.figures("crest", peak),
                     recorder.figures("after", after)};
    const Duration toNormal = recorder.timeToNormal(after.begin, after.end, quiet);
    report.targets = targets(report.phases[0], report.phases[1], toNormal);
    report.maximumConnections = simulation.maximumConnections();
    return report;
}

} // namespace fescuespring
