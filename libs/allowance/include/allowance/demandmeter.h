#pragma once

#include "base/types.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace fescuespring {

// Measures events per second, with exponential forgetting.
//
//     meter.add(1, now);
//     const double operationsPerSecond = meter.rate(now);
class DemandMeter
{
public:
    // Events may be negative, to correct an earlier call.
    void add(double events, Instant now)
    {
        m_rate = std::max(0.0, rate(now) + events / forgetting.count());
        m_at = std::max(m_at, now);
    }

    double rate(Instant now) const
    {
        const std::chrono::duration<double> age = now - m_at;
        return age.count() > 0 ? m_rate * std::exp(-age.count() / forgetting.count()) : m_rate;
    }

private:
    // Shorter times confuse chance with a change of demand for customers of a few operations per
    // second; longer ones delay loans.
    static constexpr std::chrono::duration<double> forgetting{2};

    double m_rate = 0;
    Instant m_at;
};

} // namespace fescuespring
