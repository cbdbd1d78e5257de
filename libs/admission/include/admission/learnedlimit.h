#pragma once

#include "base/types.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>

namespace fescuespring {

// A kind of work whose statements take about the same time, for example one prepared statement or
// the statements of one route. Empty if unknown, which is a kind of its own.
using WorkKind = Name<struct WorkKindTag>;

// Why a learned limit was last changed.
enum class LimitChange {
    None,

    // The limit was reached while times were near the base time.
    Raised,

    // Times rise with the number of statements in flight.
    Queueing,

    // Times are long at low concurrency too: the server is slow, or others load it.
    Slow,
};

const char *toString(LimitChange change);

struct LearnedLimitOptions
{
    // Bounds of the limit. The minimum must be high enough to keep the server busy.
    double minimum = 1;
    double maximum = 8;

    // Minimum time between two changes.
    Duration settling = std::chrono::milliseconds(60);

    // Time constant with which a base time follows much longer times at low concurrency.
    Duration forgetting = std::chrono::seconds(300);

    // Whether this process did not run for some time in an interval, so that times measured across
    // it say nothing about the server. May be empty.
    std::function<bool(Instant from, Instant to)> wasPaused = {};
};

// Learns how many statements a server handles well at once. The base time of each kind of work is
// learned while few statements are in flight; the slowdown is the smoothed ratio of measured times
// to base times. The limit falls in proportion while the slowdown is above its target, and rises
// while it is reached and the slowdown is below. Long statements are no slowdown, because each kind
// is compared with its own base time.
//
//     LearnedLimit limit(options);
//     if (limit.hasRoom())
//         limit.begin(now), send();
//     limit.end(kind, responseTime, now);
//     const Duration wait = limit.expectedWait(queue.size(), now);
//
// Starts at the minimum, so that the first base times contain no queueing. Not thread-safe. Time is
// passed in by the caller.
class LearnedLimit
{
public:
    explicit LearnedLimit(LearnedLimitOptions options = {});

    void setBounds(double minimum, double maximum);

    bool hasRoom() const
    {
        return static_cast<double>(m_active) < m_limit;
    }

    void begin(Instant now);

    // A statement was answered after time. Pass zero if the time is not that of the server.
    void end(const WorkKind &kind, Duration time, Instant now);

    double limit() const
    {
        return m_limit;
    }
    unsigned active() const
    {
        return m_active;
    }

    // Smoothed ratio of measured times to base times; 1 for a server as fast as ever.
    double slowdown() const
    {
        return m_slowdown;
    }

    // Expected time of a statement of this kind at the server; the mean of all kinds for an unknown
    // one, zero if nothing was measured.
    Duration serviceTime(const WorkKind &kind) const;

    // Expected time until a statement that is queued now behind `queued` others is sent. If no
    // statement in flight has ended for long, as much time again is expected to pass.
    Duration expectedWait(std::size_t queued, Instant now) const;

    LimitChange lastChange() const
    {
        return m_lastChange;
    }

private:
    // Times of one kind at low concurrency, in microseconds.
    struct Base
    {
        double time = 0;
        double recent = 0;
        unsigned samples = 0;
        Instant updatedAt;
    };

    struct ActiveSince
    {
        Instant since;
        unsigned count = 0;
    };

    void recordActive(Instant now);
    unsigned activeAt(Instant at) const;
    double nextWeight(Instant now);
    Base &baseOf(const WorkKind &kind);
    void learnFirst(Base &base, double measured, Instant now) const;
    void learnBase(Base &base, double measured, Instant now) const;
    void adjust(Instant now);

    LearnedLimitOptions m_options;
    double m_limit;
    unsigned m_active = 0;
    double m_slowdown = 1;
    double m_lowSlowdown = 1;
    double m_meanTime = 0;
    unsigned m_samplesSinceDecrease = 0;
    Instant m_lastSampleAt;

    // Mean time between samples, in seconds.
    double m_meanInterval = 0;
    bool m_wasFull = false;
    Instant m_nextChangeAt;

    std::map<WorkKind, Base> m_bases;
    std::deque<ActiveSince> m_history;

    // Since when no statement has ended while some are in flight.
    Instant m_noEndSince;
    LimitChange m_lastChange = LimitChange::None;
};

} // namespace fescuespring
