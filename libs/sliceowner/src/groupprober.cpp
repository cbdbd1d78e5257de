#include "groupprober.h"

namespace fescuespring {

GroupProber::GroupProber(GroupView &view, const DatabasePortFactory &ports,
                         std::chrono::milliseconds timeout, Hooks hooks)
    : m_view(view)
    , m_ports(ports)
    , m_timeout(timeout)
    , m_hooks(std::move(hooks))
{}

void GroupProber::updatePorts()
{
    std::map<DatabaseId, Target> targets;
    for (const DatabaseView &database : m_view.databases()) {
        const DatabaseSite &site = database.site;
        const auto old = m_targets.find(site.database);
        if (old != m_targets.end() && old->second.endpoint == site.endpoint)
            targets.emplace(site.database, old->second);
        else
            targets.emplace(site.database, Target{site.endpoint, m_ports(site.endpoint)});
    }
    m_targets = std::move(targets);
}

std::shared_ptr<DatabasePort> GroupProber::port(const DatabaseId &database) const
{
    const auto found = m_targets.find(database);
    return found == m_targets.end() ? nullptr : found->second.port;
}

void GroupProber::probeAll()
{
    for (const auto &[database, target] : m_targets)
        probe(database);
}

void GroupProber::probeWithoutPending()
{
    for (const auto &[database, target] : m_targets) {
        if (target.probesInFlight == 0)
            probe(database);
    }
}

void GroupProber::probe(const DatabaseId &database)
{
    const auto found = m_targets.find(database);
    if (found == m_targets.end())
        return;
    ++found->second.probesInFlight;
    found->second.port->status(m_timeout, [this, database, done = callback(database)](
                                                  const Result<DatabaseStatus> &status) {
        const auto target = m_targets.find(database);
        if (target != m_targets.end() && target->second.probesInFlight > 0)
            --target->second.probesInFlight;
        done(status);
    });
}

void GroupProber::fence(const DatabaseId &database, Term term)
{
    if (const auto target = port(database))
        target->fence({.term = term}, m_timeout, callback(database));
}

void GroupProber::promote(const DatabaseId &database, Term term)
{
    if (const auto target = port(database))
        target->promote({.term = term}, m_timeout, callback(database));
}

void GroupProber::follow(const DatabaseId &database, Term term, const DatabaseId &primary)
{
    const std::shared_ptr<DatabasePort> target = port(database);
    const DatabaseView *primaryView = m_view.find(primary);
    if (target == nullptr || primaryView == nullptr)
        return;
    target->follow({.term = term, .primary = primaryView->site.endpoint}, m_timeout,
                   callback(database));
}

StatusCallback GroupProber::callback(const DatabaseId &database)
{
    return [this, database, requestedAt = EventLoop::now()](const Result<DatabaseStatus> &status) {
        // An answer from a different database, as after reuse of an address, counts as a failure.
        if (!status || status.value().database != database) {
            m_view.probeFailed(database, requestedAt);
            m_hooks.callFailed();
            return;
        }
        m_view.applyStatus(status.value(), requestedAt, EventLoop::now());
        m_hooks.statusReceived(status.value(), requestedAt);
    };
}

} // namespace fescuespring
