#include "directory/upstreamdirectory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fescuespring {

UpstreamDirectory::UpstreamDirectory(Hooks hooks)
    : m_hooks(std::move(hooks))
{}

void UpstreamDirectory::update(const UpstreamEntry &entry)
{
    const auto found = m_entries.find(entry.target.database);
    bool isNewLife = true;
    if (found != m_entries.end()) {
        const UpstreamEntry &old = found->second.entry;
        isNewLife = old.startedAt != entry.startedAt || old.target.endpoint != entry.target.endpoint
                    || old.target.group != entry.target.group;
        leaveGroup(old);
    }
    m_lost.erase(entry.target.database);
    dropPredecessors(entry);
    m_groups[entry.target.group].insert(entry.target.database);
    m_entries[entry.target.database] = {.entry = entry, .missingSince = {}};
    m_hooks.onEntry(entry, isNewLife);
}

void UpstreamDirectory::leaveGroup(const UpstreamEntry &entry)
{
    const auto members = m_groups.find(entry.target.group);
    if (members == m_groups.end())
        return;
    members->second.erase(entry.target.database);
    if (members->second.empty())
        m_groups.erase(members);
}

// A database that is missing or lost is gone for good when another one of its group is at its
// address.
void UpstreamDirectory::dropPredecessors(const UpstreamEntry &entry)
{
    const auto isReplaced = [&entry](const DatabaseId &database, const GroupId &group,
                                     const Endpoint &endpoint) {
        return database != entry.target.database && group == entry.target.group
               && endpoint == entry.target.endpoint;
    };
    std::erase_if(m_lost, [&isReplaced](const auto &lost) {
        return isReplaced(lost.first, lost.second.group, lost.second.endpoint);
    });
    for (auto known = m_entries.begin(); known != m_entries.end();) {
        const UpstreamTarget &target = known->second.entry.target;
        const bool isGone = known->second.missingSince
                            && isReplaced(known->first, target.group, target.endpoint);
        if (!isGone) {
            ++known;
            continue;
        }
        const UpstreamEntry gone = known->second.entry;
        known = m_entries.erase(known);
        leaveGroup(gone);
        m_hooks.onGone(gone);
    }
}

void UpstreamDirectory::vanished(const DatabaseId &database, Instant now)
{
    const auto found = m_entries.find(database);
    if (found != m_entries.end() && !found->second.missingSince)
        found->second.missingSince = now;
}

void UpstreamDirectory::replaceAll(const std::vector<UpstreamEntry> &entries, Instant now)
{
    std::set<DatabaseId> listed;
    for (const UpstreamEntry &entry : entries) {
        listed.insert(entry.target.database);
        update(entry);
    }
    for (auto &[database, known] : m_entries) {
        if (!listed.contains(database) && !known.missingSince)
            known.missingSince = now;
    }
}

void UpstreamDirectory::expire(Instant now)
{
    for (auto known = m_entries.begin(); known != m_entries.end();) {
        const auto &missingSince = known->second.missingSince;
        if (!missingSince || now < *missingSince + missingEntryGrace) {
            ++known;
            continue;
        }
        const UpstreamEntry gone = known->second.entry;
        known = m_entries.erase(known);
        leaveGroup(gone);
        if (!gone.isDraining)
            m_lost[gone.target.database] = {gone.target.group, gone.target.endpoint, now};
        m_hooks.onGone(gone);
    }
}

const UpstreamEntry *UpstreamDirectory::find(const DatabaseId &database) const
{
    const auto found = m_entries.find(database);
    return found == m_entries.end() ? nullptr : &found->second.entry;
}

std::vector<UpstreamEntry> UpstreamDirectory::group(const GroupId &group) const
{
    std::vector<UpstreamEntry> entries;
    const auto members = m_groups.find(group);
    if (members == m_groups.end())
        return entries;
    entries.reserve(members->second.size());
    for (const DatabaseId &database : members->second)
        entries.push_back(m_entries.at(database).entry);
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

void UpstreamDirectory::forEach(const std::function<void(const UpstreamEntry &)> &visit) const
{
    for (const auto &[database, known] : m_entries)
        visit(known.entry);
}

std::size_t UpstreamDirectory::groupSize(const GroupId &group, Instant now) const
{
    const auto lost = std::count_if(m_lost.begin(), m_lost.end(), [&](const auto &entry) {
        return entry.second.group == group && now < entry.second.at + goneDatabaseCounts;
    });
    const auto members = m_groups.find(group);
    const std::size_t present = members == m_groups.end() ? 0 : members->second.size();
    return present + static_cast<std::size_t>(lost);
}

std::vector<UpstreamEntry> UpstreamDirectory::all() const
{
    std::vector<UpstreamEntry> entries;
    for (const auto &[database, known] : m_entries)
        entries.push_back(known.entry);
    return entries;
}

} // namespace fescuespring
