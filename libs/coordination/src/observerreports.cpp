#include "coordination/observerreports.h"

namespace fescuespring {

namespace {

// Time in which an observer that does get an answer confirms it: a write to the store, and its way
// to the other VMs.
constexpr Duration confirmationTime = std::chrono::milliseconds(400);

} // namespace

bool isLost(const ObserverReports &reports)
{
    if (reports.unresponsive * 2 > reports.observers)
        return true;
    return reports.unresponsive > reports.confirming
           && reports.sinceFirstReport >= confirmationTime;
}

} // namespace fescuespring
