#include "naive/naiveproxy.h"

namespace fescuespring {

NaiveProxy::NaiveProxy(Duration lossTimeout)
    : m_lossTimeout(lossTimeout)
{}

std::optional<DatabaseId> NaiveProxy::routeRead(const GroupView &view)
{
    const auto &databases = view.databases();
    for (std::size_t i = 0; i < databases.size(); ++i) {
        const DatabaseView &candidate = databases[m_nextRead++ % databases.size()];
        const bool isReplica = candidate.status && candidate.status->role == Role::Replica;
        if (candidate.reachable && isReplica)
            return candidate.site.database;
    }
    const auto primary = routeWrite(view);
    return primary ? std::optional(primary->database) : std::nullopt;
}

std::optional<PrimaryView> NaiveProxy::routeWrite(const GroupView &view) const
{
    std::optional<PrimaryView> primary;
    Instant latestReport = Instant::min();
    for (const DatabaseView &candidate : view.databases()) {
        const bool isPrimary = candidate.status && candidate.status->role == Role::Primary;
        if (!candidate.reachable || !isPrimary || candidate.receivedAt < latestReport)
            continue;
        primary = PrimaryView{candidate.site.database, candidate.status->term};
        latestReport = candidate.receivedAt;
    }
    return primary;
}

std::optional<NaivePromotion> NaiveProxy::promote(const GroupView &view, Instant now) const
{
    const DatabaseView *mostAdvanced = nullptr;
    for (const DatabaseView &candidate : view.databases()) {
        const bool isRecent = candidate.status && now - candidate.receivedAt < m_lossTimeout;
        if (isRecent && candidate.status->role == Role::Primary)
            return std::nullopt;
        const bool isMoreAdvanced = isRecent
                                    && (!mostAdvanced
                                        || candidate.status->received.position
                                                   > mostAdvanced->status->received.position);
        if (isMoreAdvanced)
            mostAdvanced = &candidate;
    }
    if (!mostAdvanced)
        return std::nullopt;
    NaivePromotion promotion{.database = mostAdvanced->site.database,
                             .term = view.highestTerm().next()};
    for (const DatabaseView &other : view.databases()) {
        if (&other != mostAdvanced)
            promotion.followers.push_back(other.site.database);
    }
    return promotion;
}

} // namespace fescuespring
