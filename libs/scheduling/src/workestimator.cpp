#include "workestimator.h"

#include <algorithm>

namespace fescuespring::detail {
namespace {

constexpr double clipFactor = 4.0;
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
    , m_times(options.fingerprints)
    , m_shortMean(options.firstEstimate)
    , m_longMean(std::max(options.longAtLeast, scaled(options.firstEstimate, options.longFactor)))
{
    updateThreshold();
}

Expectation WorkEstimator::expect(WorkLength declared, std::uint64_t fingerprint) const
{
    const std::optional<Duration> known = m_times.estimate(fingerprint);
    const bool isLong = declared == WorkLength::Long || (known && *known >= m_longThreshold);
    if (known)
        return {*known, isLong};
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

void WorkEstimator::runsAtLeast(std::uint64_t fingerprint, Duration elapsed)
{
    // One slow run of a statement that is known says little; it is learnt from when it ends.
    if (!m_times.estimate(fingerprint))
        m_times.record(fingerprint, elapsed);
}

void WorkEstimator::relax(std::uint64_t fingerprint)
{
    m_times.relax(fingerprint);
}

void WorkEstimator::updateThreshold()
{
    m_longThreshold =
            std::max(m_options.longAtLeast, scaled(m_shortMean.value(), m_options.longFactor));
}

} // namespace fescuespring::detail
