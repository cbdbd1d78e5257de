#include "net/httpclient.h"

#include "eventloopaccess.h"

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
using ErrorCodeOfBoost = boost::system::error_code;

namespace fescuespring {

namespace {

// One TCP connection and what its operations work on. Every handler holds it, so that an operation
// that was given up ends on its own data, whatever the connection does next.
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

// A handler that finds another channel in place of its own, or another exchange, belongs to an
// exchange that has ended and does nothing.
struct HttpConnection::Data : std::enable_shared_from_this<HttpConnection::Data>
{
    Data(EventLoop &eventLoop, HttpConnectionOptions connectionOptions)
        : loop(eventLoop)
        , options(std::move(connectionOptions))
    {}

    void send(const HttpRequest &request, std::chrono::milliseconds timeout, HttpCallback done);
    void connect();
    boost::system::error_code bindLocal(const Tcp::endpoint &remote);
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
    std::uint64_t exchange = 0;
    bool sent = false;
};

void HttpConnection::Data::send(const HttpRequest &request, std::chrono::milliseconds timeout,
                                HttpCallback done)
{
    assert(!callback);
    callback = std::move(done);
    pending = request;
    sent = false;
    ++exchange;
    timer = loop.after(timeout, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->timer = 0;
            self->fail(self->sent ? ErrorCode::Timeout : ErrorCode::Unreachable, "timed out");
        }
    });
    if (channel)
        write();
    else
        connect();
}

void HttpConnection::Data::connect()
{
    channel = std::make_shared<Channel>(loop);
    ErrorCodeOfBoost error;
    const Tcp::endpoint endpoint = detail::toAsio<Tcp>(options.endpoint, error);
    if (!error && !options.localIp.empty())
        error = bindLocal(endpoint);
    if (error) {
        loop.post([weak = weak_from_this(), number = exchange] {
            const auto self = weak.lock();
            if (self && self->exchange == number)
                self->fail(ErrorCode::Unreachable, "not an IP number of this machine");
        });
        return;
    }
    channel->stream.expires_after(options.connectTimeout);
    channel->stream.async_connect(endpoint, [self = shared_from_this(), own = channel,
                                             number = exchange](const ErrorCodeOfBoost &failure) {
        if (!self->isCurrent(own, number))
            return;
        if (failure) {
            self->fail(ErrorCode::Unreachable, failure.message());
            return;
        }
        ErrorCodeOfBoost ignored;
        own->stream.socket().set_option(Tcp::no_delay(true), ignored);
        own->stream.expires_never();
        self->write();
    });
}

boost::system::error_code HttpConnection::Data::bindLocal(const Tcp::endpoint &remote)
{
    ErrorCodeOfBoost error;
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
                       number = exchange](const ErrorCodeOfBoost &error, std::size_t) {
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
                      number = exchange](const ErrorCodeOfBoost &error, std::size_t) {
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

// Notices that the other side closes while nothing is under way, so that no request is sent into a
// connection that is already gone.
void HttpConnection::Data::watchIdle()
{
    channel->stream.socket().async_wait(Tcp::socket::wait_read,
                                        [weak = weak_from_this(), own = channel,
                                         number = exchange](const ErrorCodeOfBoost &error) {
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
    auto message = channel->parser->release();
    HttpResponse response{.status = static_cast<int>(message.result_int()),
                          .body = std::move(message.body())};
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
    // Bytes that are still held up on the way must not arrive after the exchange was given up.
    ErrorCodeOfBoost ignored;
    if (channel && sent)
        channel->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    reset();
    const HttpCallback done = std::exchange(callback, nullptr);
    if (done)
        done(Result<HttpResponse>(Error{code, message}));
}

// Handlers of the old channel still run, with an error; they find that it is not the current one.
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

void HttpConnection::close()
{
    m_data->callback = nullptr;
    m_data->loop.cancel(m_data->timer);
    m_data->reset();
}

namespace {

struct Waiting
{
    HttpRequest request;
    Instant deadline;
    HttpCallback callback;
};

struct Pooled
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
    Pooled *idleConnection();
    Pooled *newConnection();
    void exchange(Pooled *pooled, Waiting job);
    void startWaiting();
    void armSweep();
    void sweep();

    EventLoop &loop;
    HttpClientOptions options;
    std::vector<std::unique_ptr<Pooled>> connections;
    std::deque<Waiting> waiting;
    EventLoop::TimerId sweeper = 0;
};

void HttpClient::Data::send(HttpRequest request, std::chrono::milliseconds timeout,
                            HttpCallback callback)
{
    Waiting job{std::move(request), EventLoop::now() + timeout, std::move(callback)};
    Pooled *pooled = idleConnection();
    if (pooled == nullptr)
        pooled = newConnection();
    if (pooled != nullptr) {
        exchange(pooled, std::move(job));
    } else if (waiting.size() < options.maxWaiting) {
        waiting.push_back(std::move(job));
    } else {
        loop.post([callback = std::move(job.callback)] {
            callback(Result<HttpResponse>(
                    Error{ErrorCode::Unavailable, "too many calls wait for a connection"}));
        });
    }
    armSweep();
}

// The idle connection used last, so that those not needed grow old and are closed.
Pooled *HttpClient::Data::idleConnection()
{
    Pooled *best = nullptr;
    for (const std::unique_ptr<Pooled> &pooled : connections) {
        if (pooled->connection->isBusy() || !pooled->connection->isOpen())
            continue;
        if (best == nullptr || pooled->idleSince > best->idleSince)
            best = pooled.get();
    }
    return best;
}

Pooled *HttpClient::Data::newConnection()
{
    for (const std::unique_ptr<Pooled> &pooled : connections) {
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
    connections.push_back(
            std::make_unique<Pooled>(Pooled{std::move(connection), EventLoop::now()}));
    return connections.back().get();
}

void HttpClient::Data::exchange(Pooled *pooled, Waiting job)
{
    const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(job.deadline - EventLoop::now());
    pooled->connection->send(job.request, std::max(left, std::chrono::milliseconds(1)),
                             [weak = weak_from_this(), pooled, callback = std::move(job.callback)](
                                     const Result<HttpResponse> &result) {
                                 const auto self = weak.lock();
                                 if (!self)
                                     return;
                                 pooled->idleSince = EventLoop::now();
                                 self->startWaiting();
                                 callback(result);
                             });
}

void HttpClient::Data::startWaiting()
{
    const Instant now = EventLoop::now();
    while (!waiting.empty()) {
        if (waiting.front().deadline <= now) {
            const HttpCallback callback = std::move(waiting.front().callback);
            waiting.pop_front();
            callback(Result<HttpResponse>(
                    Error{ErrorCode::Unavailable, "no connection came free in time"}));
            continue;
        }
        Pooled *pooled = idleConnection();
        if (pooled == nullptr)
            pooled = newConnection();
        if (pooled == nullptr)
            return;
        Waiting job = std::move(waiting.front());
        waiting.pop_front();
        exchange(pooled, std::move(job));
    }
}

void HttpClient::Data::armSweep()
{
    if (sweeper != 0)
        return;
    constexpr Duration sweepInterval = std::chrono::milliseconds(50);
    sweeper = loop.after(sweepInterval, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        self->sweeper = 0;
        self->sweep();
    });
}

// Ends calls that waited too long, and connections that were idle too long.
void HttpClient::Data::sweep()
{
    startWaiting();
    const Instant oldest = EventLoop::now() - options.idleTimeout;
    std::erase_if(connections, [oldest](const std::unique_ptr<Pooled> &pooled) {
        return !pooled->connection->isBusy() && pooled->idleSince < oldest;
    });
    if (!connections.empty())
        armSweep();
}

HttpClient::HttpClient(EventLoop &loop, HttpClientOptions options)
    : m_data(std::make_shared<Data>(loop, std::move(options)))
{}

HttpClient::~HttpClient()
{
    m_data->loop.cancel(m_data->sweeper);
}

void HttpClient::send(HttpRequest request, std::chrono::milliseconds timeout, HttpCallback callback)
{
    m_data->send(std::move(request), timeout, std::move(callback));
}

const Endpoint &HttpClient::endpoint() const
{
    return m_data->options.endpoint;
}

} // namespace fescuespring
