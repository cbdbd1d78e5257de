#include "targets.h"

namespace fescuespring::detail {

double milliseconds(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

Target atLeast(const std::string &name, double bound, double value, const std::string &unit)
{
    return {name, bound, value, unit, value >= bound};
}

Target atMost(const std::string &name, double bound, double value, const std::string &unit)
{
    return {name, bound, value, unit, value <= bound};
}

ExperimentReport emptyReport(const std::string &experiment, const ExperimentOptions &options)
{
    ExperimentReport report;
    report.experiment = experiment;
    report.workload = options.workload.name;
    report.policy = options.policy;
    report.seed = options.seed;
    return report;
}

} // namespace fescuespring::detail
