#include "workestimator.h"

#include <algorithm>

namespace fescuespring::detail {
namespace {

// Samples are clipped to this multiple of the mean.
constexpr double clipFactor = 4.0;
// Number of samples after which a new one has a constant weight of 1 / meanWindow.
constexpr std::uint32_t meanWindow = 32;

Duration scaled(Duration time, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(time.count()) * factor));
}

} // namespace

void ClippedMean::add(Duration sample)
{
    m_samples = std::min(m_samples + 1, meanWindow);
    const double clipped = std::min(static_cast<double>(sample.count()), clipFactor * m_mean);
    m_mean = std::max(m_mean + (clipped - m_mean) / m_samples, 1.0);
}

WorkEstimator::WorkEstimator(const SchedulerOptions &options)
    : m_options(options)
    , m_times(options.maximumFingerprints)
    , m_shortMean(options.initialEstimate)
    , m_longMean(std::max(options.minimumLongEstimate,
                          scaled(options.initialEstimate, options.longFactor)))
{
    updateThreshold();
}

Expectation WorkEstimator::expect(WorkLength declared, std::uint64_t fingerprint) const
{
    const std::optional<Duration> estimate = m_times.estimate(fingerprint);
    const bool isLong = declared == WorkLength::Long || (estimate && *estimate >= m_longThreshold);
    if (estimate)
        return {*estimate, isLong};
    return {isLong ? m_longMean.value() : m_shortMean.value(), isLong};
}

void WorkEstimator::finished(std::uint64_t fingerprint, Duration service, bool isLong)
{
    m_times.record(fingerprint, service);
    if (isLong) {
        m_longMean.add(service);
        return;
    }
    m_shortMean.add(service);
    updateThreshold();
}

void WorkEstimator::recordElapsed(std::uint64_t fingerprint, Duration elapsed)
{
    // A known statement may just have one slow run, whose service time is recorded when it ends.
    if (!m_times.estimate(fingerprint))
        m_times.record(fingerprint, elapsed);
}

void WorkEstimator::lowerEstimate(std::uint64_t fingerprint)
{
    m_times.lowerEstimate(fingerprint);
}

void WorkEstimator::updateThreshold()
{
    m_longThreshold = std::max(m_options.minimumLongEstimate,
                               scaled(m_shortMean.value(), m_options.longFactor));
}

} // namespace fescuespring::detail
