#include "databaseport/httpdatabaseport.h"

#include "codec/upstreamcodec.h"
#include "net/httpclient.h"

namespace fescuespring {

namespace {

constexpr std::chrono::milliseconds connectTimeout{500};

// Enough for concurrent probes, a fence and a promotion; limited so that a database that hangs does
// not exhaust what the others of the group need.
constexpr std::size_t maximumManagementConnections = 8;

HttpRequest post(const std::string &target, std::string body)
{
    return {.method = "POST", .target = target, .body = std::move(body)};
}

// Passes the decoded body, or the error, to callback.
template <typename T, typename Decode>
HttpCallback decodeWith(Decode decode, std::function<void(const Result<T> &)> callback)
{
    return [decode, callback = std::move(callback)](const Result<HttpResponse> &response) {
        if (!response) {
            callback(Result<T>(response.error()));
            return;
        }
        callback(decode(response.value().body));
    };
}

HttpCallback statusCallback(StatusCallback callback)
{
    return decodeWith<DatabaseStatus>(
            [](const std::string &body) { return decodeDatabaseStatus(body); },
            std::move(callback));
}

class HttpDatabaseConnection : public DatabaseConnection
{
public:
    HttpDatabaseConnection(EventLoop &loop, const Endpoint &endpoint, const std::string &localIp,
                           std::function<void()> onClosed)
        : m_connection(loop, {.endpoint = endpoint,
                              .localIp = localIp,
                              .connectTimeout = connectTimeout,
                              .onClosed = std::move(onClosed)})
    {}

    void open(std::chrono::milliseconds timeout, StatementCallback callback) override
    {
        m_connection.send(post("/v1/open", "{}"), timeout,
                          decodeWith<StatementAnswer>(
                                  [](const std::string &body) { return decodeOpenAnswer(body); },
                                  std::move(callback)));
    }

    void call(const StatementCall &call, std::chrono::milliseconds timeout,
              StatementCallback callback) override
    {
        m_connection.send(
                post("/v1/call", encodeStatementCall(call)), timeout,
                decodeWith<StatementAnswer>(
                        [](const std::string &body) { return decodeStatementAnswer(body); },
                        std::move(callback)));
    }

private:
    HttpConnection m_connection;
};

class HttpDatabasePort : public DatabasePort
{
public:
    HttpDatabasePort(EventLoop &loop, const Endpoint &endpoint, const std::string &localIp)
        : m_loop(loop)
        , m_localIp(localIp)
        , m_management(loop, {.endpoint = endpoint,
                              .localIp = localIp,
                              .connectTimeout = connectTimeout,
                              .maxConnections = maximumManagementConnections})
    {}

    void status(std::chrono::milliseconds timeout, StatusCallback callback) override
    {
        m_management.send({.method = "GET", .target = "/v1/status"}, timeout,
                          statusCallback(std::move(callback)));
    }

    void fence(const FenceCall &call, std::chrono::milliseconds timeout,
               StatusCallback callback) override
    {
        m_management.send(post("/v1/fence", encodeFenceCall(call)), timeout,
                          statusCallback(std::move(callback)));
    }

    void promote(const PromoteCall &call, std::chrono::milliseconds timeout,
                 StatusCallback callback) override
    {
        m_management.send(post("/v1/promote", encodePromoteCall(call)), timeout,
                          statusCallback(std::move(callback)));
    }

    void follow(const FollowCall &call, std::chrono::milliseconds timeout,
                StatusCallback callback) override
    {
        m_management.send(post("/v1/follow", encodeFollowCall(call)), timeout,
                          statusCallback(std::move(callback)));
    }

    std::unique_ptr<DatabaseConnection> connect(std::function<void()> onClosed) override
    {
        return std::make_unique<HttpDatabaseConnection>(m_loop, m_management.endpoint(), m_localIp,
                                                        std::move(onClosed));
    }

private:
    EventLoop &m_loop;
    std::string m_localIp;
    HttpClient m_management;
};

} // namespace

DatabasePortFactory httpDatabasePorts(EventLoop &loop, const std::string &localIp)
{
    return [&loop, localIp](const Endpoint &endpoint) {
        return std::make_unique<HttpDatabasePort>(loop, endpoint, localIp);
    };
}

} // namespace fescuespring
