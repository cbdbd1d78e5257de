#include "logpuller.h"

#include "logcodec.h"

#include <utility>

namespace fescuespring {

namespace {

constexpr Duration retryDelay = std::chrono::milliseconds(20);
constexpr std::chrono::milliseconds answerTimeout{300};
constexpr std::size_t maximumBatchBytes = std::size_t{64} * 1024 * 1024;

} // namespace

LogPuller::LogPuller(EventLoop &loop, DatabaseServer &server, std::chrono::milliseconds wait,
                     std::string localIp, Hooks hooks)
    : m_loop(loop)
    , m_server(server)
    , m_wait(wait)
    , m_localIp(std::move(localIp))
    , m_hooks(std::move(hooks))
{}

LogPuller::~LogPuller()
{
    m_loop.cancel(m_timer);
}

void LogPuller::update()
{
    const std::optional<Endpoint> &followed = m_server.database().followed();
    if (followed == m_primary)
        return;
    m_loop.cancel(std::exchange(m_timer, 0));
    m_primary = followed;
    m_connection.reset();
    if (m_primary)
        askLater();
}

void LogPuller::ask()
{
    m_timer = 0;
    const auto request = m_server.database().nextRequest();
    if (!request || !m_primary)
        return;
    if (m_server.faults().frozen || m_hooks.isCut(*m_primary)) {
        m_connection.reset();
        askLater();
        return;
    }
    if (!m_connection)
        m_connection =
                std::make_unique<HttpConnection>(m_loop, HttpConnectionOptions{
                                                                 .endpoint = *m_primary,
                                                                 .localIp = m_localIp,
                                                                 .maxBodyBytes = maximumBatchBytes,
                                                         });
    const Instant sentAt = EventLoop::now();
    m_connection->send(
            {.method = "GET", .target = logTarget(*request, m_wait)}, m_wait + answerTimeout,
            [this, sentAt](const Result<HttpResponse> &result) { answered(result, sentAt); });
}

void LogPuller::answered(const Result<HttpResponse> &result, Instant sentAt)
{
    const bool cut = m_primary && m_hooks.isCut(*m_primary);
    if (!result || result.value().status != 200 || cut) {
        askLater();
        return;
    }
    auto batch = decodeLogBatch(result.value().body);
    if (!batch || batch.value().outcome == LogOutcome::Refused) {
        askLater();
        return;
    }
    m_server.perform(EventLoop::now(),
                     [batch = std::move(batch.value()), sentAt](Database &database, Instant now) {
                         database.receive(batch, sentAt, now);
                     });
    m_hooks.onReceived();
    const bool turnedAway = m_timer != 0 || !m_primary;
    if (!turnedAway)
        ask();
}

void LogPuller::askLater()
{
    m_timer = m_loop.after(retryDelay, [this] { ask(); });
}

} // namespace fescuespring
