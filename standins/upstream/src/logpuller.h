#pragma once

#include "databasemodel/server.h"
#include "net/eventloop.h"
#include "net/httpclient.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace fescuespring {

// Keeps a replica's log up with the primary that its database follows: one question after another
// over one connection. Loop thread only.
class LogPuller
{
public:
    struct Hooks
    {
        // Whether nothing may go to this endpoint.
        std::function<bool(const Endpoint &)> isCut;

        // Called after each batch was taken in.
        std::function<void()> onReceived;
    };

    // Questions come from localIp. The server must outlive the puller.
    LogPuller(EventLoop &loop, DatabaseServer &server, std::chrono::milliseconds wait,
              std::string localIp, Hooks hooks);
    ~LogPuller();
    LogPuller(const LogPuller &) = delete;
    LogPuller &operator=(const LogPuller &) = delete;

    // Starts, or turns to another primary, where the database follows one now.
    void update();

private:
    void ask();
    void answered(const Result<HttpResponse> &result, Instant sentAt);
    void askLater();

    EventLoop &m_loop;
    DatabaseServer &m_server;
    std::chrono::milliseconds m_wait;
    std::string m_localIp;
    Hooks m_hooks;
    std::optional<Endpoint> m_primary;
    std::unique_ptr<HttpConnection> m_connection;
    EventLoop::TimerId m_timer = 0;
};

} // namespace fescuespring
