#pragma once

#include "codec/requestcodec.h"
#include "net/eventloop.h"
#include "net/httpclient.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace fescuespring {

// Connections from one traffic thread to the peer ports of other VMs. Loop thread only.
class PeerClients
{
public:
    // Errors are those of HttpCallback: Unreachable and Unavailable mean that nothing was sent.
    using ForwardCallback = std::function<void(const Result<CallerAnswer> &)>;

    PeerClients(EventLoop &loop, std::string localIp);

    void forward(const Endpoint &peer, const ForwardedRequest &request, ForwardCallback callback);

    // Fails the pending requests to a dead peer with ConnectionLost and drops its connections.
    void closePeer(const Endpoint &peer);

private:
    struct Peer
    {
        std::unique_ptr<HttpClient> client;

        // Callbacks of the pending requests.
        std::map<std::uint64_t, ForwardCallback> exchanges;
    };

    Peer &peer(const Endpoint &endpoint);

    EventLoop &m_loop;
    std::string m_localIp;
    std::map<Endpoint, Peer> m_peers;
    std::uint64_t m_lastExchange = 0;
};

} // namespace fescuespring
