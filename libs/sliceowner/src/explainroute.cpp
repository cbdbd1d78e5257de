#include "requestrunner.h"
#include "routing/writerouter.h"
#include "session/termhistory.h"

#include <array>

namespace fescuespring {

namespace {

constexpr std::array readActionNames{"serve", "wait", "learn", "refuse"};

// Deadline assumed for the explained request.
constexpr Duration assumedDeadline = std::chrono::seconds(2);

} // namespace

RouteAnswer RequestRunner::explain(const RouteQuery &question) const
{
    RouteAnswer answer = question.access == Access::Read ? explainRead(question) : explainWrite();
    answer.group = m_options.group;
    answer.owner = m_options.vm;
    return answer;
}

RouteAnswer RequestRunner::explainRead(const RouteQuery &question) const
{
    RouteAnswer answer;
    const Result<SessionToken> token = decodeToken(question.token, m_hooks.tokenSigner);
    if (!token) {
        answer.action = "refuse";
        answer.reason = Reason::InvalidToken;
        return answer;
    }
    const LogPoint point = token.value().point(m_options.group);
    const Instant now = EventLoop::now();
    const ReadDecision decision = m_router.route(m_view,
                                                 {.point = point,
                                                  .maximumAge = question.maximumAge,
                                                  .receivedAt = now,
                                                  .deadline = now + assumedDeadline},
                                                 now);
    answer.action = readActionNames[static_cast<std::size_t>(decision.action)];
    answer.database = decision.database;
    answer.byReplica = decision.byReplica;
    answer.needsConfirmation = decision.needsConfirmation;
    answer.reason = decision.reason;
    for (const DatabaseView &database : m_view.databases())
        answer.explanation.push_back(explainDatabase(database, point));
    return answer;
}

RouteAnswer RequestRunner::explainWrite() const
{
    RouteAnswer answer;
    const WriteDecision decision = fescuespring::routeWrite(m_view, std::chrono::milliseconds(0));
    const bool isServed = decision.action == WriteAction::Serve;
    answer.action = m_holdWrites ? "wait" : isServed ? "serve" : "refuse";
    answer.database = decision.database;
    answer.needsConfirmation = true;
    answer.reason = decision.reason;
    for (const DatabaseView &database : m_view.databases())
        answer.explanation.push_back(explainDatabase(database, {}));
    return answer;
}

std::string RequestRunner::explainDatabase(const DatabaseView &database, LogPoint point) const
{
    std::string line = database.site.database.value() + ": ";
    if (!database.reachable || !database.status)
        return line + "not reachable";
    const DatabaseStatus &status = *database.status;
    line += std::string(toString(status.role)) + " at term " + std::to_string(status.term.value());
    line += ", position " + std::to_string(status.applied.position.value());
    line += ", token's point: ";
    line += toString(holding(status.history, status.applied, point));
    if (const auto age = m_view.ageBound(database, EventLoop::now())) {
        const auto ageMs = std::chrono::duration_cast<std::chrono::milliseconds>(*age);
        line += ", age at most " + std::to_string(ageMs.count()) + " ms";
    } else {
        line += ", age not known";
    }
    return line;
}

} // namespace fescuespring
