#include "vantagewatch.h"

namespace fescuespring {

namespace {

constexpr Duration probeInterval = std::chrono::milliseconds(100);
constexpr std::chrono::milliseconds probeTimeout{250};
constexpr Duration watchDuration = std::chrono::seconds(5);

} // namespace

VantageWatch::VantageWatch(EventLoop &loop, DatabasePortFactory ports, EndpointOf endpointOf)
    : m_loop(loop)
    , m_ports(std::move(ports))
    , m_endpointOf(std::move(endpointOf))
{}

VantageAnswer VantageWatch::observe(const VantageRequest &request)
{
    auto found = m_watched.find(request.database);
    if (found == m_watched.end()) {
        const std::optional<Endpoint> endpoint = m_endpointOf(request);
        if (!endpoint)
            return {};
        found = m_watched.emplace(request.database, Watched{.port = m_ports(*endpoint)}).first;
        probe(request.database);
    }
    found->second.requestedAt = EventLoop::now();
    if (!m_probing) {
        m_probing = true;
        m_loop.after(probeInterval, [this] { probeAll(); });
    }
    return found->second.lastObservation;
}

void VantageWatch::probe(const DatabaseId &database)
{
    m_watched.at(database).port->status(
            probeTimeout, [this, database](const Result<DatabaseStatus> &status) {
                const auto found = m_watched.find(database);
                if (found == m_watched.end())
                    return;
                const bool isReachable = status && status.value().database == database;
                VantageAnswer &lastObservation = found->second.lastObservation;
                lastObservation.known = true;
                lastObservation.reachable = isReachable;
                if (isReachable)
                    lastObservation.term = status.value().term;
            });
}

void VantageWatch::probeAll()
{
    const Instant oldest = EventLoop::now() - watchDuration;
    std::erase_if(m_watched,
                  [oldest](const auto &entry) { return entry.second.requestedAt < oldest; });
    for (const auto &[database, watched] : m_watched)
        probe(database);
    m_probing = !m_watched.empty();
    if (m_probing)
        m_loop.after(probeInterval, [this] { probeAll(); });
}

} // namespace fescuespring
