#pragma once

#include "base/types.h"

#include <deque>

namespace fescuespring {

// Finds the intervals in which this process did not run, from a periodic call that came late. Times
// measured across such an interval include it and say nothing about a server.
//
//     PauseDetector pauses;
//     pauses.tick(now);                        // every PauseDetector::period
//     if (!pauses.wasPaused(sentAt, now))
//         learn(now - sentAt);
//
// Not thread-safe. Time is passed in by the caller.
class PauseDetector
{
public:
    static constexpr Duration period = std::chrono::milliseconds(20);

    // Lateness below this is normal for an event loop under load.
    static constexpr Duration tolerance = std::chrono::milliseconds(15);

    void tick(Instant now);

    // Whether a pause overlaps the interval. A reply handled after a pause may come before the tick
    // that records it, so a tick that is overdue at `to` counts as a pause.
    bool wasPaused(Instant from, Instant to) const;

private:
    struct Pause
    {
        Instant from;
        Instant to;
    };

    Instant m_lastTick;
    bool m_isStarted = false;
    std::deque<Pause> m_pauses;
};

} // namespace fescuespring
