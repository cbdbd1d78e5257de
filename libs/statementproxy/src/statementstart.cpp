#include "statementrun.h"

#include <algorithm>
#include <string>

// Refusal of statements that learned figures show not to start in time.

namespace fescuespring::detail {

namespace {

// A statement that was not served counts as held if it waited unsent for a quarter of the latency
// target. It is refused before that, with time left for the reply's way through another VM.
constexpr double holdPart = 0.85 / 4;
constexpr Duration minimumHold = std::chrono::milliseconds(50);

// Interval of the checks after that.
constexpr Duration holdRecheck = std::chrono::milliseconds(25);

// Shapes beyond this length share a kind of work.
constexpr std::size_t maximumKindBytes = 48;

} // namespace

WorkKind StatementRun::work() const
{
    if (!upstreams().context().isCapacityLearned)
        return {};
    if (m_prepared && m_statement.kind == StatementKind::Execute)
        return WorkKind(m_prepared->shape.substr(0, maximumKindBytes));
    return WorkKind(m_route.name.value() + ' ' + toString(m_statement.kind));
}

std::optional<StartLimits> StatementRun::startLimits() const
{
    if (!upstreams().context().isCapacityLearned)
        return std::nullopt;
    const Duration waited = now() - m_startedAt;
    const Duration target = m_route.latencyTarget;
    const Duration useful = std::min(target, m_deadline - m_startedAt);
    const Duration hold =
            std::max(std::chrono::duration_cast<Duration>(target * holdPart), minimumHold);
    return StartLimits{.useful = std::max(useful - waited, Duration(0)),
                       .hold = std::max(hold - waited, Duration(0))};
}

bool StatementRun::cannotStart(const DatabaseId &database, StartCheck check) const
{
    const auto limits = startLimits();
    if (!limits)
        return false;
    // A retry after the hold time must not wait either if its answer is doubtful.
    if (check == StartCheck::Arrival && limits->hold == Duration(0))
        check = StartCheck::HoldEnd;
    const auto load = upstreams().expected(database, work(),
                                           {.customer = m_customer, .priority = m_route.priority});
    return load && isExpectedLate(*load, limits->useful, check);
}

bool StatementRun::isRunning() const
{
    return m_isConfirming
           || std::any_of(m_attempts.begin(), m_attempts.end(), [](const AttemptPtr &attempt) {
                  return attempt->isSent && !attempt->isEnded;
              });
}

void StatementRun::failLate(const char *reason)
{
    upstreams()
            .context()
            .counters.counter("fescuespring_statements_expected_late_total", "reason", reason)
            .add();
    fail(StatementFailure::Busy,
         "the statement cannot start within the latency target of its route");
}

void StatementRun::scheduleHoldCheck(Duration delay, StartCheck check)
{
    m_holdTimer = upstreams().context().timers.after(delay, [weak = weak_from_this(), check] {
        const auto self = weak.lock();
        if (!self || !self->m_session)
            return;
        self->m_holdTimer = 0;
        self->checkHold(check);
    });
}

// A statement that waits at another VM is checked there.
void StatementRun::checkHold(StartCheck check)
{
    if (isRunning())
        return;
    const bool isLate = std::any_of(
            m_attempts.begin(), m_attempts.end(), [this, check](const AttemptPtr &attempt) {
                return attempt->ticket != 0 && cannotStart(attempt->database, check);
            });
    if (isLate)
        failLate("held");
    else
        scheduleHoldCheck(holdRecheck, StartCheck::Later);
}

} // namespace fescuespring::detail
