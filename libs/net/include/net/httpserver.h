#pragma once

#include "base/result.h"
#include "base/types.h"
#include "net/eventloop.h"
#include "net/http.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace fescuespring {

// Identifies a TCP connection of one server while it is open.
using HttpConnectionId = std::uint64_t;

// Why a server closed or refused a connection; for counters.
enum class HttpServerEvent {
    Malformed,
    TooLarge,
    SlowSender,
    TooManyConnections,
};

const char *toString(HttpServerEvent event);

// Answers one request. Any thread may call it; only the first call has an effect. A request that is
// never answered keeps its connection open until the server is destroyed.
using HttpResponder = std::function<void(HttpResponse)>;

struct HttpServerOptions
{
    // Port 0 lets the system choose one; see HttpServer::endpoint().
    Endpoint endpoint;

    // Lets several servers of one process, one per loop, share the port.
    bool sharedPort = false;

    std::size_t maxBodyBytes = std::size_t{256} * 1024;
    std::size_t maxConnections = 10000;

    // From the first to the last byte of a request.
    std::chrono::milliseconds readTimeout{10000};

    // Between an answer and the next request. Longer than the client's, so that the client closes
    // first and does not send on a connection that is about to be closed.
    std::chrono::milliseconds idleTimeout{120000};

    // Called on the loop thread for each request. One request at a time per connection.
    std::function<void(HttpConnectionId, const HttpRequest &, HttpResponder)> handler = {};

    // Called when a connection has been closed. May be empty.
    std::function<void(HttpConnectionId)> onClosed = {};

    // Called for each connection that the server closed or refused. May be empty.
    std::function<void(HttpServerEvent)> onEvent = {};
};

// An HTTP/1.1 server on one loop. Invalid input is answered with a 4xx status, closes the
// connection and never reaches the handler. Used on the loop's thread; destroying it closes all
// connections.
class HttpServer
{
public:
    static Result<std::unique_ptr<HttpServer>> listen(EventLoop &loop, HttpServerOptions options);

    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Endpoint on which it listens, with the port that the system chose.
    Endpoint endpoint() const;

    std::size_t connectionCount() const;

    // IP address of the peer; empty if the connection is closed.
    std::string peerIp(HttpConnectionId connection) const;

    // Shuts the server down without aborting requests: each answer closes its connection; after
    // grace the server stops accepting and closes idle connections; done is called when none is
    // left. The grace covers clients that are about to send on an idle connection, and gives the
    // load balancer time to react.
    void drain(std::chrono::milliseconds grace, std::function<void()> done);

private:
    struct Data;
    explicit HttpServer(std::shared_ptr<Data> data);
    std::shared_ptr<Data> m_data;
};

} // namespace fescuespring
