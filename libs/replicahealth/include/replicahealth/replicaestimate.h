#pragma once

#include "base/types.h"
#include "messages/upstream.h"

#include <optional>

namespace fescuespring {

struct ReplicaEstimateOptions
{
    // Times between probes: while traffic tells the position, and while nothing does.
    Duration probeWithTraffic = std::chrono::seconds(1);
    Duration probeWhenIdle = std::chrono::milliseconds(200);

    // A position that was heard of longer ago than this says nothing any more.
    Duration trustedFor = std::chrono::seconds(3);
};

// What is known of one database for routing, in plain numbers.
struct ReplicaFigures
{
    LogPoint applied;

    // Greatest age that reads at it can have now: the age it told, and the time since.
    Duration age{0};

    // Entries a second that it has applied lately.
    double entriesPerSecond = 0.0;

    // Mean round trip of a short call, without waiting at the scheduler.
    Duration latency{0};
};

// Position, age, speed and latency of one database, from few probes and from the answers that pass
// by anyway: an answer tells the position, only a probe tells the age.
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

    // Nothing while nothing fresh is known.
    std::optional<ReplicaFigures> figures(Instant now) const;

    // Expected time until its reads see a point that the primary's log holds by now; zero only if
    // they do for certain, nothing where no fresh position is known or it is at another term.
    std::optional<Duration> timeToReach(const LogPoint &point, Instant now) const;

private:
    void advanceTo(const LogPoint &point, Instant now);

    ReplicaEstimateOptions m_options;
    bool m_known = false;
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
