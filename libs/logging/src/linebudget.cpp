#include "linebudget.h"

#include <algorithm>
#include <utility>

namespace fescuespring::detail {

namespace {

constexpr double secondsOfBurst = 2;

} // namespace

LineBudget::LineBudget(std::uint32_t linesPerSecond)
    : m_linesPerSecond(linesPerSecond)
{}

std::optional<std::uint64_t> LineBudget::take(std::string_view event, Clock::time_point now)
{
    if (m_linesPerSecond == 0)
        return 0;
    const double full = m_linesPerSecond * secondsOfBurst;
    auto found = m_buckets.find(event);
    if (found == m_buckets.end())
        found = m_buckets.emplace(std::string(event), Bucket{full, now, 0}).first;
    Bucket &bucket = found->second;
    const std::chrono::duration<double> passed = now - bucket.filledAt;
    bucket.filledAt = now;
    bucket.tokens = std::min(full, bucket.tokens + passed.count() * m_linesPerSecond);
    if (bucket.tokens < 1) {
        ++bucket.leftOut;
        return std::nullopt;
    }
    bucket.tokens -= 1;
    return std::exchange(bucket.leftOut, 0);
}

} // namespace fescuespring::detail
