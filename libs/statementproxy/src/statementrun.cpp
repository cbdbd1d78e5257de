#include "statementrun.h"

#include "statementproxy/allowanceservice.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace fescuespring::detail {

namespace {

// Maximum time that a statement is held while no database can take it.
constexpr Duration maximumHoldTime = std::chrono::milliseconds(600);

constexpr Duration noReaderRetryDelay = std::chrono::milliseconds(20);

// A read without a reply is hedged after its latency target divided by hedgeDelayDivisor, within
// these bounds.
constexpr int hedgeDelayDivisor = 2;
constexpr Duration minimumHedgeDelay = std::chrono::milliseconds(100);
constexpr Duration maximumHedgeDelay = std::chrono::milliseconds(300);
constexpr std::size_t maximumTries = 12;

// Subtracted from the staleness bound to cover the time between the check and the read.
constexpr Duration stalenessMargin = std::chrono::milliseconds(60);

} // namespace

StatementRun::StatementRun(StatementSession &session, RequestId id, Statement statement,
                           const PreparedStatement *prepared, Route route, CustomerId customer)
    : m_session(&session)
    , m_context(std::make_shared<SessionContext>(session.m_context))
    , m_id(std::move(id))
    , m_statement(std::move(statement))
    , m_route(std::move(route))
    , m_customer(std::move(customer))
    , m_configuration(session.m_options.routes.configuration().version)
{
    if (prepared)
        m_prepared = *prepared;
}

StatementRun::~StatementRun() = default;

Upstreams &StatementRun::upstreams() const
{
    return m_session->m_options.upstreams;
}

Instant StatementRun::now() const
{
    return upstreams().context().timers.now();
}

bool StatementRun::isWrite() const
{
    return m_statement.kind == StatementKind::Write
           || (m_prepared && m_prepared->access == StatementAccess::Write);
}

bool StatementRun::isInTransaction() const
{
    return m_session->m_transaction.has_value();
}

bool StatementRun::hasNoPinnedConnection() const
{
    return isInTransaction() && !m_session->m_transaction->lease;
}

bool StatementRun::isReadOnly() const
{
    return isInTransaction() ? m_session->m_transaction->isReadOnly : !isWrite();
}

bool StatementRun::needsPrimary() const
{
    return !isReadOnly() || m_route.consistency == ReadConsistency::Primary;
}

void StatementRun::start()
{
    m_startedAt = now();
    m_deadline = m_startedAt + m_route.timeout;
    m_holdUntil = std::min(m_deadline, m_startedAt + maximumHoldTime);
    scheduleDeadline(m_holdUntil);
    if (const auto limits = startLimits())
        scheduleHoldCheck(limits->hold, StartCheck::HoldEnd);
    if (needsToken())
        takeToken();
    else
        tryNext();
}

// One token covers a statement with its repeats, or a transaction.
bool StatementRun::needsToken() const
{
    if (m_customer.isEmpty())
        return false;
    return !isInTransaction() || !m_session->m_transaction->hasToken;
}

void StatementRun::takeToken()
{
    upstreams().allowances().start(m_customer,
                                   [weak = weak_from_this()](const AllowanceDecision &decision) {
                                       const auto self = weak.lock();
                                       if (self && self->m_session)
                                           self->tokenDecided(decision);
                                   });
}

void StatementRun::tokenDecided(const AllowanceDecision &decision)
{
    if (!decision.isGranted()) {
        const auto wait = std::chrono::ceil<std::chrono::milliseconds>(decision.retryAfter);
        fail(StatementFailure::Overload, "allowance of the customer is used up; retry after "
                                                 + std::to_string(wait.count()) + " ms");
        return;
    }
    if (isInTransaction())
        m_session->m_transaction->hasToken = true;
    tryNext();
}

void StatementRun::scheduleDeadline(Instant at)
{
    m_deadlineTimer = upstreams().context().timers.after(at - now(), [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->deadlinePassed();
    });
}

void StatementRun::tryNext()
{
    if (!m_session)
        return;
    if (isInTransaction() && !hasNoPinnedConnection()) {
        tryPinned();
        return;
    }
    if (!m_wasSent && now() >= m_holdUntil) {
        fail(m_lastFailure, m_lastMessage);
        return;
    }
    if (m_tries >= maximumTries) {
        fail(m_lastFailure, m_lastMessage);
        return;
    }
    if (needsPrimary())
        tryPrimary();
    else
        tryReader();
}

void StatementRun::tryPinned()
{
    auto attempt = std::make_shared<Attempt>();
    attempt->database = m_session->m_transaction->database;
    attempt->lease = std::move(m_session->m_transaction->lease);
    m_attempts.push_back(attempt);
    if (attempt->lease->isBroken()) {
        attempt->isEnded = true;
        failedInTransaction({.failure = StatementFailure::Aborted,
                             .message = "the connection of the transaction was lost"});
        return;
    }
    send(attempt, std::nullopt);
}

void StatementRun::tryPrimary()
{
    const std::optional<DatabaseId> primary = upstreams().usablePrimary(m_route.group);
    if (upstreams().isIsolated(m_route.group)) {
        fail(StatementFailure::Busy, "this VM cannot reach the primary");
        return;
    }
    if (upstreams().isWithoutPrimary(m_route.group)) {
        fail(StatementFailure::Busy, "the group currently has no usable primary");
        return;
    }
    const bool canConfirm = commitsWrites() ? upstreams().canConfirmCommits(m_route.group)
                                            : upstreams().canConfirmLeadership(m_route.group);
    if (!canConfirm) {
        fail(StatementFailure::Busy, "the leadership of the primary cannot be confirmed");
        return;
    }
    if (!primary || (m_excluded.contains(*primary) && !upstreams().isResponsive(*primary))) {
        m_lastMessage = "the group currently has no usable primary";
        retryAfter(primaryRetryDelay);
        return;
    }
    attempt(*primary, std::nullopt);
}

std::optional<LogPoint> StatementRun::readPoint() const
{
    const Instant since = isInTransaction() ? m_session->m_transaction->startedAt : m_startedAt;
    const Duration bound = m_route.maximumStaleness - stalenessMargin;
    const auto floor = upstreams().leadership().floor(m_route.group, bound, since);
    if (!floor)
        return std::nullopt;
    const bool ownCommits = m_route.consistency == ReadConsistency::ReadYourWrites;
    if (ownCommits && m_session->m_lastCommit && *m_session->m_lastCommit > *floor)
        return m_session->m_lastCommit;
    return floor;
}

void StatementRun::tryReader()
{
    const std::optional<LogPoint> point = readPoint();
    if (!point) {
        m_lastFailure = StatementFailure::Lagging;
        m_lastMessage = "no recent log point of the primary is known for the staleness bound";
        if (m_isRefreshingFloor)
            return;
        if (upstreams().isIsolated(m_route.group)) {
            fail(m_lastFailure, m_lastMessage);
            return;
        }
        m_isRefreshingFloor = true;
        upstreams().refreshFloor(m_route.group, [weak = weak_from_this()] {
            const auto self = weak.lock();
            if (!self || !self->m_session)
                return;
            self->m_isRefreshingFloor = false;
            if (self->readPoint())
                self->tryNext();
            else
                self->retryAfter(primaryRetryDelay);
        });
        return;
    }
    upstreams().refreshFloorAhead(m_route.group, m_route.maximumStaleness);
    const std::optional<StartLimits> limits = startLimits();
    const std::optional<DatabaseId> database = upstreams().chooseReader(
            m_route.group, m_excluded,
            {.kind = work(),
             .request = {.customer = m_customer, .priority = m_route.priority},
             .useful = limits ? limits->useful : m_route.timeout});
    if (!database) {
        m_excluded.clear();
        retryAfter(noReaderRetryDelay);
        return;
    }
    attempt(*database, point);
}

void StatementRun::retryAfter(Duration delay)
{
    Timers &timers = upstreams().context().timers;
    timers.cancel(m_retryTimer);
    m_retryTimer = timers.after(delay, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self || !self->m_session)
            return;
        self->m_retryTimer = 0;
        self->tryNext();
    });
}

void StatementRun::attempt(const DatabaseId &database, std::optional<LogPoint> after)
{
    const std::shared_ptr<LinkPool> pool = upstreams().pool(database, m_customer);
    if (!pool) {
        m_excluded.insert(database);
        retryAfter(noReaderRetryDelay);
        return;
    }
    if (cannotStart(database, StartCheck::Arrival)) {
        if (!isRunning())
            failLate("arrival");
        return;
    }
    ++m_tries;
    auto attempt = std::make_shared<Attempt>();
    attempt->database = database;
    attempt->pool = pool;
    m_attempts.push_back(attempt);
    if (isReadOnly())
        scheduleHedge();
    const LinkRequest request{
            .context = m_context.get(), .customer = m_customer, .priority = m_route.priority};
    if (LinkLease lease = pool->tryAcquire(request)) {
        granted(attempt, std::move(lease), after);
        return;
    }
    attempt->ticket =
            pool->wait(request, [weak = weak_from_this(), attempt, after](LinkLease lease) {
                attempt->ticket = 0;
                const auto self = weak.lock();
                if (self && self->m_session)
                    self->granted(attempt, std::move(lease), after);
            });
}

void StatementRun::granted(const AttemptPtr &attempt, LinkLease lease,
                           std::optional<LogPoint> after)
{
    attempt->lease = std::move(lease);
    send(attempt, after);
}

// The key may have been removed, or moved to another customer, while the statement waited for a
// connection or a retry.
bool StatementRun::refuseIfRevoked(const AttemptPtr &attempt)
{
    const Identification caller = m_session->identifyCaller(m_route, m_customer);
    if (caller.isAccepted())
        return false;
    attempt->lease.release();
    attempt->isEnded = true;
    // What was sent before ends as it would have.
    const bool isRunning = std::ranges::any_of(
            m_attempts, [](const AttemptPtr &other) { return other->isSent && !other->isEnded; });
    if (!isRunning)
        fail(caller.failure, caller.message());
    return true;
}

KeyUse StatementRun::keyUse() const
{
    if (m_customer.isEmpty())
        return {};
    const StatementSession::Options &options = m_session->m_options;
    return {.digest = options.key, .configuration = options.routes.configuration().version};
}

void StatementRun::send(const AttemptPtr &attempt, std::optional<LogPoint> after)
{
    if (refuseIfRevoked(attempt))
        return;
    LinkCommand command{.command = {.id = m_id, .statement = m_statement},
                        .context = m_context.get(),
                        .prepared = m_prepared ? &*m_prepared : nullptr,
                        .customer = m_customer,
                        .priority = m_route.priority,
                        .key = keyUse(),
                        .timeout = std::max(Duration(0), m_holdUntil - now()),
                        .work = work(),
                        .limits = startLimits()};
    if (hasNoPinnedConnection() && attempt->pool) {
        command.begin = isReadOnly() ? StatementKind::BeginReadOnly : StatementKind::Begin;
        command.beginAfter = after;
    } else {
        command.command.after = after;
    }
    attempt->isSent = true;
    m_wasSent = true;
    attempt->sentAt = now();
    attempt->lease->run(command, [self = shared_from_this(), attempt](const LinkOutcome &outcome) {
        self->ended(attempt, outcome);
    });
}

void StatementRun::scheduleHedge()
{
    if (m_hedgeTimer != 0)
        return;
    const Duration delay = std::clamp(Duration(m_route.latencyTarget) / hedgeDelayDivisor,
                                      minimumHedgeDelay, maximumHedgeDelay);
    m_hedgeTimer = upstreams().context().timers.after(delay, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self || !self->m_session)
            return;
        self->m_hedgeTimer = 0;
        self->hedge();
    });
}

void StatementRun::hedge()
{
    std::size_t running = 0;
    for (const AttemptPtr &attempt : m_attempts) {
        if (attempt->isEnded)
            continue;
        m_excluded.insert(attempt->database);
        if (attempt->isSent)
            ++running;
    }
    constexpr std::size_t maximumRunning = 3;
    if (m_isConfirming || m_isRefreshingFloor || m_retryTimer != 0 || running >= maximumRunning)
        return;
    upstreams().context().counters.counter("fescuespring_hedged_reads_total").add();
    dropQueuedAttempts();
    if (needsPrimary())
        tryPrimary();
    else
        tryReader();
}

void StatementRun::dropQueuedAttempts()
{
    for (const AttemptPtr &attempt : m_attempts) {
        if (attempt->ticket == 0)
            continue;
        attempt->pool->cancel(std::exchange(attempt->ticket, 0));
        attempt->isEnded = true;
    }
}

} // namespace fescuespring::detail
