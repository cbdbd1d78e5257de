#include "routing/readrouter.h"

#include <algorithm>

namespace fescuespring {

namespace {

constexpr LogPosition emptyLog{0};

// Whether the database may serve reads: it is reachable, is not leaving, and its log is not a
// discarded branch.
bool isUsable(const GroupView &view, const DatabaseView &database)
{
    return database.reachable && database.status && !database.site.leaving
           && !isDiscarded(view.history(), database.status->applied);
}

// Whether the database reports itself as primary but is not the primary of the view.
bool isReplacedPrimary(const std::optional<PrimaryView> &primary, const DatabaseView &database)
{
    const bool isCurrent = primary && primary->database == database.site.database;
    return database.status->role == Role::Primary && !isCurrent;
}

// Whether the database's log contains point. The primary of a term has every point of that term,
// including those that it has written since its last status.
Holding holdingOf(const DatabaseView &database, bool isPrimary, LogPoint point)
{
    const DatabaseStatus &status = *database.status;
    if (isPrimary && point.term == status.term)
        return Holding::Holds;
    return holding(status.history, status.applied, point);
}

} // namespace

ReadRouter::ReadRouter(ReadRouterOptions options)
    : m_options(std::move(options))
{}

ReadDecision ReadRouter::route(const GroupView &view, const ReadRequirements &requirements,
                               Instant now) const
{
    if (now >= requirements.deadline)
        return refuse(Reason::DeadlinePassed);
    if (isDiscarded(view.history(), requirements.point))
        return refuse(Reason::HistoryDiscarded);
    if (requirements.maximumAge)
        return routeByAge(view, requirements, now);
    if (requirements.point.position == emptyLog)
        return routeToPrimary(view, now);
    return routeByPoint(view, requirements, now);
}

ReadDecision ReadRouter::routeToPrimary(const GroupView &view, Instant now) const
{
    const auto primary = view.primary();
    if (!primary || !view.find(primary->database)->reachable)
        return refuse(Reason::NoPrimary);
    return {.action = ReadAction::Serve,
            .database = primary->database,
            .needsConfirmation = true,
            .term = primary->term,
            .until = now};
}

ReadDecision ReadRouter::routeByAge(const GroupView &view, const ReadRequirements &requirements,
                                    Instant now) const
{
    const auto primary = view.primary();
    const DatabaseView *best = nullptr;
    Duration bestCost = Duration::max();
    for (const DatabaseView &database : view.databases()) {
        if (!isUsable(view, database) || isReplacedPrimary(primary, database)
            || isExcluded(database, requirements))
            continue;
        const bool isPrimary = primary && primary->database == database.site.database;
        const Duration expected = cost(database, isPrimary, requirements);
        const auto age = view.ageBound(database, now);
        // The primary's data is current whenever the read arrives.
        const bool isTooOld = !age || (!isPrimary && *age + expected > *requirements.maximumAge);
        if (isTooOld || expected >= bestCost)
            continue;
        best = &database;
        bestCost = expected;
    }
    if (best) {
        const bool byReplica = !primary || primary->database != best->site.database;
        return {.action = ReadAction::Serve,
                .database = best->site.database,
                .byReplica = byReplica,
                .term = best->status->term,
                .until = now};
    }
    const ReadDecision atPrimary = routeToPrimary(view, now);
    return atPrimary.action == ReadAction::Serve ? atPrimary : refuse(Reason::TooOld);
}

ReadDecision ReadRouter::routeByPoint(const GroupView &view, const ReadRequirements &requirements,
                                      Instant now) const
{
    if (requirements.point.term > lastTerm(view.history()))
        return {.action = ReadAction::ProbeFirst, .until = now + m_options.recheckInterval};

    const auto primary = view.primary();
    const DatabaseView *ready = nullptr;
    Duration readyCost = Duration::max();
    Duration waitCost = Duration::max();
    for (const DatabaseView &database : view.databases()) {
        const bool isPrimary = primary && primary->database == database.site.database;
        const bool isAllowed = isUsable(view, database) || (isPrimary && database.reachable);
        if (!isAllowed || isReplacedPrimary(primary, database)
            || isExcluded(database, requirements))
            continue;
        const Duration expected = cost(database, isPrimary, requirements);
        switch (holdingOf(database, isPrimary, requirements.point)) {
        case Holding::Holds:
            if (expected < readyCost) {
                ready = &database;
                readyCost = expected;
            }
            break;
        case Holding::Behind:
            waitCost = std::min(waitCost, expected + catchUpTime(database, requirements.point));
            break;
        case Holding::Discarded:
            break;
        }
    }
    const bool canWait = waitCost != Duration::max();
    ReadDecision wait{.action = ReadAction::Wait, .until = now + m_options.recheckInterval};
    if (!ready)
        return canWait ? wait : refuse(Reason::UpstreamUnreachable);
    const bool byReplica = !primary || primary->database != ready->site.database;
    const bool isPrimaryFull = !byReplica && ready->inFlight >= m_options.maximumDivertedReads;
    const Duration acceptableWait =
            byReplica ? readyCost : std::max(readyCost, m_options.maximumCatchUpWait);
    const bool waitIsBetter = waitCost < acceptableWait && now + waitCost < requirements.deadline;
    if (canWait && (waitIsBetter || isPrimaryFull))
        return wait;
    return {.action = ReadAction::Serve,
            .database = ready->site.database,
            .byReplica = byReplica,
            .term = ready->status->term,
            .until = now};
}

bool ReadRouter::isExcluded(const DatabaseView &database,
                            const ReadRequirements &requirements) const
{
    return requirements.localOnly && database.site.dataCentre != m_options.dataCentre;
}

Duration ReadRouter::cost(const DatabaseView &database, bool isPrimary,
                          const ReadRequirements &requirements) const
{
    const Duration primaryCost =
            requirements.isLong ? m_options.longWorkPenalty : m_options.primaryPenalty;
    const Duration roundTrip = database.roundTrip == Duration::zero() ? m_options.assumedRoundTrip
                                                                      : database.roundTrip;
    const Duration service = database.serviceTime == Duration::zero() ? m_options.assumedServiceTime
                                                                      : database.serviceTime;
    const bool isRemote = database.site.dataCentre != m_options.dataCentre;
    // Not rounded up to whole rounds of the slots, so that reads are spread over idle databases.
    const Duration queued = service * (database.inFlight + m_options.slots) / m_options.slots;
    return roundTrip + queued + (isRemote ? m_options.assumedRoundTrip : Duration::zero())
           + (isPrimary ? primaryCost : Duration::zero());
}

Duration ReadRouter::catchUpTime(const DatabaseView &database, LogPoint point) const
{
    const LogPoint applied = database.status->applied;
    if (database.appliedPerSecond <= 0 || applied.term != point.term)
        return m_options.assumedCatchUp;
    const auto missing = static_cast<double>(point.position.value() - applied.position.value());
    const std::chrono::duration<double> time(missing / database.appliedPerSecond);
    return std::min(std::chrono::duration_cast<Duration>(time), Duration(std::chrono::hours(1)));
}

ReadDecision ReadRouter::refuse(Reason reason) const
{
    const bool isTemporary = reason != Reason::HistoryDiscarded && reason != Reason::DeadlinePassed;
    return {.action = ReadAction::Refuse,
            .reason = reason,
            .retryAfter = isTemporary ? m_options.retryAfter : std::chrono::milliseconds::zero()};
}

ReadCheck checkRead(const GroupView &view, LogPoint requiredPoint, const StatementAnswer &answer)
{
    if (requiredPoint.position == emptyLog)
        return ReadCheck::Accept;
    if (isDiscarded(view.history(), requiredPoint))
        return ReadCheck::Discarded;
    if (answer.point < requiredPoint)
        return ReadCheck::RouteAgain;
    if (answer.point.term == requiredPoint.term)
        return ReadCheck::Accept;
    const bool isKnown = answer.point.term <= lastTerm(view.history());
    return isKnown && !isDiscarded(view.history(), answer.point) ? ReadCheck::Accept
                                                                 : ReadCheck::RouteAgain;
}

} // namespace fescuespring
