#include "experiment/experiment.h"
#include "simulation.h"
#include "targets.h"

#include <algorithm>

namespace fescuespring {
namespace {

constexpr Duration quietTime = std::chrono::seconds(10);
constexpr Duration pauseTime = std::chrono::seconds(5);
constexpr Duration crestTime = std::chrono::seconds(10);
constexpr Duration drainTime = std::chrono::seconds(30);

constexpr double goodputBound = 0.95;
constexpr double refusalBoundMs = 100.0;
constexpr double normalBoundMs = 1000.0;
constexpr double addedLatencyBoundMs = 50.0;

// Streams that are to be served throughout the crest, with the share.
struct MustServe
{
    const char *stream;
    double share;
    bool boundsLatency;
};
constexpr MustServe mustServe[] = {{"head-office", 0.999, true}, {"scanners", 0.99, false}};

Duration longestRefusal(const PhaseFigures &phase)
{
    Duration longest{0};
    for (const StreamFigures &stream : phase.streams)
        longest = std::max(longest, stream.refusalLongest);
    return longest;
}

std::vector<QueueTarget> targets(const PhaseFigures &quiet, const PhaseFigures &crest,
                                 Duration timeToNormal)
{
    std::vector<QueueTarget> targets;
    targets.push_back(detail::atLeast("goodput in the worst second of the crest", goodputBound,
                                      crest.worstSecond, "share of slot capacity"));
    for (const MustServe &must : mustServe) {
        const StreamFigures *stream = crest.find(must.stream);
        if (!stream)
            continue;
        const std::string name = must.stream;
        targets.push_back(detail::atLeast(name + " served at the crest", must.share,
                                          stream->servedShare(), "share"));
        if (!must.boundsLatency)
            continue;
        const Duration added = stream->p99 - quiet.find(must.stream)->p99;
        targets.push_back(detail::atMost(name + " p99 above unloaded", addedLatencyBoundMs,
                                         detail::milliseconds(added), "ms"));
    }
    targets.push_back(detail::atMost("longest time until a refusal is told", refusalBoundMs,
                                     detail::milliseconds(longestRefusal(crest)), "ms"));
    targets.push_back(detail::atMost("time to normal latency after the crest", normalBoundMs,
                                     detail::milliseconds(timeToNormal), "ms"));
    return targets;
}

} // namespace

QueueReport runCrest(const QueueExperimentOptions &options)
{
    const auto quietLoad = [](const CallerStream &stream) {
        return stream.quietLoad;
    };
    const auto crestLoad = [](const CallerStream &stream) {
        return stream.crestLoad;
    };
    detail::Simulation simulation(options);
    const detail::Span quiet = simulation.run(quietTime, quietLoad);
    simulation.drain(pauseTime);
    const detail::Span crest = simulation.run(crestTime, crestLoad);
    const detail::Span after = simulation.run(quietTime, quietLoad);
    simulation.drain(drainTime);

    const detail::Recorder &recorder = simulation.recorder();
    QueueReport report = detail::emptyReport("crest", options);
    report.phases = {recorder.figures("quiet", quiet), recorder.figures("crest", crest),
                     recorder.figures("after", after)};
    const Duration toNormal = recorder.timeToNormal(after.begin, after.end, quiet);
    report.targets = targets(report.phases[0], report.phases[1], toNormal);
    report.mostConnections = simulation.mostConnections();
    return report;
}

} // namespace fescuespring
