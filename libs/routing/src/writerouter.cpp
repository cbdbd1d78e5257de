#include "routing/writerouter.h"

namespace fescuespring {

WriteDecision routeWrite(const GroupView &view, std::chrono::milliseconds retryAfter)
{
    const auto primary = view.primary();
    if (!primary || !view.find(primary->database)->reachable)
        return {.reason = Reason::NoPrimary, .retryAfter = retryAfter};
    return {.action = WriteAction::Serve, .database = primary->database, .term = primary->term};
}

} // namespace fescuespring
