#include "net/httpclient.h"

#include "eventloopaccess.h"
#include "transportoptions.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <cassert>
#include <deque>
#include <optional>
#include <vector>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;
using BoostErrorCode = boost::system::error_code;

namespace fescuespring {

namespace {

// One TCP connection and the buffers of its operations. Every handler shares ownership, so that an
// abandoned operation completes on its own data while the connection proceeds with a new channel.
struct Channel
{
    explicit Channel(EventLoop &loop)
        : stream(detail::EventLoopAccess::context(loop))
    {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::optional<http::request<http::string_body>> request;
    std::optional<http::response_parser<http::string_body>> parser;
};

} // namespace

// A handler does nothing if the channel or the exchange has changed since it was started: its own
// exchange has ended.
struct HttpConnection::Data : std::enable_shared_from_this<HttpConnection::Data>
{
    Data(EventLoop &eventLoop, HttpConnectionOptions connectionOptions)
        : loop(eventLoop)
        , options(std::move(connectionOptions))
    {}

    void send(const HttpRequest &request, std::chrono::milliseconds timeout, HttpCallback done);
    void connect();
    boost::system::error_code bindLocal(const Tcp::endpoint &remote);
    void connected();
    void writeIfAllowed();
    void write();
    void read();
    void watchIdle();
    void succeed();
    void fail(ErrorCode code, const std::string &message);
    void reset();
    bool isCurrent(const std::shared_ptr<Channel> &which, std::uint64_t number) const
    {
        return channel == which && exchange == number && callback;
    }

    EventLoop &loop;
    HttpConnectionOptions options;
    std::shared_ptr<Channel> channel;
    HttpRequest pending;
    HttpCallback callback;
    EventLoop::TimerId timer = 0;
    Instant deadline;
    std::uint64_t exchange = 0;
    bool sent = false;

    // When the connection was opened or the last response was complete.
    Instant lastReceived;
};

void HttpConnection::Data::send(const HttpRequest &request, std::chrono::milliseconds timeout,
                                HttpCallback done)
{
    assert(!callback);
    callback = std::move(done);
    pending = request;
    sent = false;
    ++exchange;
    deadline = EventLoop::now() + timeout;
    timer = loop.after(timeout, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->timer = 0;
            self->fail(self->sent ? ErrorCode::Timeout : ErrorCode::Unreachable, "timed out");
        }
    });
    if (channel)
        writeIfAllowed();
    else
        connect();
}

void HttpConnection::Data::connect()
{
    channel = std::make_shared<Channel>(loop);
    BoostErrorCode error;
    const Tcp::endpoint endpoint = detail::toAsio<Tcp>(options.endpoint, error);
    if (!error && !options.localIp.empty())
        error = bindLocal(endpoint);
    if (error) {
        loop.post([weak = weak_from_this(), number = exchange] {
            const auto self = weak.lock();
            if (self && self->exchange == number)
                self->fail(ErrorCode::Unreachable, "not an IP address of this machine");
        });
        return;
    }
    channel->stream.expires_after(options.connectTimeout);
    channel->stream.async_connect(endpoint, [self = shared_from_this(), own = channel,
                                             number = exchange](const BoostErrorCode &failure) {
        if (!self->isCurrent(own, number))
            return;
        if (failure) {
            self->fail(ErrorCode::Unreachable, failure.message());
            return;
        }
        self->connected();
    });
}

void HttpConnection::Data::connected()
{
    Tcp::socket &socket = channel->stream.socket();
    BoostErrorCode ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    if (options.unacknowledgedTimeout > std::chrono::milliseconds(0))
        detail::setUnacknowledgedTimeout(socket, options.unacknowledgedTimeout);
    channel->stream.expires_never();
    lastReceived = EventLoop::now();
    writeIfAllowed();
}

// After a pause of the process, the handler of an opened connection runs before the timer of the
// exchange.
void HttpConnection::Data::writeIfAllowed()
{
    const bool isLate = EventLoop::now() >= deadline;
    if (!isLate && (!options.mayBeSent || options.mayBeSent())) {
        write();
        return;
    }
    loop.post([weak = weak_from_this(), number = exchange, isLate] {
        const auto self = weak.lock();
        if (self && self->exchange == number)
            self->fail(ErrorCode::Unreachable, isLate ? "timed out" : "may not be sent any more");
    });
}

boost::system::error_code HttpConnection::Data::bindLocal(const Tcp::endpoint &remote)
{
    BoostErrorCode error;
    Tcp::socket &socket = channel->stream.socket();
    socket.open(remote.protocol(), error);
    if (error)
        return error;
    const Tcp::endpoint local = detail::toAsio<Tcp>({options.localIp, 0}, error);
    if (!error)
        socket.bind(local, error);
    return error;
}

void HttpConnection::Data::write()
{
    sent = true;
    auto &message =
            channel->request.emplace(http::string_to_verb(pending.method), pending.target, 11);
    message.set(http::field::host, options.endpoint.ip);
    for (const HttpHeader &header : pending.headers)
        message.set(header.name, header.value);
    if (!pending.body.empty())
        message.set(http::field::content_type, "application/json");
    message.body() = std::move(pending.body);
    message.prepare_payload();
    http::async_write(channel->stream, message,
                      [self = shared_from_this(), own = channel,
                       number = exchange](const BoostErrorCode &error, std::size_t) {
                          if (!self->isCurrent(own, number))
                              return;
                          if (error)
                              self->fail(ErrorCode::ConnectionLost, error.message());
                          else
                              self->read();
                      });
}

void HttpConnection::Data::read()
{
    channel->parser.emplace();
    channel->parser->body_limit(options.maxBodyBytes);
    http::async_read(channel->stream, channel->buffer, *channel->parser,
                     [self = shared_from_this(), own = channel,
                      number = exchange](const BoostErrorCode &error, std::size_t) {
                         if (!self->isCurrent(own, number))
                             return;
                         if (!error) {
                             self->succeed();
                             return;
                         }
                         const bool isOfHttp =
                                 error.category()
                                 == http::make_error_code(http::error::bad_value).category();
                         const bool isUnreadable = isOfHttp && error != http::error::end_of_stream
                                                   && error != http::error::partial_message;
                         self->fail(isUnreadable ? ErrorCode::Malformed : ErrorCode::ConnectionLost,
                                    error.message());
                     });
}

// Detects that the peer closes an idle connection, so that no request is sent on a closed
// connection.
void HttpConnection::Data::watchIdle()
{
    channel->stream.socket().async_wait(Tcp::socket::wait_read,
                                        [weak = weak_from_this(), own = channel,
                                         number = exchange](const BoostErrorCode &error) {
                                            const auto self = weak.lock();
                                            if (error || !self || self->channel != own
                                                || self->exchange != number || self->callback)
                                                return;
                                            self->reset();
                                            if (self->options.onClosed)
                                                self->options.onClosed();
                                        });
}

void HttpConnection::Data::succeed()
{
    loop.cancel(timer);
    lastReceived = EventLoop::now();
    auto message = channel->parser->release();
    HttpResponse response{.status = static_cast<int>(message.result_int()),
                          .body = std::move(message.body())};
    for (const auto &field : message)
        response.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    if (!message.keep_alive())
        reset();
    else
        watchIdle();
    const HttpCallback done = std::exchange(callback, nullptr);
    done(Result<HttpResponse>(std::move(response)));
}

void HttpConnection::Data::fail(ErrorCode code, const std::string &message)
{
    loop.cancel(timer);
    // A reset keeps delayed bytes from arriving after the exchange was abandoned.
    BoostErrorCode ignored;
    if (channel && sent)
        channel->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    reset();
    const HttpCallback done = std::exchange(callback, nullptr);
    if (done)
        done(Result<HttpResponse>(Error{code, message}));
}

// Handlers of the old channel still run, with an error; they detect that it is not the current one.
void HttpConnection::Data::reset()
{
    ++exchange;
    if (!channel)
        return;
    channel->stream.close();
    channel.reset();
}

HttpConnection::HttpConnection(EventLoop &loop, HttpConnectionOptions options)
    : m_data(std::make_shared<Data>(loop, std::move(options)))
{}

HttpConnection::~HttpConnection()
{
    close();
}

void HttpConnection::send(const HttpRequest &request, std::chrono::milliseconds timeout,
                          HttpCallback callback)
{
    m_data->send(request, timeout, std::move(callback));
}

bool HttpConnection::isOpen() const
{
    return m_data->channel != nullptr;
}

bool HttpConnection::isBusy() const
{
    return static_cast<bool>(m_data->callback);
}

bool HttpConnection::hasReceivedSince(Instant time) const
{
    const bool isReceiving = isBusy() && m_data->channel && m_data->channel->parser
                             && m_data->channel->parser->got_some();
    return isReceiving || m_data->lastReceived >= time;
}

void HttpConnection::abort(const std::string &reason)
{
    if (isBusy())
        m_data->fail(ErrorCode::ConnectionLost, reason);
    else
        close();
}

void HttpConnection::close()
{
    m_data->callback = nullptr;
    m_data->loop.cancel(m_data->timer);
    m_data->reset();
}

namespace {

struct QueuedCall
{
    HttpRequest request;
    Instant deadline;
    HttpCallback callback;
};

struct PooledConnection
{
    std::unique_ptr<HttpConnection> connection;
    Instant idleSince;
};

} // namespace

struct HttpClient::Data : std::enable_shared_from_this<HttpClient::Data>
{
    Data(EventLoop &eventLoop, HttpClientOptions clientOptions)
        : loop(eventLoop)
        , options(std::move(clientOptions))
    {}

    void send(HttpRequest request, std::chrono::milliseconds timeout, HttpCallback callback);
    PooledConnection *idleConnection();
    PooledConnection *newConnection();
    void exchange(PooledConnection *pooled, QueuedCall call);
    void startQueuedCalls();
    void scheduleSweep();
    void sweep();

    EventLoop &loop;
    HttpClientOptions options;
    std::vector<std::unique_ptr<PooledConnection>> connections;
    std::deque<QueuedCall> queuedCalls;
    EventLoop::TimerId sweepTimer = 0;
};

void HttpClient::Data::send(HttpRequest request, std::chrono::milliseconds timeout,
                            HttpCallback callback)
{
    QueuedCall call{std::move(request), EventLoop::now() + timeout, std::move(callback)};
    PooledConnection *pooled = idleConnection();
    if (pooled == nullptr)
        pooled = newConnection();
    if (pooled != nullptr) {
        exchange(pooled, std::move(call));
    } else if (queuedCalls.size() < options.maxWaiting) {
        queuedCalls.push_back(std::move(call));
    } else {
        loop.post([callback = std::move(call.callback)] {
            callback(Result<HttpResponse>(
                    Error{ErrorCode::Unavailable, "too many calls are waiting for a connection"}));
        });
    }
    scheduleSweep();
}

// Returns the most recently used idle connection, so that unneeded connections reach the idle
// timeout.
PooledConnection *HttpClient::Data::idleConnection()
{
    PooledConnection *best = nullptr;
    for (const std::unique_ptr<PooledConnection> &pooled : connections) {
        if (pooled->connection->isBusy() || !pooled->connection->isOpen())
            continue;
        if (best == nullptr || pooled->idleSince > best->idleSince)
            best = pooled.get();
    }
    return best;
}

PooledConnection *HttpClient::Data::newConnection()
{
    for (const std::unique_ptr<PooledConnection> &pooled : connections) {
        if (!pooled->connection->isBusy())
            return pooled.get();
    }
    if (connections.size() >= options.maxConnections)
        return nullptr;
    auto connection = std::make_unique<HttpConnection>(
            loop, HttpConnectionOptions{.endpoint = options.endpoint,
                                        .localIp = options.localIp,
                                        .connectTimeout = options.connectTimeout,
                                        .maxBodyBytes = options.maxBodyBytes});
    connections.push_back(std::make_unique<PooledConnection>(
            PooledConnection{std::move(connection), EventLoop::now()}));
    return connections.back().get();
}

void HttpClient::Data::exchange(PooledConnection *pooled, QueuedCall call)
{
    const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline - EventLoop::now());
    pooled->connection->send(call.request, std::max(left, std::chrono::milliseconds(1)),
                             [weak = weak_from_this(), pooled, callback = std::move(call.callback)](
                                     const Result<HttpResponse> &result) {
                                 const auto self = weak.lock();
                                 if (!self)
                                     return;
                                 pooled->idleSince = EventLoop::now();
                                 self->startQueuedCalls();
                                 callback(result);
                             });
}

void HttpClient::Data::startQueuedCalls()
{
    const Instant now = EventLoop::now();
    while (!queuedCalls.empty()) {
        if (queuedCalls.front().deadline <= now) {
            const HttpCallback callback = std::move(queuedCalls.front().callback);
            queuedCalls.pop_front();
            callback(Result<HttpResponse>(
                    Error{ErrorCode::Unavailable, "no connection was free in time"}));
            continue;
        }
        PooledConnection *pooled = idleConnection();
        if (pooled == nullptr)
            pooled = newConnection();
        if (pooled == nullptr)
            return;
        QueuedCall call = std::move(queuedCalls.front());
        queuedCalls.pop_front();
        exchange(pooled, std::move(call));
    }
}

void HttpClient::Data::scheduleSweep()
{
    if (sweepTimer != 0)
        return;
    constexpr Duration sweepInterval = std::chrono::milliseconds(50);
    sweepTimer = loop.after(sweepInterval, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        self->sweepTimer = 0;
        self->sweep();
    });
}

// Fails calls whose deadline has passed in the queue and closes connections that were idle too
// long.
void HttpClient::Data::sweep()
{
    startQueuedCalls();
    const Instant oldest = EventLoop::now() - options.idleTimeout;
    std::erase_if(connections, [oldest](const std::unique_ptr<PooledConnection> &pooled) {
        return !pooled->connection->isBusy() && pooled->idleSince < oldest;
    });
    if (!connections.empty())
        scheduleSweep();
}

HttpClient::HttpClient(EventLoop &loop, HttpClientOptions options)
    : m_data(std::make_shared<Data>(loop, std::move(options)))
{}

HttpClient::~HttpClient()
{
    m_data->loop.cancel(m_data->sweepTimer);
}

void HttpClient::send(HttpRequest request, std::chrono::milliseconds timeout, HttpCallback callback)
{
    m_data->send(std::move(request), timeout, std::move(callback));
}

std::size_t HttpClient::closeSilent(Silent which, Instant since)
{
    std::size_t closed = 0;
    // Callbacks may add connections.
    const std::size_t count = m_data->connections.size();
    for (std::size_t i = 0; i < count; ++i) {
        HttpConnection &connection = *m_data->connections[i]->connection;
        const bool isConcerned = which == Silent::All || !connection.isBusy();
        if (!isConcerned || !connection.isOpen() || connection.hasReceivedSince(since))
            continue;
        ++closed;
        connection.abort("nothing was received on the connection");
    }
    return closed;
}

const Endpoint &HttpClient::endpoint() const
{
    return m_data->options.endpoint;
}

} // namespace fescuespring
