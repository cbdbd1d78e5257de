#include "directory/upstreamdirectory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fescuespring {

UpstreamDirectory::UpstreamDirectory(Hooks hooks)
    : m_hooks(std::move(hooks))
{}

void UpstreamDirectory::update(const UpstreamEntry &updated)
{
    UpstreamEntry entry = updated;
    const DatabaseId &database = entry.target.database;
    const auto departed = m_departed.find(database);
    if (departed != m_departed.end() && departed->second.startedAt == entry.startedAt)
        return;
    const auto found = m_entries.find(database);
    bool isNewIncarnation = true;
    if (found != m_entries.end()) {
        const UpstreamEntry &previous = found->second;
        isNewIncarnation = previous.startedAt != entry.startedAt
                           || previous.target.endpoint != entry.target.endpoint
                           || previous.target.group != entry.target.group;
        entry.isDraining = entry.isDraining || (!isNewIncarnation && previous.isDraining);
        removeFromGroup(previous);
    }
    m_lost.erase(database);
    removeReplaced(entry);
    m_missingSince.erase(database);
    m_groups[entry.target.group].insert(database);
    m_entries[database] = entry;
    m_hooks.onEntry(entry, isNewIncarnation);
}

void UpstreamDirectory::removeFromGroup(const UpstreamEntry &entry)
{
    const auto members = m_groups.find(entry.target.group);
    if (members == m_groups.end())
        return;
    members->second.erase(entry.target.database);
    if (members->second.empty())
        m_groups.erase(members);
}

// Removes databases that are missing or lost and whose address now belongs to another database of
// the same group.
void UpstreamDirectory::removeReplaced(const UpstreamEntry &entry)
{
    const auto isReplaced = [&entry](const DatabaseId &database, const GroupId &group,
                                     const Endpoint &endpoint) {
        return database != entry.target.database && group == entry.target.group
               && endpoint == entry.target.endpoint;
    };
    std::erase_if(m_lost, [&isReplaced](const auto &lost) {
        return isReplaced(lost.first, lost.second.group, lost.second.endpoint);
    });
    for (auto &[database, departed] : m_departed) {
        if (isReplaced(database, departed.group, departed.endpoint))
            departed.isReplaced = true;
    }
    std::vector<DatabaseId> replaced;
    for (const auto &[database, since] : m_missingSince) {
        const UpstreamTarget &target = m_entries.at(database).target;
        if (isReplaced(database, target.group, target.endpoint))
            replaced.push_back(database);
    }
    for (const DatabaseId &database : replaced) {
        remove(database);
        if (const auto departed = m_departed.find(database); departed != m_departed.end())
            departed->second.isReplaced = true;
    }
}

// Removes an entry and calls onGone.
UpstreamEntry UpstreamDirectory::remove(const DatabaseId &database)
{
    UpstreamEntry removed = std::move(m_entries.extract(database).mapped());
    m_missingSince.erase(database);
    if (removed.isDraining)
        m_departed[database] = {.group = removed.target.group,
                                .endpoint = removed.target.endpoint,
                                .startedAt = removed.startedAt};
    removeFromGroup(removed);
    m_hooks.onGone(removed);
    return removed;
}

void UpstreamDirectory::vanished(const DatabaseId &database, Instant now)
{
    if (m_entries.contains(database))
        m_missingSince.try_emplace(database, now);
}

void UpstreamDirectory::replaceAll(const std::vector<UpstreamEntry> &entries, Instant now)
{
    std::set<DatabaseId> listed;
    for (const UpstreamEntry &entry : entries) {
        listed.insert(entry.target.database);
        update(entry);
    }
    for (const auto &[database, entry] : m_entries) {
        if (!listed.contains(database))
            m_missingSince.try_emplace(database, now);
    }
}

void UpstreamDirectory::expire(Instant now)
{
    std::vector<DatabaseId> expired;
    for (const auto &[database, since] : m_missingSince) {
        if (now >= since + missingEntryGrace)
            expired.push_back(database);
    }
    for (const DatabaseId &database : expired) {
        const UpstreamEntry removed = remove(database);
        if (!removed.isDraining)
            m_lost[database] = {removed.target.group, removed.target.endpoint, now};
    }
    for (auto &[database, departed] : m_departed)
        departed.goneAt = departed.goneAt.value_or(now);
    std::erase_if(m_departed, [now](const auto &departed) {
        return now >= *departed.second.goneAt + departedDatabaseRetention;
    });
}

void UpstreamDirectory::departed(const UpstreamTarget &target, std::int64_t startedAt, Instant now)
{
    if (m_entries.contains(target.database) || m_departed.contains(target.database))
        return;
    const std::vector<const UpstreamEntry *> members = group(target.group);
    const bool isReplaced = std::ranges::any_of(members, [&target](const UpstreamEntry *entry) {
        return entry->target.endpoint == target.endpoint;
    });
    m_departed[target.database] = {.group = target.group,
                                   .endpoint = target.endpoint,
                                   .startedAt = startedAt,
                                   .isReplaced = isReplaced,
                                   .goneAt = now};
}

bool UpstreamDirectory::isRecentlyDeparted(const DatabaseId &database, Instant now) const
{
    const auto departed = m_departed.find(database);
    return departed != m_departed.end() && isRecentlyDeparted(departed->second, now);
}

void UpstreamDirectory::storeAnswered(Instant askedAt, Instant now)
{
    if (m_lastAskedAt && askedAt <= *m_lastAskedAt)
        return;
    const Duration gap = m_lastAskedAt ? askedAt - *m_lastAskedAt : Duration::max();
    m_lastAskedAt = askedAt;
    // The store may have returned as late as at this answer.
    if (gap > longestAnswerGap)
        m_answersSince = now;
    if (gap > lostDatabaseRetention)
        m_isComplete = false;
    if (askedAt >= m_answersSince + missingEntryGrace)
        m_isComplete = true;
}

const UpstreamEntry *UpstreamDirectory::find(const DatabaseId &database) const
{
    const auto found = m_entries.find(database);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::vector<const UpstreamEntry *> UpstreamDirectory::group(const GroupId &group) const
{
    std::vector<const UpstreamEntry *> entries;
    const auto members = m_groups.find(group);
    if (members == m_groups.end())
        return entries;
    entries.reserve(members->second.size());
    for (const DatabaseId &database : members->second)
        entries.push_back(&m_entries.at(database));
    return entries;
}

std::vector<GroupId> UpstreamDirectory::groups() const
{
    std::vector<GroupId> groups;
    groups.reserve(m_groups.size());
    for (const auto &[group, members] : m_groups)
        groups.push_back(group);
    return groups;
}

std::vector<GroupId> UpstreamDirectory::groupsAfter(const GroupId &group, std::size_t count) const
{
    std::vector<GroupId> groups;
    auto next = m_groups.upper_bound(group);
    for (std::size_t left = std::min(count, m_groups.size()); left > 0; --left) {
        if (next == m_groups.end())
            next = m_groups.begin();
        groups.push_back(next->first);
        ++next;
    }
    return groups;
}

void UpstreamDirectory::forEach(const std::function<void(const UpstreamEntry &)> &visit) const
{
    for (const auto &[database, entry] : m_entries)
        visit(entry);
}

bool UpstreamDirectory::isRecentlyLost(const Lost &lost, Instant now)
{
    return now < lost.lostAt + lostDatabaseRetention;
}

bool UpstreamDirectory::isRecentlyDeparted(const Departed &departed, Instant now)
{
    const bool isRecent = !departed.goneAt || now < *departed.goneAt + lostDatabaseRetention;
    return isRecent && !departed.isReplaced;
}

std::size_t UpstreamDirectory::groupSize(const GroupId &group, Instant now) const
{
    const auto lost = std::count_if(m_lost.begin(), m_lost.end(), [&](const auto &entry) {
        return entry.second.group == group && isRecentlyLost(entry.second, now);
    });
    const auto members = m_groups.find(group);
    const std::size_t present = members == m_groups.end() ? 0 : members->second.size();
    return present + static_cast<std::size_t>(lost);
}

std::size_t UpstreamDirectory::assumedGroupSize(const GroupId &group, Instant now) const
{
    const std::size_t size = groupSize(group, now);
    return m_isComplete ? size : std::max(size, usualGroupSize);
}

std::size_t UpstreamDirectory::otherMembers(const GroupId &group, const DatabaseId &without,
                                            Instant now) const
{
    const auto members = m_groups.find(group);
    const auto lost = m_lost.find(without);
    const bool isPresent = members != m_groups.end() && members->second.contains(without);
    const bool isLost = lost != m_lost.end() && lost->second.group == group
                        && isRecentlyLost(lost->second, now);
    const auto departed = std::ranges::count_if(m_departed, [&](const auto &entry) {
        return entry.first != without && entry.second.group == group
               && isRecentlyDeparted(entry.second, now);
    });
    return groupSize(group, now) - (isPresent || isLost ? 1 : 0)
           + static_cast<std::size_t>(departed);
}

std::vector<UpstreamEntry> UpstreamDirectory::all() const
{
    std::vector<UpstreamEntry> entries;
    for (const auto &[database, entry] : m_entries)
        entries.push_back(entry);
    return entries;
}

} // namespace fescuespring
