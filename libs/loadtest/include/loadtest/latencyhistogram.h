#pragma once

#include "base/types.h"

#include <cstdint>
#include <memory>

namespace fescuespring {

// Histogram of latencies from 1 us to 15 min with a relative error of at most 1 %.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(LatencyHistogram &&) noexcept;
    LatencyHistogram &operator=(LatencyHistogram &&) noexcept;

    void add(Duration latency);

    // The latency that this fraction (0 to 1) of all does not exceed; 0 if there is none.
    Duration percentile(double fraction) const;

    Duration maximum() const;
    std::uint64_t count() const;

private:
    struct Data;
    std::unique_ptr<Data> m_data;
};

} // namespace fescuespring
