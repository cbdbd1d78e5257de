#pragma once

#include "base/counters.h"
#include "base/types.h"
#include "messages/request.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>

namespace fescuespring {

// A deadline as it crosses hops. A request carries the time left, not a moment, since clocks of two
// VMs have nothing in common; each hop turns it into a moment of its own clock on receipt.
//
//     const Deadline deadline = Deadline::received(request.deadline, now);
//     request.deadline = deadline.forNextHop(now);      // when forwarding
class Deadline
{
public:
    static Deadline received(std::chrono::milliseconds left, Instant now);

    Instant at() const
    {
        return m_at;
    }
    bool hasPassed(Instant now) const
    {
        return now >= m_at;
    }

    // Time left, never below zero.
    Duration left(Instant now) const;

    // What to send along: the time left, less what the way there and back takes; rounded down.
    std::chrono::milliseconds forNextHop(Instant now, Duration roundTrip = Duration(0)) const;

private:
    explicit Deadline(Instant at)
        : m_at(at)
    {}

    Instant m_at;
};

struct RetryOptions
{
    // Retries allowed per success; the rest of the budget is what was saved up.
    double share = 0.1;
    double savedAtMost = 10.0;

    // Tries of one request, the first included.
    std::uint32_t attempts = 3;

    // The wait before try n is random between 0 and firstBackoff times 2^(n-2), at most
    // maximumBackoff.
    Duration firstBackoff = std::chrono::milliseconds(20);
    Duration maximumBackoff = std::chrono::milliseconds(500);
};

// One failed try of a request.
struct FailedTry
{
    // Why it failed; counted.
    Reason reason = Reason::None;

    // Forwarding hops behind the request; 0 at the VM that the caller speaks to.
    std::uint32_t hop = 0;

    // Tries so far, this one included.
    std::uint32_t attempt = 1;

    // Whether a database may have run any part of it, and whether running it twice is harmless.
    bool mayHaveRun = false;
    bool idempotent = false;
};

// Whether to try again. Either wait holds a value or reason says why not.
struct RetryDecision
{
    std::optional<Duration> wait;
    Reason refusal = Reason::None;
};

// Decides whether a request is tried again. Retries never multiply: only the VM that the caller
// speaks to retries, all hops after it answer at once; the retries of a VM are a share of its
// successes (token bucket); none is begun that the deadline leaves no time for; and work that may
// have run is tried again only if it is idempotent.
//
//     RetryBudget budget(options, random, counters);
//     budget.succeeded();
//     const RetryDecision decision = budget.decide(failedTry, deadline, now);
//
// random gives numbers from 0 up to but without 1. Counters: fescuespring_retries_total and
// fescuespring_retries_refused_total by reason. One thread only.
class RetryBudget
{
public:
    RetryBudget(const RetryOptions &options, std::function<double()> random, Counters &counters);

    void succeeded();
    RetryDecision decide(const FailedTry &failed, const Deadline &deadline, Instant now);

private:
    std::optional<Reason> objection(const FailedTry &failed, const Deadline &deadline,
                                    Instant now) const;
    Duration backoff(std::uint32_t attempt);

    RetryOptions m_options;
    std::function<double()> m_random;
    std::array<Counter *, reasonCount> m_retries{};
    std::array<Counter *, reasonCount> m_refused{};
    double m_tokens;
};

} // namespace fescuespring
