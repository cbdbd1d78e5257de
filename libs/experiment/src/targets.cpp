#include "targets.h"

namespace fescuespring::detail {

double milliseconds(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

QueueTarget atLeast(const std::string &name, double bound, double value, const std::string &unit)
{
    return {name, bound, value, unit, value >= bound};
}

QueueTarget atMost(const std::string &name, double bound, double value, const std::string &unit)
{
    return {name, bound, value, unit, value <= bound};
}

QueueReport emptyReport(const std::string &experiment, const QueueExperimentOptions &options)
{
    QueueReport report;
    report.experiment = experiment;
    report.load = options.load.name;
    report.policy = options.policy;
    report.seed = options.seed;
    return report;
}

} // namespace fescuespring::detail
