#include "net/tcpstream.h"

#include "eventloopaccess.h"
#include "transportoptions.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>

#include <array>
#include <optional>
#include <string>

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using BoostErrorCode = boost::system::error_code;

namespace fescuespring {

namespace {

constexpr std::size_t readBufferBytes = 4096;
constexpr std::chrono::milliseconds acceptRetryDelay{50};

void setTransportOptions(Tcp::socket &socket, std::chrono::milliseconds unacknowledgedTimeout)
{
    BoostErrorCode ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    detail::setUnacknowledgedTimeout(socket, unacknowledgedTimeout);
    // Keep-alive probes detect a peer that disappears while nothing is being sent.
    const int idleSeconds = 2;
    const int intervalSeconds = 1;
    const int probes = 3;
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_KEEPIDLE, &idleSeconds, sizeof idleSeconds);
    setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_KEEPINTVL, &intervalSeconds,
               sizeof intervalSeconds);
    setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

} // namespace

struct TcpStream::Data : std::enable_shared_from_this<TcpStream::Data>
{
    explicit Data(EventLoop &loop)
        : socket(detail::EventLoopAccess::context(loop))
        , connectTimer(detail::EventLoopAccess::context(loop))
    {}

    void connect(const TcpConnectOptions &options)
    {
        BoostErrorCode error;
        const Tcp::endpoint remote = detail::toAsio<Tcp>(options.endpoint, error);
        if (!error)
            socket.open(remote.protocol(), error);
        if (!error && !options.localIp.empty())
            socket.bind(detail::toAsio<Tcp>({options.localIp, 0}, error), error);
        if (error) {
            asio::post(socket.get_executor(), [weak = weak_from_this(), error] {
                if (const auto self = weak.lock())
                    self->fail(ErrorCode::Unreachable, error.message());
            });
            return;
        }
        setTransportOptions(socket, options.unacknowledgedTimeout);
        connectTimer.expires_after(options.connectTimeout);
        connectTimer.async_wait([weak = weak_from_this()](const BoostErrorCode &cancelled) {
            const auto self = weak.lock();
            if (self && !cancelled && !self->isOpen)
                self->fail(ErrorCode::Unreachable, "connecting timed out");
        });
        socket.async_connect(remote, [weak = weak_from_this()](const BoostErrorCode &failed) {
            const auto self = weak.lock();
            if (!self || self->isEnded)
                return;
            self->connectTimer.cancel();
            if (failed)
                self->fail(ErrorCode::Unreachable, failed.message());
            else
                self->opened();
        });
    }

    void opened()
    {
        BoostErrorCode ignored;
        socket.non_blocking(true, ignored);
        isOpen = true;
        if (handlers.onConnected)
            handlers.onConnected();
        if (isEnded)
            return;
        if (!queued.empty())
            startWriting();
        read();
    }

    void read()
    {
        if (isReading || isPaused || isEnded)
            return;
        isReading = true;
        socket.async_read_some(
                asio::buffer(buffer),
                [weak = weak_from_this()](const BoostErrorCode &error, std::size_t size) {
                    if (const auto self = weak.lock())
                        self->readDone(error, size);
                });
    }

    void readDone(const BoostErrorCode &error, std::size_t size)
    {
        isReading = false;
        if (isEnded || isClosing)
            return;
        if (error) {
            fail(ErrorCode::ConnectionLost, error.message());
            return;
        }
        handlers.onBytes(std::string_view(buffer.data(), size));
        read();
    }

    void send(std::string_view bytes)
    {
        if (isEnded || isClosing)
            return;
        if (!isOpen || isWriting) {
            queued += bytes;
            return;
        }
        BoostErrorCode error;
        const std::size_t written =
                socket.write_some(asio::buffer(bytes.data(), bytes.size()), error);
        if (error && error != asio::error::would_block && error != asio::error::try_again)
            return; // The pending read fails with the error and reports it.
        if (written == bytes.size())
            return;
        queued += bytes.substr(written);
        startWriting();
    }

    void startWriting()
    {
        isWriting = true;
        writing.swap(queued);
        queued.clear();
        asio::async_write(socket, asio::buffer(writing),
                          [self = shared_from_this()](const BoostErrorCode &error, std::size_t) {
                              self->writeDone(error);
                          });
    }

    void writeDone(const BoostErrorCode &error)
    {
        isWriting = false;
        writing.clear();
        if (isEnded)
            return;
        if (error) {
            // Nothing reads any more that would report it.
            if (isClosing)
                close();
            return;
        }
        if (!queued.empty())
            startWriting();
        else if (isClosing)
            close();
    }

    void fail(ErrorCode code, const std::string &message)
    {
        if (isEnded)
            return;
        close();
        if (handlers.onClosed)
            handlers.onClosed({.code = code, .message = message});
    }

    void close()
    {
        isEnded = true;
        connectTimer.cancel();
        BoostErrorCode ignored;
        socket.close(ignored);
    }

    Tcp::socket socket;
    asio::steady_timer connectTimer;
    TcpStreamHandlers handlers;
    std::array<char, readBufferBytes> buffer;
    std::string queued;
    std::string writing;
    bool isOpen = false;
    bool isReading = false;
    bool isWriting = false;
    bool isPaused = false;
    bool isClosing = false;
    bool isEnded = false;
};

TcpStream::TcpStream(std::shared_ptr<Data> data)
    : m_data(std::move(data))
{}

TcpStream::~TcpStream()
{
    m_data->handlers = {};
    if (m_data->isEnded)
        return;
    if (m_data->isWriting)
        m_data->isClosing = true;
    else
        m_data->close();
}

std::unique_ptr<TcpStream> TcpStream::connect(EventLoop &loop, const TcpConnectOptions &options,
                                              TcpStreamHandlers handlers)
{
    auto data = std::make_shared<Data>(loop);
    data->handlers = std::move(handlers);
    data->connect(options);
    return std::unique_ptr<TcpStream>(new TcpStream(std::move(data)));
}

void TcpStream::setHandlers(TcpStreamHandlers handlers)
{
    m_data->handlers = std::move(handlers);
}

void TcpStream::send(std::string_view bytes)
{
    m_data->send(bytes);
}

std::size_t TcpStream::queuedBytes() const
{
    return m_data->isEnded ? 0 : m_data->queued.size() + m_data->writing.size();
}

void TcpStream::pauseReading()
{
    m_data->isPaused = true;
}

void TcpStream::resumeReading()
{
    m_data->isPaused = false;
    if (m_data->isOpen)
        m_data->read();
}

void TcpStream::closeAfterWriting()
{
    if (m_data->isEnded)
        return;
    m_data->isClosing = true;
    if (!m_data->isWriting)
        m_data->close();
}

void TcpStream::reset()
{
    if (m_data->isEnded)
        return;
    BoostErrorCode ignored;
    m_data->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_data->close();
}

Endpoint TcpStream::peer() const
{
    BoostErrorCode ignored;
    return detail::fromAsio(m_data->socket.remote_endpoint(ignored));
}

struct TcpListener::Data : std::enable_shared_from_this<TcpListener::Data>
{
    Data(EventLoop &eventLoop, std::chrono::milliseconds timeout, Accepted onAccepted)
        : loop(eventLoop)
        , acceptor(detail::EventLoopAccess::context(eventLoop))
        , retryTimer(detail::EventLoopAccess::context(eventLoop))
        , unacknowledgedTimeout(timeout)
        , accepted(std::move(onAccepted))
    {}

    void accept()
    {
        pending = std::make_shared<TcpStream::Data>(loop);
        acceptor.async_accept(pending->socket,
                              [weak = weak_from_this()](const BoostErrorCode &error) {
                                  if (const auto self = weak.lock())
                                      self->acceptDone(error);
                              });
    }

    void acceptDone(const BoostErrorCode &error)
    {
        if (!acceptor.is_open())
            return;
        if (error) {
            // Most likely out of file descriptors: retry when some may have been released.
            retryTimer.expires_after(acceptRetryDelay);
            retryTimer.async_wait([weak = weak_from_this()](const BoostErrorCode &cancelled) {
                const auto self = weak.lock();
                if (self && !cancelled)
                    self->accept();
            });
            return;
        }
        const std::shared_ptr<TcpStream::Data> data = std::move(pending);
        setTransportOptions(data->socket, unacknowledgedTimeout);
        accepted(std::unique_ptr<TcpStream>(new TcpStream(data)));
        if (!data->isEnded)
            data->opened();
        accept();
    }

    EventLoop &loop;
    Tcp::acceptor acceptor;
    asio::steady_timer retryTimer;
    std::chrono::milliseconds unacknowledgedTimeout;
    Accepted accepted;
    std::shared_ptr<TcpStream::Data> pending;
};

TcpListener::TcpListener(std::shared_ptr<Data> data)
    : m_data(std::move(data))
{}

TcpListener::~TcpListener()
{
    BoostErrorCode ignored;
    m_data->acceptor.close(ignored);
    m_data->retryTimer.cancel();
}

Result<std::unique_ptr<TcpListener>>
TcpListener::listen(EventLoop &loop, const Endpoint &endpoint,
                    std::chrono::milliseconds unacknowledgedTimeout, Accepted accepted)
{
    auto data = std::make_shared<Data>(loop, unacknowledgedTimeout, std::move(accepted));
    BoostErrorCode error;
    const Tcp::endpoint local = detail::toAsio<Tcp>(endpoint, error);
    if (!error)
        data->acceptor.open(local.protocol(), error);
    if (!error)
        data->acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    if (!error)
        data->acceptor.bind(local, error);
    if (!error)
        data->acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
        return Error{ErrorCode::Unreachable, "cannot listen on " + endpoint.ip + ':'
                                                     + std::to_string(endpoint.port) + ": "
                                                     + error.message()};
    }
    data->accept();
    return std::unique_ptr<TcpListener>(new TcpListener(std::move(data)));
}

Endpoint TcpListener::endpoint() const
{
    BoostErrorCode ignored;
    return detail::fromAsio(m_data->acceptor.local_endpoint(ignored));
}

} // namespace fescuespring
