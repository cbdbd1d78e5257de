#pragma once

#include "base/types.h"

#include <algorithm>
#include <chrono>

namespace fescuespring::detail {

// Rate limiter with a burst.
class TokenBucket
{
public:
    TokenBucket(double perSecond, int burst)
        : m_perSecond(perSecond)
        , m_burst(burst)
        , m_tokens(burst)
    {}

    // Takes one token; returns false if none is available.
    bool tryTake(Instant now)
    {
        const std::chrono::duration<double> elapsed = now - m_refilledAt;
        m_refilledAt = now;
        m_tokens = std::min<double>(m_burst, m_tokens + elapsed.count() * m_perSecond);
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    double m_perSecond;
    int m_burst;
    double m_tokens;
    Instant m_refilledAt;
};

} // namespace fescuespring::detail
