#include "statementproxy/readerchoice.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace fescuespring {

namespace {

// The share of a database falls with its wait, counted in service times, to the power of
// -waitExponent. With 89 VMs and figures 200 ms old, 1 makes them move together (0.74 of the reads
// in time at 0.95 of the capacity), and 0 leaves a wait as it is (0.94); 0.35 gives 0.99.
constexpr double waitExponent = 0.35;

// Without it, a database whose service time is near zero would get everything.
constexpr Duration minimumService = std::chrono::milliseconds(2);

constexpr double primaryFactor = 1.6;
constexpr double failingFactor = 20;

// Large enough that practically nothing goes there while another database remains.
constexpr double lateFactor = 1000;
constexpr double unresponsiveFactor = 1e6;
constexpr std::uint32_t failingThreshold = 3;

// Parts of its share that a database gets after its return, each for returnStep.
constexpr Duration returnStep = std::chrono::milliseconds(500);
constexpr std::array returnParts{0.1, 0.25, 0.5, 0.75};

double returnPart(Duration sinceReturn)
{
    const auto step = static_cast<std::size_t>(std::max(sinceReturn, Duration(0)) / returnStep);
    return step < returnParts.size() ? returnParts.at(step) : 1;
}

double weight(const ReaderCandidate &candidate, Duration useful)
{
    const Duration time = std::max(candidate.service + candidate.hop, minimumService);
    const auto service = static_cast<double>(time.count());
    const auto wait = static_cast<double>(candidate.wait.count());
    double share = std::pow(1 + wait / service, -waitExponent) / service;
    share *= returnPart(candidate.sinceReturn);
    if (candidate.isPrimary)
        share /= primaryFactor;
    if (candidate.failuresInARow >= failingThreshold)
        share /= failingFactor;
    if (candidate.wait > useful)
        share /= lateFactor;
    if (!candidate.isResponsive)
        share /= unresponsiveFactor;
    return share;
}

} // namespace

std::optional<std::size_t> chooseReader(const std::vector<ReaderCandidate> &candidates,
                                        Duration useful, double random)
{
    if (candidates.empty())
        return std::nullopt;
    std::vector<double> weights;
    double total = 0;
    for (const ReaderCandidate &candidate : candidates) {
        weights.push_back(weight(candidate, useful));
        total += weights.back();
    }
    double left = random * total;
    for (std::size_t i = 0; i < weights.size(); ++i) {
        left -= weights[i];
        if (left < 0)
            return i;
    }
    return weights.size() - 1;
}

} // namespace fescuespring
