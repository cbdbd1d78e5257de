#pragma once

#include "base/types.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace fescuespring {

// A token bucket whose rate and capacity may change with each call.
//
//     bucket.refill({.rate = 20, .capacity = 5}, now);
//     const std::uint32_t granted = bucket.take(3);
class TokenBucket
{
public:
    // Tokens per second, and the most that the bucket holds.
    struct Size
    {
        double rate = 0;
        double capacity = 0;
    };

    // A bucket that is filled from `since` on.
    explicit TokenBucket(Instant since, double level = 0)
        : m_level(level)
        , m_filledAt(since)
    {}

    // Adds the tokens of the time since the last call and clamps the level to the capacity.
    void refill(const Size &size, Instant now)
    {
        if (now > m_filledAt) {
            m_level += size.rate * std::chrono::duration<double>(now - m_filledAt).count();
            m_filledAt = now;
        }
        m_level = std::min(m_level, size.capacity);
    }

    // Takes whole tokens, as many of `wanted` as there are.
    std::uint32_t take(std::uint32_t wanted)
    {
        const auto granted = static_cast<std::uint32_t>(
                std::clamp(m_level + rounding, 0.0, static_cast<double>(wanted)));
        m_level -= granted;
        return granted;
    }

    // Puts tokens back that were taken and not used; the next refill clamps the level.
    void putBack(std::uint32_t tokens)
    {
        m_level += tokens;
    }

    // Adds no tokens for the time before `until`.
    void pauseUntil(Instant until)
    {
        m_filledAt = std::max(m_filledAt, until);
    }

    // Time until the bucket holds a whole token at this rate; at most `maximum`.
    Duration timeToToken(double rate, Duration maximum) const
    {
        const double missing = 1 - m_level;
        const double seconds = std::chrono::duration<double>(maximum).count();
        if (missing <= 0)
            return Duration(0);
        if (rate * seconds <= missing)
            return maximum;
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(missing / rate));
    }

    double level() const
    {
        return m_level;
    }

private:
    // Sums of fractions that make up a whole token may be smaller by a rounding error.
    static constexpr double rounding = 1e-9;

    double m_level;
    Instant m_filledAt;
};

} // namespace fescuespring
