#pragma once

#include "eventloop.h"

#include <cstdint>
#include <deque>
#include <functional>

namespace fescuespring::detail {

// A database as its callers see it: so many slots, first come, first served, a cost of opening a
// connection and a limit of connections. Calls take no network time; that is the callers' matter.
class DatabaseQueue
{
public:
    DatabaseQueue(EventLoop &loop, std::uint32_t slots, std::uint32_t connectionLimit,
                  Duration openCost);

    // Tells whether the connection was opened or refused for the limit, at once if refused.
    void open(std::function<void(bool)> done);
    void close();

    void call(Duration service, std::function<void()> done);

    std::uint32_t mostConnections() const
    {
        return m_mostConnections;
    }

private:
    struct Call
    {
        Duration service{0};
        std::function<void()> done;
    };

    void start(Call call);

    EventLoop &m_loop;
    std::uint32_t m_freeSlots;
    std::uint32_t m_connectionLimit;
    Duration m_openCost;
    std::uint32_t m_connections = 0;
    std::uint32_t m_mostConnections = 0;
    std::deque<Call> m_waiting;
};

} // namespace fescuespring::detail
