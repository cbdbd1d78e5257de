#pragma once

#include "base/types.h"

#include <cstdint>
#include <memory>

namespace fescuespring {

// Latencies from a microsecond to a quarter of an hour, each known to within 1 %.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(LatencyHistogram &&) noexcept;
    LatencyHistogram &operator=(LatencyHistogram &&) noexcept;

    void add(Duration latency);

    // The latency that this fraction of all, 0 to 1, does not exceed; 0 where there is none.
    Duration percentile(double fraction) const;

    Duration maximum() const;
    std::uint64_t count() const;

private:
    struct Data;
    std::unique_ptr<Data> m_data;
};

} // namespace fescuespring
