#pragma once

#include "messages/request.h"
#include "scheduling/scheduler.h"
#include "scheduling/servicetimes.h"

#include <cstdint>

namespace fescuespring::detail {

// What work is expected to need, before it runs.
struct Expectation
{
    Duration cost{0};
    bool isLong = false;
};

// Mean of a stream of times that one outlier moves only a little: each sample counts for at most
// four times the mean.
class ClippedMean
{
public:
    explicit ClippedMean(Duration first)
        : m_mean(static_cast<double>(first.count()))
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

// Expected service times, by statement and over all, and the line between short and long work. The
// line rises with the mean of short work, so that a database that slows down as a whole does not
// turn all its work into long work.
class WorkEstimator
{
public:
    explicit WorkEstimator(const SchedulerOptions &options);

    Expectation expect(WorkLength declared, std::uint64_t fingerprint) const;

    void finished(std::uint64_t fingerprint, Duration service, bool isLong);

    // For work that is still running while other short work came and went.
    void runsAtLeast(std::uint64_t fingerprint, Duration elapsed);

    // For work that was refused for its expected cost alone.
    void relax(std::uint64_t fingerprint);

    // Work of at least this cost is long.
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
