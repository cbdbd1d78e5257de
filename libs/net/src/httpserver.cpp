#include "net/httpserver.h"

#include "eventloopaccess.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <unordered_map>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;
using BoostErrorCode = boost::system::error_code;

namespace fescuespring {

namespace {

constexpr std::uint32_t headerLimitBytes = 8 * 1024;
constexpr std::size_t readChunkBytes = 4096;

// When the port closes, time for the first request on a connection that was just accepted.
constexpr std::chrono::milliseconds firstRequestGrace{250};

class Connection;

using SharedPort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

} // namespace

const char *toString(HttpServerEvent event)
{
    switch (event) {
    case HttpServerEvent::Malformed:
        return "malformed";
    case HttpServerEvent::TooLarge:
        return "too-large";
    case HttpServerEvent::SlowSender:
        return "slow-sender";
    case HttpServerEvent::TooManyConnections:
        return "too-many-connections";
    }
    return "malformed";
}

struct HttpServer::Data : std::enable_shared_from_this<HttpServer::Data>
{
    Data(EventLoop &eventLoop, HttpServerOptions serverOptions)
        : loop(eventLoop)
        , options(std::move(serverOptions))
        , acceptor(detail::EventLoopAccess::context(eventLoop))
    {}

    void accept();
    void accepted(Tcp::socket socket);
    void closed(HttpConnectionId id);
    void stopAccepting();
    void finishDrainIfEmpty();

    void report(HttpServerEvent event) const
    {
        if (options.onEvent)
            options.onEvent(event);
    }

    EventLoop &loop;
    HttpServerOptions options;
    Tcp::acceptor acceptor;
    std::unordered_map<HttpConnectionId, std::shared_ptr<Connection>> connections;
    HttpConnectionId lastConnection = 0;
    bool draining = false;
    std::function<void()> onDrained;
};

namespace {

// One accepted connection: reads a request, passes it to the handler and writes the answer, in a
// loop.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    using ServerData = std::shared_ptr<void>;

    struct Hooks
    {
        EventLoop &loop;
        const HttpServerOptions &options;
        std::function<bool()> isDraining;
        std::function<void(HttpServerEvent)> report;
        std::function<void(HttpConnectionId)> closed;
    };

    Connection(Tcp::socket socket, HttpConnectionId id, Hooks hooks)
        : m_stream(std::move(socket))
        , m_id(id)
        , m_hooks(std::move(hooks))
    {}

    void start()
    {
        readFirst();
    }

    std::string peerIp() const
    {
        BoostErrorCode ignored;
        return detail::fromAsio(m_stream.socket().remote_endpoint(ignored)).ip;
    }

    // A connection without any request so far gets a grace period: its first request is in transit.
    void closeIfIdle()
    {
        if (m_state != State::Idle)
            return;
        if (m_exchange > 0) {
            close();
            return;
        }
        m_hooks.loop.after(firstRequestGrace, [weak = weak_from_this()] {
            const std::shared_ptr<Connection> self = weak.lock();
            if (self && self->m_state == State::Idle)
                self->close();
        });
    }

    void close()
    {
        if (m_state == State::Closed)
            return;
        m_state = State::Closed;
        m_stream.close();
        m_hooks.closed(m_id);
    }

    // Closes without calling hooks; for the destruction of the server.
    void abandon()
    {
        m_state = State::Closed;
        m_stream.close();
    }

private:
    enum class State {
        Idle,
        Reading,
        Answering,
        Closed,
    };

    // Waits for the first byte of a request, with the idle timeout.
    void readFirst()
    {
        m_parser.emplace();
        m_parser->header_limit(headerLimitBytes);
        m_parser->body_limit(m_hooks.options.maxBodyBytes);
        if (m_buffer.size() > 0) {
            readRest();
            return;
        }
        m_state = State::Idle;
        m_stream.expires_after(m_hooks.options.idleTimeout);
        m_stream.async_read_some(
                m_buffer.prepare(readChunkBytes),
                [self = shared_from_this()](const BoostErrorCode &error, std::size_t bytes) {
                    if (self->m_state == State::Closed)
                        return;
                    if (error) {
                        self->close();
                        return;
                    }
                    self->m_buffer.commit(bytes);
                    self->readRest();
                });
    }

    void readRest()
    {
        m_state = State::Reading;
        m_stream.expires_after(m_hooks.options.readTimeout);
        http::async_read(m_stream, m_buffer, *m_parser,
                         [self = shared_from_this()](const BoostErrorCode &error, std::size_t) {
                             if (self->m_state == State::Closed)
                                 return;
                             if (error)
                                 self->refuse(error);
                             else
                                 self->handle();
                         });
    }

    void refuse(const BoostErrorCode &error)
    {
        if (error == beast::error::timeout) {
            m_hooks.report(HttpServerEvent::SlowSender);
            close();
            return;
        }
        if (error == http::error::body_limit || error == http::error::header_limit) {
            m_hooks.report(HttpServerEvent::TooLarge);
            answerAndClose(413, "too-large");
            return;
        }
        const bool peerClosed = error == http::error::end_of_stream
                                || error.category() == asio::error::get_system_category()
                                || error.category() == asio::error::get_misc_category();
        if (peerClosed) {
            close();
            return;
        }
        m_hooks.report(HttpServerEvent::Malformed);
        answerAndClose(400, "malformed");
    }

    void answerAndClose(int status, const std::string &reason)
    {
        m_keepAlive = false;
        m_state = State::Answering;
        write({.status = status, .body = R"({"outcome":"not-run","reason":")" + reason + "\"}"});
    }

    void handle()
    {
        m_state = State::Answering;
        m_stream.expires_never();
        auto &message = m_parser->get();
        m_keepAlive = message.keep_alive();
        const HttpRequest request{.method = std::string(message.method_string()),
                                  .target = std::string(message.target()),
                                  .body = std::move(message.body())};
        m_hooks.options.handler(m_id, request, responder());
    }

    HttpResponder responder()
    {
        const std::uint64_t exchange = ++m_exchange;
        return [weak = weak_from_this(), exchange, loop = &m_hooks.loop](HttpResponse response) {
            if (loop->isLoopThread()) {
                answer(weak, exchange, std::move(response));
                return;
            }
            loop->post([weak, exchange, response = std::move(response)]() mutable {
                answer(weak, exchange, std::move(response));
            });
        };
    }

    static void answer(const std::weak_ptr<Connection> &weak, std::uint64_t exchange,
                       HttpResponse response)
    {
        const std::shared_ptr<Connection> self = weak.lock();
        if (!self || self->m_state != State::Answering || self->m_exchange != exchange)
            return;
        ++self->m_exchange;
        if (response.dropConnection)
            self->close();
        else
            self->write(std::move(response));
    }

    void write(HttpResponse response)
    {
        m_response.emplace(static_cast<http::status>(response.status), 11);
        m_response->set(http::field::content_type, response.contentType);
        for (const HttpHeader &header : response.headers)
            m_response->set(header.name, header.value);
        m_response->body() = std::move(response.body);
        m_response->keep_alive(m_keepAlive && !m_hooks.isDraining());
        m_response->prepare_payload();
        m_stream.expires_after(m_hooks.options.readTimeout);
        http::async_write(m_stream, *m_response,
                          [self = shared_from_this()](const BoostErrorCode &error, std::size_t) {
                              if (self->m_state == State::Closed)
                                  return;
                              if (error || !self->m_response->keep_alive())
                                  self->close();
                              else
                                  self->readFirst();
                          });
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    std::optional<http::response<http::string_body>> m_response;
    HttpConnectionId m_id;
    Hooks m_hooks;
    State m_state = State::Idle;
    bool m_keepAlive = true;
    std::uint64_t m_exchange = 0;
};

} // namespace

void HttpServer::Data::accept()
{
    acceptor.async_accept(
            [weak = weak_from_this()](const BoostErrorCode &error, Tcp::socket socket) {
                const std::shared_ptr<Data> self = weak.lock();
                if (!self || !self->acceptor.is_open())
                    return;
                if (!error)
                    self->accepted(std::move(socket));
                self->accept();
            });
}

void HttpServer::Data::accepted(Tcp::socket socket)
{
    if (connections.size() >= options.maxConnections) {
        report(HttpServerEvent::TooManyConnections);
        return;
    }
    BoostErrorCode ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    const HttpConnectionId id = ++lastConnection;
    auto connection = std::make_shared<Connection>(
            std::move(socket), id,
            Connection::Hooks{.loop = loop,
                              .options = options,
                              .isDraining = [this] { return draining; },
                              .report = [this](HttpServerEvent event) { report(event); },
                              .closed =
                                      [this](HttpConnectionId which) {
                                          closed(which);
                                      }});
    connections.emplace(id, connection);
    connection->start();
}

void HttpServer::Data::closed(HttpConnectionId id)
{
    // The caller is a member function of the connection, which must outlive this call.
    const auto found = connections.find(id);
    if (found == connections.end())
        return;
    const std::shared_ptr<Connection> connection = found->second;
    connections.erase(found);
    if (options.onClosed)
        options.onClosed(id);
    if (draining)
        finishDrainIfEmpty();
}

// Accepts the connections in the listen queue first, since they may carry a request.
void HttpServer::Data::stopAccepting()
{
    BoostErrorCode error;
    acceptor.non_blocking(true, error);
    while (!error) {
        Tcp::socket socket = acceptor.accept(error);
        if (!error)
            accepted(std::move(socket));
    }
    acceptor.close(error);
    std::vector<std::shared_ptr<Connection>> open;
    for (const auto &[id, connection] : connections)
        open.push_back(connection);
    for (const std::shared_ptr<Connection> &connection : open)
        connection->closeIfIdle();
    finishDrainIfEmpty();
}

void HttpServer::Data::finishDrainIfEmpty()
{
    if (!connections.empty() || !onDrained || acceptor.is_open())
        return;
    loop.post(std::exchange(onDrained, nullptr));
}

HttpServer::HttpServer(std::shared_ptr<Data> data)
    : m_data(std::move(data))
{}

HttpServer::~HttpServer()
{
    m_data->acceptor.close();
    for (const auto &[id, connection] : m_data->connections)
        connection->abandon();
    m_data->connections.clear();
}

Result<std::unique_ptr<HttpServer>> HttpServer::listen(EventLoop &loop, HttpServerOptions options)
{
    auto data = std::make_shared<Data>(loop, std::move(options));
    const Endpoint &wanted = data->options.endpoint;
    BoostErrorCode error;
    const Tcp::endpoint endpoint = detail::toAsio<Tcp>(wanted, error);
    if (!error)
        data->acceptor.open(endpoint.protocol(), error);
    if (!error)
        data->acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    if (!error && data->options.sharedPort)
        data->acceptor.set_option(SharedPort(true), error);
    if (!error)
        data->acceptor.bind(endpoint, error);
    if (!error)
        data->acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
        return Error{ErrorCode::Unreachable, "cannot listen on " + wanted.ip + ':'
                                                     + std::to_string(wanted.port) + ": "
                                                     + error.message()};
    }
    data->accept();
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(data)));
}

Endpoint HttpServer::endpoint() const
{
    BoostErrorCode ignored;
    return detail::fromAsio(m_data->acceptor.local_endpoint(ignored));
}

std::size_t HttpServer::connectionCount() const
{
    return m_data->connections.size();
}

std::string HttpServer::peerIp(HttpConnectionId connection) const
{
    const auto found = m_data->connections.find(connection);
    return found == m_data->connections.end() ? std::string() : found->second->peerIp();
}

void HttpServer::drain(std::chrono::milliseconds grace, std::function<void()> done)
{
    m_data->draining = true;
    m_data->onDrained = std::move(done);
    m_data->loop.after(grace, [weak = std::weak_ptr(m_data)] {
        if (const auto data = weak.lock())
            data->stopAccepting();
    });
}

} // namespace fescuespring
