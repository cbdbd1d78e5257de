#include "naive/naiveproxy.h"

namespace fescuespring {

NaiveProxy::NaiveProxy(Duration lostAfter)
    : m_lostAfter(lostAfter)
{}

std::optional<DatabaseId> NaiveProxy::routeRead(const GroupView &view)
{
    const auto &databases = view.databases();
    for (std::size_t i = 0; i < databases.size(); ++i) {
        const DatabaseView &candidate = databases[m_turn++ % databases.size()];
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
    Instant heardAt = Instant::min();
    for (const DatabaseView &candidate : view.databases()) {
        const bool isPrimary = candidate.status && candidate.status->role == Role::Primary;
        if (!candidate.reachable || !isPrimary || candidate.receivedAt < heardAt)
            continue;
        primary = PrimaryView{candidate.site.database, candidate.status->term};
        heardAt = candidate.receivedAt;
    }
    return primary;
}

std::optional<NaivePromotion> NaiveProxy::promote(const GroupView &view, Instant now) const
{
    const DatabaseView *longest = nullptr;
    for (const DatabaseView &candidate : view.databases()) {
        const bool isHeard = candidate.status && now - candidate.receivedAt < m_lostAfter;
        if (isHeard && candidate.status->role == Role::Primary)
            return std::nullopt;
        const bool isLonger =
                isHeard
                && (!longest
                    || candidate.status->received.position > longest->status->received.position);
        if (isLonger)
            longest = &candidate;
    }
    if (!longest)
        return std::nullopt;
    NaivePromotion promotion{.database = longest->site.database, .term = view.highestTerm().next()};
    for (const DatabaseView &other : view.databases()) {
        if (&other != longest)
            promotion.followers.push_back(other.site.database);
    }
    return promotion;
}

} // namespace fescuespring
