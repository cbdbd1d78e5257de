#pragma once

#include "base/types.h"

#include <algorithm>
#include <chrono>

namespace fescuespring::detail {

// A token bucket: so many calls a second, and so many at once.
class Budget
{
public:
    Budget(double perSecond, int burst)
        : m_perSecond(perSecond)
        , m_burst(burst)
        , m_tokens(burst)
    {}

    // Takes one token; false where there is none.
    bool take(Instant now)
    {
        const std::chrono::duration<double> passed = now - m_filled;
        m_filled = now;
        m_tokens = std::min<double>(m_burst, m_tokens + passed.count() * m_perSecond);
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    double m_perSecond;
    int m_burst;
    double m_tokens;
    Instant m_filled;
};

} // namespace fescuespring::detail
