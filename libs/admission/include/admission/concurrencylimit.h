#pragma once

#include "admission/learnedlimit.h"
#include "base/types.h"

#include <functional>
#include <optional>

namespace fescuespring {

struct ConcurrencyLimitOptions
{
    // Bounds of the limit. The minimum must be high enough to keep the server busy.
    double minimum = 1;
    double maximum = 8;

    // Target response time. Any excess is time spent in the server's queue.
    Duration target = std::chrono::milliseconds(45);

    // Time until a change of the limit takes effect; the limit is not changed again before.
    Duration settling = std::chrono::milliseconds(60);

    // Learns the limit instead of comparing with target; see LearnedLimit.
    bool isLearned = false;

    // For a learned limit: whether this process did not run in an interval. May be empty.
    std::function<bool(Instant from, Instant to)> wasPaused = {};
};

// Limits the number of statements in flight at a server, so that excess statements wait in the
// local queue, which is ordered, and not in the server's queue, which is not. The limit increases
// additively while answers are fast and it is reached, and decreases multiplicatively while answers
// are slow (AIMD).
//
//     ConcurrencyLimit limit(options);
//     if (limit.hasRoom())
//         limit.begin(), send();
//     limit.end(responseTime, now);
//
// Not thread-safe. Time is passed in by the caller.
class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(ConcurrencyLimitOptions options = {});

    void setBounds(double minimum, double maximum);

    bool hasRoom() const
    {
        return m_learned ? m_learned->hasRoom() : m_active < m_limit;
    }

    // A statement is sent. May be called without room, for work that must not wait.
    // Only a learned limit uses the time.
    void begin(Instant now = {});

    // A statement was answered after time. Pass zero if the time is not that of the server. Only a
    // learned limit uses the kind.
    void end(Duration time, Instant now, const WorkKind &kind = {});

    double limit() const
    {
        return m_learned ? m_learned->limit() : m_limit;
    }
    unsigned active() const
    {
        return m_learned ? m_learned->active() : m_active;
    }

    // Null unless the limit is learned.
    const LearnedLimit *learned() const
    {
        return m_learned ? &*m_learned : nullptr;
    }

private:
    ConcurrencyLimitOptions m_options;
    double m_limit;
    unsigned m_active = 0;
    double m_smoothed = 0;
    bool m_wasFull = false;
    Instant m_nextChangeAt;
    std::optional<LearnedLimit> m_learned;
};

} // namespace fescuespring
