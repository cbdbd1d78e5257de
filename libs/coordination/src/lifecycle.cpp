#include "coordination/lifecycle.h"

#include <utility>

namespace fescuespring {

namespace {

using std::chrono::milliseconds;

// The balancer asks once a second and sends no new callers after two refusals; by then it has
// noticed.
constexpr Duration balancerNotices = milliseconds(1900);

// After the order to stop: when resting sessions begin to be closed, and resting transactions are
// ended. What is left of the time is for what is under way.
constexpr Duration closeAfter = milliseconds(2300);
constexpr Duration abortAfter = milliseconds(3000);

constexpr Duration cutOffInterval = milliseconds(200);
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
    checkCutOff();
}

bool Lifecycle::isReady() const
{
    return !m_isStopping && m_options.isInitialized() && !m_options.isIsolated();
}

void Lifecycle::checkCutOff()
{
    if (m_isStopping)
        return;
    m_checkTimer = m_options.timers.after(cutOffInterval, [this] { checkCutOff(); });
    const bool isIsolated = m_options.isIsolated();
    const Instant now = m_options.timers.now();
    if (isIsolated != m_cutOffSince.has_value()) {
        m_cutOffSince = isIsolated ? std::optional(now) : std::nullopt;
        m_options.log.info("cut-off-changed", {{"cut-off", isIsolated}});
        m_options.closeIdleSessions(false);
    }
    if (m_cutOffSince && now - *m_cutOffSince > balancerNotices)
        m_options.closeIdleSessions(true);
}

void Lifecycle::stop()
{
    if (std::exchange(m_isStopping, true))
        return;
    m_stopAt = m_options.timers.now();
    m_options.log.info("stopping", {{"sessions", m_options.sessionCount()}});
    m_options.announceStop();
    stopStep();
}

void Lifecycle::stopStep()
{
    const Duration age = m_options.timers.now() - m_stopAt;
    if (age >= abortAfter)
        m_options.abortIdleTransactions();
    if (age >= closeAfter)
        m_options.closeIdleSessions(true);
    const bool isClean = age >= closeAfter && m_options.sessionCount() == 0;
    if (isClean || age >= m_options.stopDeadline) {
        m_options.log.info("stopped", {{"sessions", m_options.sessionCount()}, {"age", age}});
        m_options.stopped(isClean);
        return;
    }
    m_stopTimer = m_options.timers.after(stopInterval, [this] { stopStep(); });
}

} // namespace fescuespring
