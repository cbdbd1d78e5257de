#include "pausedreplicas.h"

namespace fescuespring::detail {

namespace {

constexpr Duration askInterval = std::chrono::milliseconds(500);
constexpr Duration commandTimeout = std::chrono::milliseconds(250);

} // namespace

PausedReplicas::PausedReplicas(const SuccessionOptions &options, const SuccessionPorts &ports)
    : m_options(options)
    , m_ports(ports)
{}

void PausedReplicas::add(const GroupId &group, const DatabaseId &database, Term term)
{
    m_groups[group][database] = {.term = term, .askedAt = {}};
}

bool PausedReplicas::resume(const GroupId &group)
{
    const auto paused = m_groups.find(group);
    if (paused == m_groups.end())
        return false;
    const Instant now = m_options.timers.now();
    bool isListed = false;
    for (const SuccessionCandidate &candidate : m_ports.databases(group)) {
        const auto replica = paused->second.find(candidate.database);
        if (replica == paused->second.end())
            continue;
        isListed = true;
        if (now < replica->second.askedAt + askInterval)
            continue;
        replica->second.askedAt = now;
        m_ports.command(
                candidate.database, {.kind = StatementKind::Status}, commandTimeout,
                [this, group, database = candidate.database,
                 alive = std::weak_ptr(m_alive)](const std::optional<StatementReply> &reply) {
                    if (!alive.expired() && reply && reply->status)
                        answered(group, database, *reply->status);
                });
    }
    return isListed;
}

// A pause for a later term belongs to another change.
void PausedReplicas::answered(const GroupId &group, const DatabaseId &database,
                              const UpstreamStatus &status)
{
    const auto paused = m_groups.find(group);
    const bool isKnown = paused != m_groups.end() && paused->second.contains(database);
    if (!isKnown)
        return;
    const bool isOwnPause =
            status.heldTerm != Term() && status.heldTerm <= paused->second.at(database).term;
    if (!isOwnPause) {
        paused->second.erase(database);
        if (paused->second.empty())
            m_groups.erase(paused);
        return;
    }
    m_options.log.info("paused-replica-resumed",
                       {{"group", group}, {"database", database}, {"term", status.heldTerm}});
    m_ports.command(database, {.kind = StatementKind::Resume}, commandTimeout,
                    [](const std::optional<StatementReply> &) {});
}

} // namespace fescuespring::detail
