#include "replicahealth/replicaestimate.h"

#include <algorithm>
#include <chrono>

namespace fescuespring {
namespace {

constexpr std::int64_t latencySmoothing = 8;
constexpr double rateSmoothing = 0.3;

// Shortest time over which a rate of entries is measured.
constexpr Duration rateInterval = std::chrono::milliseconds(100);

// Minimum estimate for a point that is not known to be applied.
constexpr Duration shortestWait = std::chrono::milliseconds(1);

} // namespace

ReplicaEstimate::ReplicaEstimate(const ReplicaEstimateOptions &options)
    : m_options(options)
{}

void ReplicaEstimate::probeSent(Instant now)
{
    m_lastProbe = now;
}

void ReplicaEstimate::probed(const DatabaseStatus &status, Duration roundTrip, Instant now)
{
    // The reported age was valid when the database replied, at the earliest one round trip ago.
    m_age = std::chrono::duration_cast<Duration>(status.age);
    m_ageAt = now - roundTrip;
    // A probe is authoritative for the term; a reply to traffic may arrive out of order.
    if (status.applied.term != m_applied.term) {
        m_hasPosition = false;
        m_applied = {};
    }
    advanceTo(status.applied, now);
    if (m_latency == Duration(0))
        m_latency = roundTrip;
}

void ReplicaEstimate::answered(const LogPoint &visible, Duration latency, Instant now)
{
    m_lastAnswer = now;
    advanceTo(visible, now);
    if (m_latency == Duration(0))
        m_latency = latency;
    m_latency += (latency - m_latency) / latencySmoothing;
}

bool ReplicaEstimate::isProbeDue(Instant now) const
{
    if (!m_lastProbe)
        return true;
    const bool hasTraffic = m_lastAnswer && now - *m_lastAnswer < m_options.probeWhenIdle;
    const Duration interval = hasTraffic ? m_options.probeWithTraffic : m_options.probeWhenIdle;
    return now - *m_lastProbe >= interval;
}

std::optional<ReplicaFigures> ReplicaEstimate::figures(Instant now) const
{
    if (!m_hasPosition || now - m_ageAt > m_options.maximumSampleAge)
        return std::nullopt;
    return ReplicaFigures{m_applied, m_age + (now - m_ageAt), m_rate, m_latency};
}

std::optional<Duration> ReplicaEstimate::timeToReach(const LogPoint &point, Instant now) const
{
    if (!m_hasPosition || now - m_positionAt > m_options.maximumSampleAge)
        return std::nullopt;
    if (m_applied.term != point.term)
        return std::nullopt;
    if (m_applied.position >= point.position)
        return Duration(0);
    // The point is already in the primary's log, so it is applied here after the current lag.
    const Duration byLag = std::max(m_age, shortestWait);
    if (m_rate <= 0.0)
        return byLag;
    const auto missing = static_cast<double>(point.position.value() - m_applied.position.value());
    constexpr double microsecondsPerSecond = 1e6;
    const Duration needed(static_cast<Duration::rep>(missing / m_rate * microsecondsPerSecond));
    return std::clamp(needed - (now - m_positionAt), shortestWait, byLag);
}

// Advances the position and updates the rate.
void ReplicaEstimate::advanceTo(const LogPoint &point, Instant now)
{
    if (!m_hasPosition || point.term != m_applied.term) {
        if (m_hasPosition && point.term < m_applied.term)
            return;
        m_hasPosition = true;
        m_applied = point;
        m_positionAt = now;
        m_rateFrom = now;
        m_ratePosition = point.position;
        m_rate = 0.0;
        return;
    }
    m_applied.position = std::max(m_applied.position, point.position);
    m_positionAt = now;
    const Duration elapsed = now - m_rateFrom;
    if (elapsed < rateInterval)
        return;
    const auto entries = static_cast<double>(m_applied.position.value() - m_ratePosition.value());
    const double rate = entries / std::chrono::duration<double>(elapsed).count();
    m_rate = m_rate == 0.0 ? rate : m_rate + (rate - m_rate) * rateSmoothing;
    m_rateFrom = now;
    m_ratePosition = m_applied.position;
}

} // namespace fescuespring
