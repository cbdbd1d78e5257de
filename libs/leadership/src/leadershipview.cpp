#include "leadership/leadershipview.h"

#include "store/objectversion.h"

#include <algorithm>

namespace fescuespring {

namespace {

// Minimum distance between floors and how long each is kept.
constexpr Duration floorSpacing = std::chrono::milliseconds(50);
constexpr Duration floorLifetime = std::chrono::seconds(30);
constexpr std::size_t maximumFloors = 64;

} // namespace

DatabaseId LeadershipView::primaryOf(const Group &group)
{
    return group.record ? group.record->primary : group.reported;
}

void LeadershipView::snapshot(const LeadershipSnapshot &snapshot, Instant askedAt)
{
    if ((m_askedAt && askedAt < *m_askedAt) || snapshot.epoch < m_epoch)
        return;
    if (snapshot.epoch > m_epoch)
        beginEpoch(snapshot.epoch);
    m_askedAt = askedAt;
    m_promotionLock = snapshot.promotionLock;
    m_origin = snapshot.origin;
    for (const LeadershipRecord &record : snapshot.records)
        applyRecord(record);
}

// The restored store may lack records, so none of them counts as stored until it is read again.
void LeadershipView::beginEpoch(StoreEpoch epoch)
{
    m_epoch = epoch;
    for (auto &[group, known] : m_groups) {
        if (known.record)
            known.record->version = ObjectVersion();
    }
}

bool LeadershipView::isChangeAnnounced(const GroupId &group) const
{
    const auto found = m_groups.find(group);
    return found != m_groups.end() && found->second.record && found->second.record->isChanging;
}

bool LeadershipView::isStoreOriginal() const
{
    return m_epoch == StoreEpoch() || m_origin == m_epoch;
}

bool LeadershipView::isConfirmed(const Group &group) const
{
    return group.record ? group.record->epoch == m_epoch : isStoreOriginal();
}

bool LeadershipView::isConfirmed(const GroupId &group) const
{
    const auto found = m_groups.find(group);
    return found == m_groups.end() ? isStoreOriginal() : isConfirmed(found->second);
}

void LeadershipView::revalidate(Instant askedAt)
{
    if (m_askedAt && askedAt > *m_askedAt)
        m_askedAt = askedAt;
}

void LeadershipView::applyRecord(const LeadershipRecord &record)
{
    Group &group = m_groups[record.group];
    const bool isOutdated = epochOf(record.version) < m_epoch
                            || (group.record && group.record->version >= record.version);
    if (isOutdated)
        return;
    m_newestVersion = std::max(m_newestVersion, record.version);
    // A restored record lacks the change of primary that this VM has already read.
    if (group.record && record.epoch < m_epoch && record.term < group.record->term) {
        group.record->version = record.version;
        group.record->epoch = record.epoch;
        return;
    }
    const bool changed = primaryOf(group) != record.primary;
    group.record = record;
    // Points of a replaced primary may be lost; those that survived are in the new primary's log.
    if (changed)
        group.floors.clear();
}

Term LeadershipView::knownTerm(const GroupId &group) const
{
    const auto found = m_groups.find(group);
    if (found == m_groups.end())
        return {};
    Term term = found->second.record ? found->second.record->term : Term();
    if (!found->second.floors.empty())
        term = std::max(term, found->second.floors.back().point.term);
    return term;
}

void LeadershipView::setReportedPrimary(const GroupId &group, const DatabaseId &database)
{
    Group &known = m_groups[group];
    if (known.record || known.reported == database)
        return;
    known.reported = database;
    known.floors.clear();
}

std::optional<LastKnownPrimary> LeadershipView::primary(const GroupId &group) const
{
    const auto found = m_groups.find(group);
    if (found == m_groups.end() || primaryOf(found->second).isEmpty())
        return std::nullopt;
    const auto &record = found->second.record;
    const bool isAnnounced = record && record->isChanging;
    return LastKnownPrimary{primaryOf(found->second), record ? record->term : Term(),
                            isAnnounced || !isConfirmed(found->second)};
}

LeadershipRecord LeadershipView::record(const GroupId &group) const
{
    const auto found = m_groups.find(group);
    if (found != m_groups.end() && found->second.record)
        return *found->second.record;
    LeadershipRecord record{.group = group};
    if (found != m_groups.end())
        record.primary = found->second.reported;
    return record;
}

void LeadershipView::limitLease(const Presence &presence)
{
    m_presence = presence;
}

bool LeadershipView::holdsLease(Instant now) const
{
    if (!m_askedAt || now >= *m_askedAt + leadershipLease)
        return false;
    return !m_presence
           || (*m_askedAt >= m_presence->since && now < m_presence->end
               && m_presence->epoch == m_epoch);
}

bool LeadershipView::isLeading(const GroupId &group, const DatabaseId &database, Instant now) const
{
    if (!holdsLease(now))
        return false;
    const auto knownPrimary = primary(group);
    return knownPrimary && knownPrimary->database == database && !knownPrimary->isChanging;
}

void LeadershipView::addPrimaryPosition(const GroupId &group, LogPoint position, Instant askedAt)
{
    std::deque<Floor> &floors = m_groups[group].floors;
    if (!floors.empty() && askedAt < floors.back().askedAt + floorSpacing)
        return;
    floors.push_back({askedAt, position});
    while (floors.size() > maximumFloors || floors.front().askedAt + floorLifetime < askedAt)
        floors.pop_front();
}

std::optional<LogPoint> LeadershipView::floor(const GroupId &group, Duration bound,
                                              Instant now) const
{
    const auto found = m_groups.find(group);
    if (found == m_groups.end())
        return std::nullopt;
    for (const Floor &floor : found->second.floors) {
        if (floor.askedAt + bound >= now)
            return floor.point;
    }
    return std::nullopt;
}

std::optional<LeadershipView::ObservedPoint> LeadershipView::newestFloor(const GroupId &group) const
{
    const auto found = m_groups.find(group);
    if (found == m_groups.end() || found->second.floors.empty())
        return std::nullopt;
    const Floor &newest = found->second.floors.back();
    return ObservedPoint{newest.point, newest.askedAt};
}

std::optional<Duration> LeadershipView::newestFloorAge(const GroupId &group, Instant now) const
{
    const auto newest = newestFloor(group);
    return newest ? std::optional(now - newest->askedAt) : std::nullopt;
}

} // namespace fescuespring
