#include "routing/writerouter.h"

namespace fescuespring {

WriteDecision routeWrite(const GroupView &view, std::chrono::milliseconds retryAfter,
                         LogPoint sessionPoint)
{
    if (isDiscarded(view.history(), sessionPoint))
        return {.reason = Reason::HistoryDiscarded};
    const auto primary = view.primary();
    const bool isServing = primary && view.find(primary->database)->reachable;
    if (!isServing || sessionPoint.term > primary->term)
        return {.reason = Reason::NoPrimary, .retryAfter = retryAfter};
    return {.action = WriteAction::Serve, .database = primary->database, .term = primary->term};
}

} // namespace fescuespring
