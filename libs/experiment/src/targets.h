#pragma once

#include "base/types.h"
#include "experiment/experiment.h"

#include <string>

namespace fescuespring::detail {

double milliseconds(Duration time);

QueueTarget atLeast(const std::string &name, double bound, double value, const std::string &unit);
QueueTarget atMost(const std::string &name, double bound, double value, const std::string &unit);

// Report of a run, without phases and targets.
QueueReport emptyReport(const std::string &experiment, const QueueExperimentOptions &options);

} // namespace fescuespring::detail
