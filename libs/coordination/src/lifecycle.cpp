#include "coordination/lifecycle.h"

#include <utility>

namespace fescuespring {

namespace {

using std::chrono::milliseconds;

// The balancer checks once a second and sends no new callers after two refusals, so it has reacted
// after this time.
constexpr Duration balancerReactionTime = milliseconds(1900);

// Time after the start of a shutdown at which idle sessions are closed.
constexpr Duration closeAfter = milliseconds(2300);

// Time before the deadline at which running statements are ended, so that callers receive the
// replies before their connections close.
constexpr Duration replyTime = milliseconds(150);

constexpr Duration isolationCheckInterval = milliseconds(200);
constexpr Duration stopInterval = milliseconds(50);

} // namespace

Lifecycle::Lifecycle(Options options)
    : m_options(std::move(options))
{}

Lifecycle::~Lifecycle()
{
    m_options.timers.cancel(m_checkTimer);
    m_options.timers.cancel(m_stopTimer);
}

void Lifecycle::start()
{
    checkIsolation();
}

bool Lifecycle::isReady() const
{
    return !m_isStopping && m_options.isInitialized() && !m_options.isIsolated();
}

void Lifecycle::checkIsolation()
{
    if (m_isStopping)
        return;
    m_checkTimer = m_options.timers.after(isolationCheckInterval, [this] { checkIsolation(); });
    const bool isIsolated = m_options.isIsolated();
    const Instant now = m_options.timers.now();
    if (isIsolated != m_isolatedSince.has_value()) {
        m_isolatedSince = isIsolated ? std::optional(now) : std::nullopt;
        m_options.log.info("cut-off-changed", {{"cut-off", isIsolated}});
        m_options.closeIdleSessions(false);
    }
    if (m_isolatedSince && now - *m_isolatedSince > balancerReactionTime)
        m_options.closeIdleSessions(true);
}

void Lifecycle::stop()
{
    if (std::exchange(m_isStopping, true))
        return;
    m_stopRequestedAt = m_options.timers.now();
    m_options.log.info("stopping", {{"sessions", m_options.sessionCount()}});
    m_options.announceStop();
    continueStop();
}

void Lifecycle::continueStop()
{
    const Duration age = m_options.timers.now() - m_stopRequestedAt;
    if (age >= m_options.transactionTime)
        m_options.abortIdleTransactions();
    if (age >= closeAfter)
        m_options.closeIdleSessions(true);
    if (age >= m_options.stopDeadline - replyTime)
        m_options.endStatements();
    const std::size_t sessions = m_options.sessionCount();
    const std::size_t loans = m_options.loanCount();
    const bool isClean = age >= closeAfter && sessions == 0 && loans == 0;
    if (isClean || age >= m_options.stopDeadline) {
        m_options.log.info("stopped", {{"sessions", sessions}, {"loans", loans}, {"age", age}});
        m_options.stopped(isClean);
        return;
    }
    m_stopTimer = m_options.timers.after(stopInterval, [this] { continueStop(); });
}

} // namespace fescuespring
