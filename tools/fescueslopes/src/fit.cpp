#include "slopes.h"

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <numeric>

namespace fescuespring {

LinearFit fitLine(const std::vector<double> &sizes, const std::vector<double> &values)
{
    const auto count = static_cast<double>(sizes.size());
    const double meanSize = std::accumulate(sizes.begin(), sizes.end(), 0.0) / count;
    const double meanValue = std::accumulate(values.begin(), values.end(), 0.0) / count;
    double covariance = 0;
    double variance = 0;
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        covariance += (sizes[i] - meanSize) * (values[i] - meanValue);
        variance += (sizes[i] - meanSize) * (sizes[i] - meanSize);
    }
    const double slope = variance > 0 ? covariance / variance : 0;
    return {meanValue - slope * meanSize, slope};
}

void print(const SlopeTable &table)
{
    std::printf("\n## %s\n\n| %s |", table.title.c_str(), table.sizeName.c_str());
    for (const double size : table.sizes)
        std::printf(" %.0f |", size);
    std::printf(" fit |\n|---|");
    for (std::size_t i = 0; i <= table.sizes.size(); ++i)
        std::printf("---|");
    std::printf("\n");
    for (const Series &series : table.series) {
        std::printf("| %s, %s |", series.name.c_str(), series.unit.c_str());
        for (const double value : series.values)
            std::printf(" %.4g |", value);
        const LinearFit fit = fitLine(table.sizes, series.values);
        std::printf(" %.4g + %.4g n |\n", fit.base, fit.slope);
    }
}

double allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

double median(std::vector<double> values)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

double worst(const std::vector<double> &values)
{
    return values.empty() ? 0 : *std::max_element(values.begin(), values.end());
}

} // namespace fescuespring
