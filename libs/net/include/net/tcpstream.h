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

// What the owner of a stream is told. Callbacks come on the loop thread and never from inside a
// call to the stream; after the stream was destroyed none comes.
struct TcpStreamHandlers
{
    // Bytes arrived; valid during the call only.
    std::function<void(std::string_view bytes)> onBytes = {};

    // The connection is gone, or could not be opened. Called once, as the last call.
    std::function<void(const Error &error)> onClosed = {};

    // An outgoing connection is open. May be empty.
    std::function<void()> onConnected = {};
};

struct TcpConnectOptions
{
    Endpoint endpoint;

    // Own IP number to connect from; empty lets the system choose.
    std::string localIp = {};

    std::chrono::milliseconds connectTimeout{1000};

    // Sent data that is not acknowledged for this long ends the connection.
    std::chrono::milliseconds unacknowledgedTimeout{3000};
};

// One TCP connection as a stream of bytes. Loop thread only. Destroying it closes it; bytes that
// were sent and not yet written are written first as far as the system takes them at once.
class TcpStream
{
public:
    // Begins to connect; bytes sent meanwhile are written once it is open.
    static std::unique_ptr<TcpStream> connect(EventLoop &loop, const TcpConnectOptions &options,
                                              TcpStreamHandlers handlers);

    ~TcpStream();
    TcpStream(const TcpStream &) = delete;
    TcpStream &operator=(const TcpStream &) = delete;

    // To be set by the receiver of an accepted stream, before it returns.
    void setHandlers(TcpStreamHandlers handlers);

    // Writes bytes, or queues them while the other side does not read.
    void send(std::string_view bytes);

    // Bytes queued because the other side does not read.
    std::size_t queuedBytes() const;

    // Stops reading until resumeReading, so that a fast sender is held back by TCP.
    void pauseReading();
    void resumeReading();

    // Closes once everything queued is written; onClosed is not called.
    void closeAfterWriting();

    // Closes at once and makes the other side see a reset; queued bytes are dropped.
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

    // Unreachable where the endpoint cannot be bound. Port 0 lets the system choose.
    static Result<std::unique_ptr<TcpListener>> listen(EventLoop &loop, const Endpoint &endpoint,
                                                       std::chrono::milliseconds unacknowledged,
                                                       Accepted accepted);

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
