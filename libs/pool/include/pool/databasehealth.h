#pragma once

#include "base/types.h"

#include <chrono>
#include <cstdint>

namespace fescuespring {

struct HealthOptions
{
    // Failures in a row that take a database out.
    std::uint32_t failuresToLeave = 3;

    // A database whose recent latency is this many times its usual one, and above slowAtLeast,
    // for slowSamples answers in a row is taken out.
    double slowFactor = 10.0;
    Duration slowAtLeast = std::chrono::milliseconds(200);
    std::uint32_t slowSamples = 20;

    // Time out of use before it is tried again, doubled with each time it fails the try.
    Duration firstPause = std::chrono::milliseconds(500);
    Duration maximumPause = std::chrono::seconds(15);

    // Answers in a row after which a database that is let back may use twice as many slots.
    std::uint32_t successesToDouble = 5;
};

enum class HealthState {
    InUse,
    // Out of use until the pause is over.
    Out,
    // Let back with few slots.
    Returning,
};

const char *toString(HealthState state);

// Takes a slow or dead database out of use on the evidence of calls, and lets it back gradually:
// one slot first, then twice as many after each run of good answers.
//
//     health.answered(latency, now);  health.failed(now);
//     scheduler.setSlots(health.slots(3, now));
//
// Pass the latency of short work only, since long work says nothing of the database. Of a primary
// the caller decides itself whether to heed it: nobody else can take its writes.
class DatabaseHealth
{
public:
    explicit DatabaseHealth(const HealthOptions &options = {});

    void answered(Duration latency, Instant now);
    void failed(Instant now);

    // How many of its slots may be used now; at least 1 unless it is out.
    std::uint32_t slots(std::uint32_t all, Instant now) const;

    HealthState state(Instant now) const;

    // Recent mean latency, for routing; zero before the first answer.
    Duration latency() const;

private:
    void leave(Instant now);
    bool isSlow() const;

    HealthOptions m_options;
    bool m_returning = false;
    std::uint32_t m_failures = 0;
    std::uint32_t m_slow = 0;
    std::uint32_t m_successes = 0;
    std::uint32_t m_allowed = 0;
    double m_recent = 0.0;
    double m_usual = 0.0;
    Duration m_pause{0};
    Instant m_outUntil;
};

} // namespace fescuespring
