// The groups and their databases, as the changes of primary use them.
#include "coordination/coordinator.h"

#include <algorithm>
#include <utility>

namespace fescuespring {

namespace {

// Groups are considered in rotation, each within a second; installations with at most this many
// groups consider all of them at each tick.
constexpr std::size_t minimumGroupsPerTick = 32;
constexpr std::size_t ticksForAllGroups = 10;

} // namespace

// Returns the next groups in the rotation, and those with an unresponsive database.
std::vector<GroupId> Coordinator::groupsToConsider()
{
    const UpstreamDirectory &directory = m_upstreams.directory();
    const std::size_t share = directory.groupCount() / ticksForAllGroups + 1;
    std::vector<GroupId> groups =
            directory.groupsAfter(m_lastConsideredGroup, std::max(minimumGroupsPerTick, share));
    if (!groups.empty())
        m_lastConsideredGroup = groups.back();
    for (const auto &[database, vms] : m_vms.unresponsiveDatabases(now())) {
        if (const UpstreamEntry *entry = directory.find(database))
            groups.push_back(entry->target.group);
    }
    return groups;
}

std::vector<SuccessionCandidate> Coordinator::candidates(const GroupId &group) const
{
    std::vector<SuccessionCandidate> candidates;
    for (const UpstreamEntry *entry : m_upstreams.directory().group(group)) {
        const DatabaseId &database = entry->target.database;
        candidates.push_back({.database = database,
                              .isDraining = entry->isDraining,
                              .reportsPrimaryRole = entry->role == Role::Primary,
                              .isLost = isLost(reports(database))});
    }
    return candidates;
}

std::uint32_t Coordinator::synchronousReplicas(const GroupId &group) const
{
    const auto limits = m_configuration->groups.find(group);
    return limits == m_configuration->groups.end() ? 0 : limits->second.synchronousReplicas;
}

// Groups whose commits need a replica.
std::vector<GroupId> Coordinator::synchronousGroups() const
{
    std::vector<GroupId> groups;
    for (const auto &[group, limits] : m_configuration->groups) {
        if (limits.synchronousReplicas > 0)
            groups.push_back(group);
    }
    return groups;
}

// The entries reach a VM by watches, which may lag, and through other VMs. A VM that has just
// started has no earlier ones to hold against what it lacks, so it reads the list once before it
// relies on it.
bool Coordinator::areDatabasesKnown()
{
    if (!m_areDatabasesKnown && m_upstreams.directory().isComplete())
        readDatabases();
    return m_areDatabasesKnown;
}

void Coordinator::readDatabases()
{
    if (!m_options.readDatabases) {
        m_areDatabasesKnown = true;
        return;
    }
    if (std::exchange(m_isReadingDatabases, true))
        return;
    m_options.readDatabases([this, alive = std::weak_ptr(m_alive), askedAt = now()](bool isRead) {
        if (alive.expired())
            return;
        m_isReadingDatabases = false;
        m_areDatabasesKnown = isRead;
        m_upstreams.context().log.info("databases-read",
                                       {{"read", isRead}, {"since-start", askedAt - m_startedAt}});
        if (isRead)
            considerChanges();
    });
}

} // namespace fescuespring
