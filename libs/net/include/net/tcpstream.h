#pragma once

#include "base/result.h"
#include "base/types.h"
#include "net/eventloop.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace fescuespring {

// Callbacks to the owner of a stream. They run on the loop thread, never inside a call to the
// stream and never after its destruction.
struct TcpStreamHandlers
{
    // Bytes were received; valid during the call only.
    std::function<void(std::string_view bytes)> onBytes = {};

    // The connection was lost or could not be opened. Called once, as the last callback.
    std::function<void(const Error &error)> onClosed = {};

    // An outgoing connection was established. May be empty.
    std::function<void()> onConnected = {};
};

struct TcpConnectOptions
{
    Endpoint endpoint;

    // Local IP address to connect from; empty lets the system choose.
    std::string localIp = {};

    std::chrono::milliseconds connectTimeout{1000};

    // Closes the connection if sent data is not acknowledged for this long.
    std::chrono::milliseconds unacknowledgedTimeout{3000};
};

// A TCP connection as a stream of bytes. Loop thread only. The destructor closes the connection
// once the queued bytes are written; bytes queued while connecting are dropped.
class TcpStream
{
public:
    // Starts to connect; bytes sent meanwhile are written once the connection is open.
    static std::unique_ptr<TcpStream> connect(EventLoop &loop, const TcpConnectOptions &options,
                                              TcpStreamHandlers handlers);

    ~TcpStream();
    TcpStream(const TcpStream &) = delete;
    TcpStream &operator=(const TcpStream &) = delete;

    // Must be called by the Accepted callback before it returns.
    void setHandlers(TcpStreamHandlers handlers);

    // Writes bytes, or queues them while the peer does not read.
    void send(std::string_view bytes);

    // Number of bytes queued because the peer does not read.
    std::size_t queuedBytes() const;

    // Stops reading until resumeReading(), so that TCP flow control slows down a fast sender.
    void pauseReading();
    void resumeReading();

    // Closes the connection once everything queued is written; onClosed is not called.
    void closeAfterWriting();

    // Aborts the connection with a TCP reset; queued bytes are dropped.
    void reset();

    Endpoint peer() const;

private:
    friend class TcpListener;
    struct Data;
    explicit TcpStream(std::shared_ptr<Data> data);
    std::shared_ptr<Data> m_data;
};

// Accepts TCP connections on one endpoint. Loop thread only.
class TcpListener
{
public:
    using Accepted = std::function<void(std::unique_ptr<TcpStream>)>;

    // Fails with Unreachable if the endpoint cannot be bound. Port 0 lets the system choose.
    static Result<std::unique_ptr<TcpListener>>
    listen(EventLoop &loop, const Endpoint &endpoint,
           std::chrono::milliseconds unacknowledgedTimeout, Accepted accepted);

    ~TcpListener();
    TcpListener(const TcpListener &) = delete;
    TcpListener &operator=(const TcpListener &) = delete;

    Endpoint endpoint() const;

private:
    struct Data;
    explicit TcpListener(std::shared_ptr<Data> data);
    std::shared_ptr<Data> m_data;
};

} // namespace fescuespring
