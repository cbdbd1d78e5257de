#pragma once

#include "base/types.h"
#include "experiment/experiment.h"

#include <string>

namespace fescuespring::detail {

double milliseconds(Duration time);

Target atLeast(const std::string &name, double bound, double value, const std::string &unit);
Target atMost(const std::string &name, double bound, double value, const std::string &unit);

// The report of a run without phases and targets.
ExperimentReport emptyReport(const std::string &experiment, const ExperimentOptions &options);

} // namespace fescuespring::detail
