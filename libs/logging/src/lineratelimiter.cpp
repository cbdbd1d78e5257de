#include "lineratelimiter.h"

#include <algorithm>
#include <utility>

namespace fescuespring::detail {

namespace {

constexpr double burstSeconds = 2;

} // namespace

LineRateLimiter::LineRateLimiter(std::uint32_t linesPerSecond)
    : m_linesPerSecond(linesPerSecond)
{}

std::optional<std::uint64_t> LineRateLimiter::admit(std::string_view event, Clock::time_point now)
{
    if (m_linesPerSecond == 0)
        return 0;
    const double capacity = m_linesPerSecond * burstSeconds;
    auto found = m_buckets.find(event);
    if (found == m_buckets.end())
        found = m_buckets.emplace(std::string(event), Bucket{capacity, now, 0}).first;
    Bucket &bucket = found->second;
    const std::chrono::duration<double> elapsed = now - bucket.refilledAt;
    bucket.refilledAt = now;
    bucket.tokens = std::min(capacity, bucket.tokens + elapsed.count() * m_linesPerSecond);
    if (bucket.tokens < 1) {
        ++bucket.suppressedLines;
        return std::nullopt;
    }
    bucket.tokens -= 1;
    return std::exchange(bucket.suppressedLines, 0);
}

} // namespace fescuespring::detail
