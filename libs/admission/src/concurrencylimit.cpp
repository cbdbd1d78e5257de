#include "admission/concurrencylimit.h"

#include <algorithm>
#include <utility>

namespace fescuespring {

namespace {

// Weight of the latest response time in the moving average.
constexpr double smoothingFactor = 0.2;
constexpr double decreaseFactor = 0.8;
constexpr double increaseStep = 1.0;

// Answers faster than this fraction of the target count as fast.
constexpr double fastFraction = 0.75;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyLimitOptions options)
    : m_options(std::move(options))
    , m_limit(m_options.maximum)
{
    if (!m_options.isLearned)
        return;
    m_learned.emplace(LearnedLimitOptions{.minimum = m_options.minimum,
                                          .maximum = m_options.maximum,
                                          .settling = m_options.settling,
                                          .wasPaused = m_options.wasPaused});
}

void ConcurrencyLimit::setBounds(double minimum, double maximum)
{
    m_options.minimum = minimum;
    m_options.maximum = maximum;
    m_limit = std::clamp(m_limit, minimum, maximum);
    if (m_learned)
        m_learned->setBounds(minimum, maximum);
}

void ConcurrencyLimit::begin(Instant now)
{
    if (m_learned) {
        m_learned->begin(now);
        return;
    }
    ++m_active;
    if (!hasRoom())
        m_wasFull = true;
}

void ConcurrencyLimit::end(Duration time, Instant now, const WorkKind &kind)
{
    if (m_learned) {
        m_learned->end(kind, time, now);
        return;
    }
    if (m_active > 0)
        --m_active;
    if (time <= Duration(0))
        return;
    const auto measured = static_cast<double>(time.count());
    m_smoothed += smoothingFactor * (measured - m_smoothed);
    if (now < m_nextChangeAt)
        return;
    const auto target = static_cast<double>(m_options.target.count());
    if (m_smoothed > target)
        m_limit = std::max(m_options.minimum, m_limit * decreaseFactor);
    else if (m_smoothed < fastFraction * target && m_wasFull)
        m_limit = std::min(m_options.maximum, m_limit + increaseStep);
    m_wasFull = false;
    m_nextChangeAt = now + m_options.settling;
}

} // namespace fescuespring
