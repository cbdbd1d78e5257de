#include "peerclients.h"

namespace fescuespring {

namespace {

// Entry VMs are a millisecond or two away from each other.
constexpr std::chrono::milliseconds connectTimeout{300};
constexpr std::size_t connectionsPerPeer = 256;

// The answer comes a little after the deadline that the owner keeps.
constexpr std::chrono::milliseconds answerGrace{100};

} // namespace

PeerClients::PeerClients(EventLoop &loop, std::string localIp)
    : m_loop(loop)
    , m_localIp(std::move(localIp))
{}

PeerClients::Peer &PeerClients::peer(const Endpoint &endpoint)
{
    Peer &found = m_peers[endpoint];
    if (!found.client) {
        found.client = std::make_unique<HttpClient>(
                m_loop, HttpClientOptions{.endpoint = endpoint,
                                          .localIp = m_localIp,
                                          .connectTimeout = connectTimeout,
                                          .maxConnections = connectionsPerPeer});
    }
    return found;
}

void PeerClients::forward(const Endpoint &endpoint, const ForwardedRequest &request,
                          ForwardCallback callback)
{
    Peer &target = peer(endpoint);
    const std::uint64_t exchange = ++m_lastExchange;
    target.exchanges.emplace(exchange, std::move(callback));
    target.client->send({.method = "POST",
                         .target = "/peer/v1/forward",
                         .body = encodeForwardedRequest(request)},
                        request.request.deadline + answerGrace,
                        [this, endpoint, exchange](const Result<HttpResponse> &response) {
                            auto &exchanges = m_peers[endpoint].exchanges;
                            const auto found = exchanges.find(exchange);
                            if (found == exchanges.end())
                                return;
                            const ForwardCallback done = std::move(found->second);
                            exchanges.erase(found);
                            if (!response)
                                done(Result<CallerAnswer>(response.error()));
                            else
                                done(decodeCallerAnswer(response.value().body));
                        });
}

void PeerClients::giveUp(const Endpoint &endpoint)
{
    const auto found = m_peers.find(endpoint);
    if (found == m_peers.end())
        return;
    const auto exchanges = std::exchange(found->second.exchanges, {});
    // The client may be on the call stack: it is destroyed later.
    m_loop.post([client = std::shared_ptr<HttpClient>(std::move(found->second.client))] {});
    m_peers.erase(found);
    for (const auto &[id, done] : exchanges)
        done(Result<CallerAnswer>(Error{ErrorCode::ConnectionLost, "the VM is gone"}));
}

} // namespace fescuespring
