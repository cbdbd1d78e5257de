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

// A deadline that is passed across hops. A request carries the remaining time instead of a time
// point, because the clocks of VMs are not synchronized; each hop converts it to a time point of
// its own clock on receipt.
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

    // Remaining time, never negative.
    Duration left(Instant now) const;

    // Remaining time to send to the next hop: less the round trip, rounded down.
    std::chrono::milliseconds forNextHop(Instant now, Duration roundTrip = Duration(0)) const;

private:
    explicit Deadline(Instant at)
        : m_at(at)
    {}

    Instant m_at;
};

struct RetryOptions
{
    // Tokens added per success, and the capacity of the token bucket, which starts full. Each retry
    // takes one token.
    double tokensPerSuccess = 0.1;
    double maximumTokens = 10.0;

    // Maximum attempts per request, including the first.
    std::uint32_t maximumAttempts = 3;

    // The wait before attempt n is random between 0 and firstBackoff * 2^(n-2), at most
    // maximumBackoff.
    Duration firstBackoff = std::chrono::milliseconds(20);
    Duration maximumBackoff = std::chrono::milliseconds(500);
};

// One failed attempt of a request.
struct FailedAttempt
{
    // Cause of the failure, by which retries are counted.
    Reason reason = Reason::None;

    // Number of times the request was forwarded; 0 at the VM that received it from the caller.
    std::uint32_t hop = 0;

    // Attempts so far, including this one.
    std::uint32_t attempt = 1;

    // Whether a database may have run any part of it, and whether it is safe to run twice.
    bool mayHaveRun = false;
    bool idempotent = false;
};

// Whether to retry: wait holds the delay before the retry, or refusal the reason against it.
struct RetryDecision
{
    std::optional<Duration> wait;
    Reason refusal = Reason::None;
};

// Decides whether a request is retried. Retries never multiply: only the VM that received the
// request from the caller retries, later hops reply at once. The retries of a VM are limited to a
// share of its successes (token bucket), a retry is not started if the deadline leaves no time for
// it, and work that may have run is retried only if it is idempotent.
//
//     RetryBudget budget(options, random, counters);
//     budget.succeeded();
//     const RetryDecision decision = budget.decide(failedAttempt, deadline, now);
//
// random returns numbers in [0, 1). Counters: fescuespring_retries_total and
// fescuespring_retries_refused_total by reason. One thread only.
class RetryBudget
{
public:
    RetryBudget(const RetryOptions &options, std::function<double()> random, Counters &counters);

    void succeeded();
    RetryDecision decide(const FailedAttempt &failed, const Deadline &deadline, Instant now);

private:
    std::optional<Reason> reasonAgainst(const FailedAttempt &failed, const Deadline &deadline,
                                        Instant now) const;
    Duration backoff(std::uint32_t attempt);

    RetryOptions m_options;
    std::function<double()> m_random;
    std::array<Counter *, reasonCount> m_retries{};
    std::array<Counter *, reasonCount> m_refused{};
    double m_tokens;
};

} // namespace fescuespring
