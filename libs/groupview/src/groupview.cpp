#include "groupview/groupview.h"

#include <algorithm>

namespace fescuespring {

namespace {

constexpr std::size_t maximumHistoryTerms = 64;
constexpr int smoothingDivisor = 8;

Duration smoothed(Duration average, Duration sample)
{
    return average == Duration::zero() ? sample : average + (sample - average) / smoothingDivisor;
}

// Updates the smoothed apply rate with the entries applied between two statuses.
void updateApplyRate(DatabaseView &view, const DatabaseStatus &status, Instant askedAt)
{
    const bool isComparable = view.status && view.status->applied.term == status.applied.term
                              && status.applied.position > view.status->applied.position
                              && askedAt > view.askedAt;
    if (!isComparable)
        return;
    const std::chrono::duration<double> time = askedAt - view.askedAt;
    const auto entries = static_cast<double>(status.applied.position.value()
                                             - view.status->applied.position.value());
    const double rate = entries / time.count();
    view.appliedPerSecond =
            view.appliedPerSecond == 0
                    ? rate
                    : view.appliedPerSecond + (rate - view.appliedPerSecond) / smoothingDivisor;
}

} // namespace

GroupView::GroupView(GroupId group)
    : m_group(std::move(group))
{}

void GroupView::setSites(const std::vector<DatabaseSite> &sites)
{
    std::vector<DatabaseView> databases;
    databases.reserve(sites.size());
    for (const DatabaseSite &site : sites) {
        DatabaseView view;
        if (const DatabaseView *known = find(site.database))
            view = *known;
        view.site = site;
        databases.push_back(std::move(view));
    }
    m_databases = std::move(databases);
}

void GroupView::applyStatus(const DatabaseStatus &status, Instant askedAt, Instant now)
{
    DatabaseView *view = findMutable(status.database);
    if (!view)
        return;
    mergeHistory(status.history);
    if (view->status && status.term < view->status->term)
        return;
    const bool isNewer = !view->status || askedAt >= view->askedAt;
    if (!isNewer && status.term == view->status->term)
        return;
    updateApplyRate(*view, status, askedAt);
    view->reachable = true;
    view->roundTrip = smoothed(view->roundTrip, now - askedAt);
    view->status = status;
    view->askedAt = askedAt;
    view->receivedAt = now;
}

void GroupView::probeFailed(const DatabaseId &database, Instant askedAt)
{
    DatabaseView *view = findMutable(database);
    if (view && askedAt >= view->askedAt)
        view->reachable = false;
}

void GroupView::raiseApplied(const DatabaseId &database, LogPoint point)
{
    DatabaseView *view = findMutable(database);
    const bool isOfLastTerm = view && view->status && lastTerm(view->status->history) == point.term;
    if (isOfLastTerm)
        view->status->applied = std::max(view->status->applied, point);
}

void GroupView::mergeHistory(const TermHistory &history)
{
    const TermHistory &later = laterHistory(m_history, history);
    if (&later == &m_history)
        return;
    m_history = later;
    trimHistory(m_history, maximumHistoryTerms);
}

void GroupView::sent(const DatabaseId &database)
{
    if (DatabaseView *view = findMutable(database))
        ++view->inFlight;
}

void GroupView::answered(const DatabaseId &database, Duration serviceTime)
{
    lost(database);
    if (DatabaseView *view = findMutable(database))
        view->serviceTime = smoothed(view->serviceTime, serviceTime);
}

void GroupView::lost(const DatabaseId &database)
{
    DatabaseView *view = findMutable(database);
    if (view && view->inFlight > 0)
        --view->inFlight;
}

void GroupView::setInFlight(const DatabaseId &database, unsigned inFlight)
{
    if (DatabaseView *view = findMutable(database))
        view->inFlight = inFlight;
}

const DatabaseView *GroupView::find(const DatabaseId &database) const
{
    const auto found =
            std::find_if(m_databases.begin(), m_databases.end(),
                         [&](const DatabaseView &view) { return view.site.database == database; });
    return found == m_databases.end() ? nullptr : &*found;
}

DatabaseView *GroupView::findMutable(const DatabaseId &database)
{
    return const_cast<DatabaseView *>(find(database));
}

std::size_t GroupView::majority() const
{
    return m_databases.size() / 2 + 1;
}

Term GroupView::highestTerm() const
{
    Term highest;
    for (const DatabaseView &view : m_databases) {
        if (view.status)
            highest = std::max(highest, view.status->term);
    }
    return highest;
}

std::optional<PrimaryView> GroupView::primary() const
{
    std::optional<PrimaryView> primary;
    for (const DatabaseView &view : m_databases) {
        const bool isPrimary = view.status && isPrimaryOfItsTerm(*view.status);
        if (isPrimary && (!primary || view.status->term > primary->term))
            primary = PrimaryView{view.site.database, view.status->term};
    }
    if (primary && isSuperseded(primary->term))
        return std::nullopt;
    return primary;
}

std::optional<Instant> GroupView::heldUntil(Term term) const
{
    std::vector<Instant> probeTimes;
    probeTimes.reserve(m_databases.size());
    for (const DatabaseView &view : m_databases) {
        if (view.status && view.status->term == term)
            probeTimes.push_back(view.askedAt);
    }
    if (probeTimes.size() < majority())
        return std::nullopt;
    std::sort(probeTimes.begin(), probeTimes.end(), std::greater<>());
    return probeTimes[majority() - 1];
}

bool GroupView::isSuperseded(Term term) const
{
    const auto above =
            std::count_if(m_databases.begin(), m_databases.end(), [&](const DatabaseView &view) {
                return view.status && view.status->term > term;
            });
    return static_cast<std::size_t>(above) >= majority();
}

std::size_t GroupView::copiesOf(LogPoint point, Term term) const
{
    const auto begin = std::find_if(m_history.begin(), m_history.end(),
                                    [&](const TermStart &start) { return start.term == term; });
    if (point.term < term && begin == m_history.end())
        return 0;
    const LogPoint needed = point.term < term ? LogPoint{term, begin->start} : point;
    const auto copies =
            std::count_if(m_databases.begin(), m_databases.end(), [&](const DatabaseView &view) {
                return view.status && view.status->term == term
                       && view.status->received.term == needed.term && needed.term == term
                       && view.status->received.position >= needed.position;
            });
    return static_cast<std::size_t>(copies);
}

std::optional<Duration> GroupView::ageBound(const DatabaseView &database, Instant now) const
{
    if (!database.status)
        return std::nullopt;
    const auto held = heldUntil(database.status->term);
    if (!held)
        return std::nullopt;
    const Duration byStatus = database.status->age + (now - database.askedAt);
    return std::max(byStatus, now - *held);
}

} // namespace fescuespring
