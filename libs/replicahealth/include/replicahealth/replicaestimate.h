#pragma once

#include "base/types.h"
#include "messages/upstream.h"

#include <optional>

namespace fescuespring {

struct ReplicaEstimateOptions
{
    // Probe intervals: while replies to traffic contain the position, and without traffic.
    Duration probeWithTraffic = std::chrono::seconds(1);
    Duration probeWhenIdle = std::chrono::milliseconds(200);

    // Positions and ages older than this are not used.
    Duration maximumSampleAge = std::chrono::seconds(3);
};

// The current estimates for one database, for routing.
struct ReplicaFigures
{
    LogPoint applied;

    // Upper bound of the current age of its reads: the age it reported plus the time since.
    Duration age{0};

    // Recent rate of applied entries.
    double entriesPerSecond = 0.0;

    // Mean round-trip time of a short call, without time in the scheduler's queue.
    Duration latency{0};
};

// Estimates position, age, apply rate and latency of one database from a few probes and from the
// replies to traffic. A reply contains the position; only a probe contains the age.
//
//     estimate.probed(status, roundTrip, now);
//     estimate.answered(answer.point, latency, now);
//     if (const auto wait = estimate.timeToReach(token.point, now))
//         ...
//     if (estimate.isProbeDue(now))
//         probe();
class ReplicaEstimate
{
public:
    explicit ReplicaEstimate(const ReplicaEstimateOptions &options = {});

    void probeSent(Instant now);
    void probed(const DatabaseStatus &status, Duration roundTrip, Instant now);
    void answered(const LogPoint &visible, Duration latency, Instant now);

    bool isProbeDue(Instant now) const;

    // Nothing without a recent probe.
    std::optional<ReplicaFigures> figures(Instant now) const;

    // Expected time until its reads include a point that is already in the primary's log. Zero only
    // if they are certain to include it; nothing without a recent position or if that is of another
    // term.
    std::optional<Duration> timeToReach(const LogPoint &point, Instant now) const;

private:
    void advanceTo(const LogPoint &point, Instant now);

    ReplicaEstimateOptions m_options;
    bool m_hasPosition = false;
    LogPoint m_applied;
    Instant m_positionAt;
    Instant m_rateFrom;
    LogPosition m_ratePosition;
    double m_rate = 0.0;
    Duration m_age{0};
    Instant m_ageAt;
    Duration m_latency{0};
    std::optional<Instant> m_lastProbe;
    std::optional<Instant> m_lastAnswer;
};

} // namespace fescuespring
