#include "loadtest/latencyhistogram.h"

// With sanitizers gcc 12 reports a false -Wuninitialized for an array of the library.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wuninitialized"
#include <boost/histogram.hpp>
#pragma GCC diagnostic pop

#include <algorithm>
#include <cmath>

namespace bh = boost::histogram;

namespace fescuespring {

namespace {

constexpr unsigned bins = 2100;
constexpr double lowestUs = 1;
constexpr double highestUs = 900e6;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;

auto makeHistogram()
{
    return bh::make_histogram(Axis(bins, lowestUs, highestUs));
}

} // namespace

struct LatencyHistogram::Data
{
    decltype(makeHistogram()) histogram = makeHistogram();
    std::uint64_t count = 0;
    Duration maximum{0};
};

LatencyHistogram::LatencyHistogram()
    : m_data(std::make_unique<Data>())
{}

LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram &&) noexcept = default;
LatencyHistogram &LatencyHistogram::operator=(LatencyHistogram &&) noexcept = default;

void LatencyHistogram::add(Duration latency)
{
    m_data->histogram(std::max(lowestUs, static_cast<double>(latency.count())));
    m_data->maximum = std::max(m_data->maximum, latency);
    ++m_data->count;
}

Duration LatencyHistogram::percentile(double fraction) const
{
    const double rank = std::ceil(fraction * static_cast<double>(m_data->count));
    double cumulative = 0;
    for (const auto &bin : bh::indexed(m_data->histogram)) {
        cumulative += *bin;
        if (cumulative >= rank && cumulative > 0)
            return std::min(m_data->maximum,
                            Duration(static_cast<Duration::rep>(bin.bin().upper())));
    }
    return m_data->maximum;
}

Duration LatencyHistogram::maximum() const
{
    return m_data->maximum;
}

std::uint64_t LatencyHistogram::count() const
{
    return m_data->count;
}

} // namespace fescuespring
