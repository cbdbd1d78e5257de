#include "experiment/experiment.h"

#include "base/enumnames.h"

#include <algorithm>
#include <numeric>

namespace fescuespring {
namespace {

constexpr std::array<const char *, 4> policyNames{"product", "naive", "split", "two-owners"};

} // namespace

const char *toString(QueuePolicy policy)
{
    return policyNames[static_cast<std::size_t>(policy)];
}

std::optional<QueuePolicy> queuePolicyFromString(std::string_view text)
{
    return detail::enumFromName<QueuePolicy>(policyNames, text);
}

double StreamFigures::servedShare() const
{
    return offered == 0 ? 1.0 : static_cast<double>(served) / static_cast<double>(offered);
}

const StreamFigures *PhaseFigures::find(std::string_view stream) const
{
    const auto found = std::ranges::find(streams, stream, &StreamFigures::stream);
    return found == streams.end() ? nullptr : &*found;
}

const PhaseFigures *QueueReport::find(std::string_view phase) const
{
    const auto found = std::ranges::find(phases, phase, &PhaseFigures::phase);
    return found == phases.end() ? nullptr : &*found;
}

const QueueTarget *QueueReport::target(std::string_view name) const
{
    const auto found = std::ranges::find(targets, name, &QueueTarget::name);
    return found == targets.end() ? nullptr : &*found;
}

} // namespace fescuespring
