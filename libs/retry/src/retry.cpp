#include "retry/retry.h"

#include <algorithm>
#include <utility>

namespace fescuespring {

Deadline Deadline::received(std::chrono::milliseconds left, Instant now)
{
    return Deadline(now + left);
}

Duration Deadline::left(Instant now) const
{
    return std::max(m_at - now, Duration(0));
}

std::chrono::milliseconds Deadline::forNextHop(Instant now, Duration roundTrip) const
{
    const Duration usable = std::max(left(now) - roundTrip, Duration(0));
    return std::chrono::floor<std::chrono::milliseconds>(usable);
}

RetryBudget::RetryBudget(const RetryOptions &options, std::function<double()> random,
                         Counters &counters)
    : m_options(options)
    , m_random(std::move(random))
    , m_tokens(options.maximumTokens)
{
    for (int i = 0; i < reasonCount; ++i) {
        const char *name = toString(static_cast<Reason>(i));
        const auto index = static_cast<std::size_t>(i);
        m_retries[index] = &counters.counter("fescuespring_retries_total", "reason", name);
        m_refused[index] = &counters.counter("fescuespring_retries_refused_total", "reason", name);
    }
}

void RetryBudget::succeeded()
{
    m_tokens = std::min(m_tokens + m_options.tokensPerSuccess, m_options.maximumTokens);
}

RetryDecision RetryBudget::decide(const FailedAttempt &failed, const Deadline &deadline,
                                  Instant now)
{
    const auto cause = static_cast<std::size_t>(failed.reason);
    if (const auto reason = reasonAgainst(failed, deadline, now)) {
        m_refused[cause]->add();
        return {std::nullopt, *reason};
    }
    const Duration wait = backoff(failed.attempt);
    if (wait >= deadline.left(now)) {
        m_refused[cause]->add();
        return {std::nullopt, Reason::DeadlineTooShort};
    }
    m_tokens -= 1.0;
    m_retries[cause]->add();
    return {wait, Reason::None};
}

// The reason against a retry, if any. If the request must not be retried because of the failure
// itself, this is the reason of the failure.
std::optional<Reason> RetryBudget::reasonAgainst(const FailedAttempt &failed,
                                                 const Deadline &deadline, Instant now) const
{
    if (failed.hop > 0 || failed.attempt >= m_options.maximumAttempts)
        return failed.reason;
    if (failed.mayHaveRun && !failed.idempotent)
        return failed.reason;
    if (deadline.hasPassed(now))
        return Reason::DeadlinePassed;
    if (m_tokens < 1.0)
        return Reason::RetryBudgetSpent;
    return std::nullopt;
}

Duration RetryBudget::backoff(std::uint32_t attempt)
{
    constexpr std::uint32_t maximumDoublings = 16;
    const std::uint32_t doublings = std::min(std::max(attempt, 1U) - 1, maximumDoublings);
    const Duration maximum =
            std::min(m_options.firstBackoff * (1U << doublings), m_options.maximumBackoff);
    return Duration(static_cast<Duration::rep>(m_random() * static_cast<double>(maximum.count())));
}

} // namespace fescuespring
