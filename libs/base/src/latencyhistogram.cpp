#include "base/latencyhistogram.h"

#include <string>

namespace fescuespring {

LatencyHistogram::LatencyHistogram(Counters &counters, std::string_view name)
    : m_infinityBucket(counters.counter(std::string(name) + "_bucket", "le", "+Inf"))
    , m_count(counters.counter(std::string(name) + "_count"))
{
    for (std::size_t i = 0; i < bounds.size(); ++i) {
        m_buckets[i] =
                &counters.counter(std::string(name) + "_bucket", "le", std::to_string(bounds[i]));
    }
}

void LatencyHistogram::add(Duration time)
{
    for (std::size_t i = 0; i < bounds.size(); ++i) {
        if (time <= std::chrono::milliseconds(bounds[i]))
            m_buckets[i]->add();
    }
    m_infinityBucket.add();
    m_count.add();
}

} // namespace fescuespring
