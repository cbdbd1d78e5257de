#pragma once

#include "statements/statement.h"

namespace fescuespring {

// How long the steps of a promotion take at most. From them follows how long a database must have
// run for its status to rule out that a promotion is about to take effect: a database that was
// paused for one reports that until then, unless it restarts: a restart ends the pause.
//
//     if (wouldReportPause(status, commit.sentAt))
//         ++votes;

// From the first pause of a round to the promotion request that rests on it.
inline constexpr Duration pauseRoundTime = std::chrono::milliseconds(1000);

// Time after which a promotion request is no longer in flight.
inline constexpr Duration promotionCallTime = std::chrono::milliseconds(1100);

// Time within which an accepted promotion request takes effect, with a margin.
inline constexpr Duration promotionTime = std::chrono::milliseconds(1500);

// From the first pause of a round to the effect of the promotion that rests on it.
inline constexpr Duration pauseToEffectTime = pauseRoundTime + promotionCallTime + promotionTime;

// Whether a database that reports no pause was not paused at that time either, for a promotion that
// has yet to take effect. Not so if it may have restarted since, nor if that is unknown.
inline bool wouldReportPause(const UpstreamStatus &status, Instant at)
{
    return status.runningSince && *status.runningSince + pauseToEffectTime <= at;
}

} // namespace fescuespring
