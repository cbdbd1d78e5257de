#pragma once

#include "base/types.h"

namespace fescuespring {

struct ConcurrencyLimitOptions
{
    // Bounds of the limit. At minimum the server still has enough to do.
    double minimum = 1;
    double maximum = 8;

    // Response time that is aimed at: what exceeds it is time spent in the server's queue.
    Duration target = std::chrono::milliseconds(45);

    // How long a change of the limit takes to show; it is not changed again before.
    Duration settling = std::chrono::milliseconds(60);
};

// How many statements may be at a server at once so that they wait here, where they are put in
// order, and not in the server's queue, where they are not. Additive increase while answers are
// quick and the limit binds, multiplicative decrease while they are slow (AIMD).
//
//     ConcurrencyLimit limit(options);
//     if (limit.hasRoom())
//         limit.begin(), send();
//     limit.end(responseTime, now);
//
// One thread only, no clock.
class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(ConcurrencyLimitOptions options = {});

    void setBounds(double minimum, double maximum);

    bool hasRoom() const
    {
        return m_active < m_limit;
    }

    // A statement goes out; allowed without room, for work that must not wait.
    void begin();

    // It was answered after time; zero where that says nothing of the server.
    void end(Duration time, Instant now);

    double limit() const
    {
        return m_limit;
    }
    unsigned active() const
    {
        return m_active;
    }

private:
    ConcurrencyLimitOptions m_options;
    double m_limit;
    unsigned m_active = 0;
    double m_smoothed = 0;
    bool m_wasFull = false;
    Instant m_changeFrom;
};

} // namespace fescuespring
