#include "peerclients.h"

namespace fescuespring {

namespace {

// The round trip between entry VMs is one or two milliseconds.
constexpr std::chrono::milliseconds connectTimeout{300};
constexpr std::size_t connectionsPerPeer = 256;

// The owner may reply right at its deadline, and the reply takes a little longer to arrive.
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

void PeerClients::closePeer(const Endpoint &endpoint)
{
    const auto found = m_peers.find(endpoint);
    if (found == m_peers.end())
        return;
    const auto exchanges = std::exchange(found->second.exchanges, {});
    // The client may be on the call stack, so its destruction is posted to the loop.
    m_loop.post([client = std::shared_ptr<HttpClient>(std::move(found->second.client))] {});
    m_peers.erase(found);
    for (const auto &[id, done] : exchanges)
        done(Result<CallerAnswer>(
                Error{ErrorCode::ConnectionLost, "the peer VM was declared dead"}));
}

} // namespace fescuespring
