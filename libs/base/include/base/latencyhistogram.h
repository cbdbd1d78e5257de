#pragma once

#include "base/counters.h"
#include "base/types.h"

#include <array>
#include <string_view>

namespace fescuespring {

// A histogram of durations, exported as counters in Prometheus form: the cumulative NAME_bucket
// with upper bounds in milliseconds, and NAME_count.
//
//     LatencyHistogram served(counters, "fescuespring_statement_ms");
//     served.add(time);
//
// Thread-safe. The counters must outlive the histogram.
class LatencyHistogram
{
public:
    LatencyHistogram(Counters &counters, std::string_view name);

    void add(Duration time);

private:
    // Upper bounds in milliseconds.
    static constexpr std::array<int, 12> bounds{2,   5,   10,  20,   50,   100,
                                                150, 250, 500, 1000, 2000, 5000};

    std::array<Counter *, bounds.size()> m_buckets{};
    Counter &m_infinityBucket;
    Counter &m_count;
};

} // namespace fescuespring
