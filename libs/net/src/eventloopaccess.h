#pragma once

#include "net/eventloop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>

namespace fescuespring::detail {

// Gives the sources of this library access to the io_context of a loop.
struct EventLoopAccess
{
    static boost::asio::io_context &context(EventLoop &loop);
};

// Converts an endpoint to an Asio endpoint of Protocol; sets error if the IP address is invalid.
template <typename Protocol>
typename Protocol::endpoint toAsio(const Endpoint &endpoint, boost::system::error_code &error)
{
    return {boost::asio::ip::make_address(endpoint.ip, error), endpoint.port};
}

template <typename AsioEndpoint>
Endpoint fromAsio(const AsioEndpoint &endpoint)
{
    return {endpoint.address().to_string(), endpoint.port()};
}

} // namespace fescuespring::detail
