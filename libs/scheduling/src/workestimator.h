#pragma once

#include "messages/request.h"
#include "scheduling/scheduler.h"
#include "scheduling/servicetimes.h"

#include <cstdint>

namespace fescuespring::detail {

// Estimate for work before it runs.
struct Expectation
{
    Duration cost{0};
    bool isLong = false;
};

// Running mean with a limited influence of outliers: each sample counts as at most four times the
// mean.
class ClippedMean
{
public:
    explicit ClippedMean(Duration initial)
        : m_mean(static_cast<double>(initial.count()))
    {}

    void add(Duration sample);

    Duration value() const
    {
        return Duration(static_cast<Duration::rep>(m_mean));
    }

private:
    double m_mean;
    std::uint32_t m_samples = 0;
};

// Expected service times, by statement and overall, and the threshold between short and long work.
// The threshold rises with the mean of short work, so that a general slowdown of the database does
// not turn all its work into long work.
class WorkEstimator
{
public:
    explicit WorkEstimator(const SchedulerOptions &options);

    Expectation expect(WorkLength declared, std::uint64_t fingerprint) const;

    void finished(std::uint64_t fingerprint, Duration service, bool isLong);

    // To be called for work that is still running while other short work has started and finished.
    void recordElapsed(std::uint64_t fingerprint, Duration elapsed);

    // To be called for work that was refused only because of its expected cost.
    void lowerEstimate(std::uint64_t fingerprint);

    // Work with at least this cost is long.
    Duration longThreshold() const
    {
        return m_longThreshold;
    }

private:
    void updateThreshold();

    SchedulerOptions m_options;
    ServiceTimes m_times;
    ClippedMean m_shortMean;
    ClippedMean m_longMean;
    Duration m_longThreshold{0};
};

} // namespace fescuespring::detail
