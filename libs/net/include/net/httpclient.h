#pragma once

#include "base/result.h"
#include "base/types.h"
#include "net/eventloop.h"
#include "net/http.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace fescuespring {

// Receives the outcome of an exchange. Errors: Unreachable (nothing was sent), Unavailable (no
// connection was free in time, nothing was sent), ConnectionLost and Timeout (the request may have
// been received), Malformed and TooLarge (the answer cannot be parsed).
using HttpCallback = std::function<void(const Result<HttpResponse> &)>;

struct HttpConnectionOptions
{
    Endpoint endpoint;

    // Local IP address to connect from; empty lets the system choose.
    std::string localIp = {};

    std::chrono::milliseconds connectTimeout{1000};

    // Time after which the system resets the connection if the peer does not acknowledge what was
    // sent. Bytes that wait to be sent again are dropped then, also while the process does not run.
    // Zero leaves it to the system.
    std::chrono::milliseconds unacknowledgedTimeout{0};
    std::size_t maxBodyBytes = std::size_t{4} * 1024 * 1024;

    // Asked right before a request is written; if false, nothing is sent and the exchange fails as
    // Unreachable. May be empty.
    std::function<bool()> mayBeSent = {};

    // Called when the peer closes the connection while no exchange is in progress.
    std::function<void()> onClosed = {};
};

// A persistent HTTP connection with one exchange at a time. Destroying it closes the connection and
// drops the callback of an exchange in progress. Loop thread only.
class HttpConnection
{
public:
    HttpConnection(EventLoop &loop, HttpConnectionOptions options);
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    // Sends a request, connecting first if necessary, but not after the timeout. No exchange may be
    // in progress. An error closes the connection; the next exchange reconnects.
    void send(const HttpRequest &request, std::chrono::milliseconds timeout, HttpCallback callback);

    bool isOpen() const;
    bool isBusy() const;
    void close();

    // Whether anything was received, or the connection was opened, at this time or later.
    bool hasReceivedSince(Instant time) const;

    // Closes the connection; an exchange in progress fails with ConnectionLost.
    void abort(const std::string &reason);

private:
    struct Data;
    std::shared_ptr<Data> m_data;
};

struct HttpClientOptions
{
    Endpoint endpoint;

    // Local IP address to connect from; empty lets the system choose.
    std::string localIp = {};

    std::chrono::milliseconds connectTimeout{1000};
    std::size_t maxConnections = 64;
    std::size_t maxWaiting = 10000;
    std::chrono::milliseconds idleTimeout{60000};
    std::size_t maxBodyBytes = std::size_t{4} * 1024 * 1024;
};

// A pool of persistent connections to one endpoint, for calls that may use any connection. Requests
// are never resent. Loop thread only.
class HttpClient
{
public:
    HttpClient(EventLoop &loop, HttpClientOptions options);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    // The timeout includes waiting for a connection, connecting and the exchange.
    void send(HttpRequest request, std::chrono::milliseconds timeout, HttpCallback callback);

    // Which connections a call of closeSilent concerns.
    enum class Silent {
        // Those without an exchange in progress.
        Idle,
        All,
    };

    // Closes connections on which nothing was received since; exchanges in progress on them fail
    // with ConnectionLost. Returns their number.
    std::size_t closeSilent(Silent which, Instant since);

    const Endpoint &endpoint() const;

private:
    struct Data;
    std::shared_ptr<Data> m_data;
};

} // namespace fescuespring
