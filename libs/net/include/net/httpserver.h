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

// Identifies a TCP connection of one server for as long as it is open.
using HttpConnectionId = std::uint64_t;

// Why a server ended a connection or refused one; for counters.
enum class HttpServerEvent {
    Malformed,
    TooLarge,
    SlowSender,
    TooManyConnections,
};

const char *toString(HttpServerEvent event);

// Answers one request. Any thread may call it, the first call counts; a request that is never
// answered holds its connection until the server is destroyed.
using HttpResponder = std::function<void(HttpResponse)>;

struct HttpServerOptions
{
    // Port 0 lets the system choose one; see HttpServer::endpoint().
    Endpoint endpoint;

    // Lets several servers of one process, one a loop, share the port.
    bool sharedPort = false;

    std::size_t maxBodyBytes = std::size_t{256} * 1024;
    std::size_t maxConnections = 10000;

    // From the first byte of a request until its last.
    std::chrono::milliseconds readTimeout{10000};

    // Between an answer and the next request. Longer than the client's, so that a client closes
    // first and never sends into a connection that is about to be closed.
    std::chrono::milliseconds idleTimeout{120000};

    // Called on the loop thread for each request. One request at a time per connection.
    std::function<void(HttpConnectionId, const HttpRequest &, HttpResponder)> handler = {};

    // Called when a connection is gone. May be empty.
    std::function<void(HttpConnectionId)> onClosed = {};

    // Called for each connection that was ended or refused. May be empty.
    std::function<void(HttpServerEvent)> onEvent = {};
};

// An HTTP/1.1 server on one loop. Bad input ends the connection with a 4xx answer and never reaches
// the handler. Used on the loop's thread; destroying it closes every connection.
class HttpServer
{
public:
    static Result<std::unique_ptr<HttpServer>> listen(EventLoop &loop, HttpServerOptions options);

    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Where it listens, with the port that the system chose.
    Endpoint endpoint() const;

    std::size_t connectionCount() const;

    // IP number of the other side; empty if the connection is gone.
    std::string peerIp(HttpConnectionId connection) const;

    // Ends the server without cutting off a request: each answer closes its connection; after grace
    // it stops accepting and closes idle connections; calls done when none is left. The grace is
    // for clients that are about to send on an idle connection, and for the balancer to notice.
    void drain(std::chrono::milliseconds grace, std::function<void()> done);

private:
    struct Data;
    explicit HttpServer(std::shared_ptr<Data> data);
    std::shared_ptr<Data> m_data;
};

} // namespace fescuespring
