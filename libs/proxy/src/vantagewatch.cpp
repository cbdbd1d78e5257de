#include "vantagewatch.h"

namespace fescuespring {

namespace {

constexpr Duration probeInterval = std::chrono::milliseconds(100);
constexpr std::chrono::milliseconds probeTimeout{250};
constexpr Duration watchTime = std::chrono::seconds(5);

} // namespace

VantageWatch::VantageWatch(EventLoop &loop, DatabasePortFactory ports, EndpointOf endpointOf)
    : m_loop(loop)
    , m_ports(std::move(ports))
    , m_endpointOf(std::move(endpointOf))
{}

VantageAnswer VantageWatch::look(const VantageRequest &request)
{
    auto found = m_watched.find(request.database);
    if (found == m_watched.end()) {
        const std::optional<Endpoint> endpoint = m_endpointOf(request);
        if (!endpoint)
            return {};
        found = m_watched.emplace(request.database, Watched{.port = m_ports(*endpoint)}).first;
        probe(request.database);
    }
    found->second.askedAt = EventLoop::now();
    if (!m_sweeping) {
        m_sweeping = true;
        m_loop.after(probeInterval, [this] { sweep(); });
    }
    return found->second.seen;
}

void VantageWatch::probe(const DatabaseId &database)
{
    m_watched.at(database).port->status(
            probeTimeout, [this, database](const Result<DatabaseStatus> &status) {
                const auto found = m_watched.find(database);
                if (found == m_watched.end())
                    return;
                const bool isReachable = status && status.value().database == database;
                VantageAnswer &seen = found->second.seen;
                seen.known = true;
                seen.reachable = isReachable;
                if (isReachable)
                    seen.term = status.value().term;
            });
}

void VantageWatch::sweep()
{
    const Instant oldest = EventLoop::now() - watchTime;
    std::erase_if(m_watched, [oldest](const auto &entry) { return entry.second.askedAt < oldest; });
    for (const auto &[database, watched] : m_watched)
        probe(database);
    m_sweeping = !m_watched.empty();
    if (m_sweeping)
        m_loop.after(probeInterval, [this] { sweep(); });
}

} // namespace fescuespring
