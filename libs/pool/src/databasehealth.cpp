#include "pool/databasehealth.h"

#include <algorithm>

namespace fescuespring {
namespace {

constexpr double recentSmoothing = 1.0 / 8.0;
constexpr double usualSmoothing = 1.0 / 256.0;

// Samples are clipped to this multiple of the usual latency when they update it.
constexpr double usualClip = 4.0;

// Number of slots from which a returning database counts as in full use.
constexpr std::uint32_t fullUseSlots = 16;

} // namespace

const char *toString(HealthState state)
{
    switch (state) {
    case HealthState::InUse:
        return "in-use";
    case HealthState::Out:
        return "out";
    case HealthState::Returning:
        return "returning";
    }
    return "";
}

DatabaseHealth::DatabaseHealth(const HealthOptions &options)
    : m_options(options)
{}

void DatabaseHealth::answered(Duration latency, Instant now)
{
    if (state(now) == HealthState::Out)
        return;
    const double sample = std::max(static_cast<double>(latency.count()), 1.0);
    if (m_usual == 0.0)
        m_usual = m_recent = sample;
    m_recent += (sample - m_recent) * recentSmoothing;
    m_usual += (std::min(sample, usualClip * m_usual) - m_usual) * usualSmoothing;

    m_failures = 0;
    m_slowReplies = isSlow() ? m_slowReplies + 1 : 0;
    if (m_slowReplies >= m_options.slowSamples) {
        takeOut(now);
        return;
    }
    if (!m_returning || ++m_successes < m_options.successesToDouble)
        return;
    m_successes = 0;
    m_allowed *= 2;
    if (m_allowed < fullUseSlots)
        return;
    m_returning = false;
    m_pause = Duration(0);
}

void DatabaseHealth::failed(Instant now)
{
    if (state(now) == HealthState::Out)
        return;
    ++m_failures;
    if (m_returning || m_failures >= m_options.failuresToTakeOut)
        takeOut(now);
}

std::uint32_t DatabaseHealth::slots(std::uint32_t all, Instant now) const
{
    switch (state(now)) {
    case HealthState::InUse:
        return all;
    case HealthState::Out:
        return 0;
    case HealthState::Returning:
        return std::min(all, m_allowed);
    }
    return all;
}

HealthState DatabaseHealth::state(Instant now) const
{
    if (!m_returning)
        return HealthState::InUse;
    return now < m_outUntil ? HealthState::Out : HealthState::Returning;
}

Duration DatabaseHealth::latency() const
{
    return Duration(static_cast<Duration::rep>(m_recent));
}

void DatabaseHealth::takeOut(Instant now)
{
    m_pause = std::clamp(2 * m_pause, m_options.firstPause, m_options.maximumPause);
    m_outUntil = now + m_pause;
    m_returning = true;
    m_allowed = 1;
    m_failures = 0;
    m_slowReplies = 0;
    m_successes = 0;
    m_recent = m_usual;
}

bool DatabaseHealth::isSlow() const
{
    const double floor = static_cast<double>(m_options.slowMinimum.count());
    return m_recent >= std::max(floor, m_options.slowFactor * m_usual);
}

} // namespace fescuespring
