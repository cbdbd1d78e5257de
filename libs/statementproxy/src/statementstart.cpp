#include "statementrun.h"

#include <algorithm>
#include <string>

// Refusal of statements that learned figures show not to start in time.

namespace fescuespring::detail {

namespace {

// Part of the latency target for which a statement may wait unsent whatever the figures show.
constexpr int holdDivisor = 4;
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
    const Duration hold = std::max(target / holdDivisor, minimumHold);
    return StartLimits{.useful = std::max(useful - waited, Duration(0)),
                       .hold = std::max(hold - waited, Duration(0))};
}

bool StatementRun::cannotStart(const DatabaseId &database) const
{
    const auto limits = startLimits();
    if (!limits)
        return false;
    const auto load = upstreams().expected(database, work(), m_route.priority);
    return load && load->wait > limits->useful;
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

void StatementRun::scheduleHoldCheck(Duration delay)
{
    m_holdTimer = upstreams().context().timers.after(delay, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self || !self->m_session)
            return;
        self->m_holdTimer = 0;
        self->checkHold();
    });
}

// A statement that waits at another VM is checked there.
void StatementRun::checkHold()
{
    if (isRunning())
        return;
    const bool isLate =
            std::any_of(m_attempts.begin(), m_attempts.end(), [this](const AttemptPtr &attempt) {
                return attempt->ticket != 0 && cannotStart(attempt->database);
            });
    if (isLate)
        failLate("held");
    else
        scheduleHoldCheck(holdRecheck);
}

} // namespace fescuespring::detail
