#pragma once

#include "eventloop.h"

#include <cstdint>
#include <deque>
#include <functional>

namespace fescuespring::detail {

// Model of a database: a FIFO queue for a number of slots, a cost of opening a connection and a
// connection limit. Network delays are left to the callers.
class DatabaseQueue
{
public:
    DatabaseQueue(EventLoop &loop, std::uint32_t slots, std::uint32_t connectionLimit,
                  Duration openCost);

    // Passes to done whether the connection was opened; a refusal at the limit calls it
    // immediately.
    void open(std::function<void(bool)> done);
    void close();

    void call(Duration service, std::function<void()> done);

    std::uint32_t maximumConnections() const
    {
        return m_maximumConnections;
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
    std::uint32_t m_maximumConnections = 0;
    std::deque<Call> m_waiting;
};

} // namespace fescuespring::detail
