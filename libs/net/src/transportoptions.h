#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <netinet/tcp.h>

#include <chrono>

namespace fescuespring::detail {

// Lets the system reset a connection whose peer does not acknowledge what was sent for this time.
inline void setUnacknowledgedTimeout(boost::asio::ip::tcp::socket &socket,
                                     std::chrono::milliseconds timeout)
{
    const auto milliseconds = static_cast<unsigned>(timeout.count());
    setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds,
               sizeof milliseconds);
}

} // namespace fescuespring::detail
