#pragma once

#include "base/types.h"

#include <chrono>
#include <cstdint>

namespace fescuespring {

struct HealthOptions
{
    // Consecutive failures after which a database is taken out of use.
    std::uint32_t failuresToTakeOut = 3;

    // A database is taken out of use if its recent latency is at least slowFactor times its usual
    // latency and at least slowMinimum, for slowSamples consecutive replies.
    double slowFactor = 10.0;
    Duration slowMinimum = std::chrono::milliseconds(200);
    std::uint32_t slowSamples = 20;

    // Time out of use before the next trial, doubled with each failed trial.
    Duration firstPause = std::chrono::milliseconds(500);
    Duration maximumPause = std::chrono::seconds(15);

    // Consecutive replies after which the slots of a returning database are doubled.
    std::uint32_t successesToDouble = 5;
};

enum class HealthState {
    InUse,
    // Out of use until the pause is over.
    Out,
    // Back in use with a reduced number of slots.
    Returning,
};

const char *toString(HealthState state);

// Takes a slow or failed database out of use, based on the outcomes of calls, and returns it to use
// gradually: with one slot first, then twice as many after each series of successful replies.
//
//     health.answered(latency, now);  health.failed(now);
//     scheduler.setSlots(health.slots(3, now));
//
// Report the latency of short work only: that of long work does not reflect the state of the
// database. For a primary the caller decides whether to apply the result, because no other database
// can serve its writes.
class DatabaseHealth
{
public:
    explicit DatabaseHealth(const HealthOptions &options = {});

    void answered(Duration latency, Instant now);
    void failed(Instant now);

    // Number of slots that may be used now; at least 1 unless the state is Out.
    std::uint32_t slots(std::uint32_t all, Instant now) const;

    HealthState state(Instant now) const;

    // Recent mean latency, for routing; zero before the first answer.
    Duration latency() const;

private:
    void takeOut(Instant now);
    bool isSlow() const;

    HealthOptions m_options;
    bool m_returning = false;
    std::uint32_t m_failures = 0;
    std::uint32_t m_slowReplies = 0;
    std::uint32_t m_successes = 0;
    std::uint32_t m_allowed = 0;
    double m_recent = 0.0;
    double m_usual = 0.0;
    Duration m_pause{0};
    Instant m_outUntil;
};

} // namespace fescuespring
