#include "admission/pausedetector.h"

#include <algorithm>

namespace fescuespring {

namespace {

// Pauses are kept for longer than any statement runs.
constexpr Duration kept = std::chrono::seconds(10);

} // namespace

void PauseDetector::tick(Instant now)
{
    if (m_isStarted && now - m_lastTick > period + tolerance)
        m_pauses.push_back({m_lastTick, now});
    m_isStarted = true;
    m_lastTick = now;
    while (!m_pauses.empty() && now - m_pauses.front().to > kept)
        m_pauses.pop_front();
}

bool PauseDetector::wasPaused(Instant from, Instant to) const
{
    if (m_isStarted && to - m_lastTick > period + tolerance)
        return true;
    return std::any_of(m_pauses.begin(), m_pauses.end(), [from, to](const Pause &pause) {
        return pause.from < to && from < pause.to;
    });
}

} // namespace fescuespring
