#include "net/udpsocket.h"

#include "eventloopaccess.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>

namespace asio = boost::asio;
using Udp = asio::ip::udp;
using BoostErrorCode = boost::system::error_code;

namespace fescuespring {

struct UdpSocket::Data : std::enable_shared_from_this<UdpSocket::Data>
{
    Data(EventLoop &loop, Receiver onDatagram)
        : socket(detail::EventLoopAccess::context(loop))
        , receiver(std::move(onDatagram))
    {}

    void receive()
    {
        socket.async_receive_from(
                asio::buffer(bytes), sender,
                [weak = weak_from_this()](const BoostErrorCode &error, std::size_t size) {
                    const auto self = weak.lock();
                    if (!self || !self->socket.is_open())
                        return;
                    // An error here concerns an earlier datagram that could not be delivered.
                    if (!error) {
                        self->receiver(detail::fromAsio(self->sender),
                                       std::string_view(self->bytes.data(), size));
                    }
                    self->receive();
                });
    }

    Udp::socket socket;
    Udp::endpoint sender;
    std::array<char, 65536> bytes;
    Receiver receiver;
};

UdpSocket::UdpSocket(std::shared_ptr<Data> data)
    : m_data(std::move(data))
{}

UdpSocket::~UdpSocket()
{
    BoostErrorCode ignored;
    m_data->socket.close(ignored);
}

Result<std::unique_ptr<UdpSocket>> UdpSocket::bind(EventLoop &loop, const Endpoint &endpoint,
                                                   Receiver receiver)
{
    auto data = std::make_shared<Data>(loop, std::move(receiver));
    BoostErrorCode error;
    const Udp::endpoint local = detail::toAsio<Udp>(endpoint, error);
    if (!error)
        data->socket.open(local.protocol(), error);
    if (!error)
        data->socket.bind(local, error);
    if (!error)
        data->socket.non_blocking(true, error);
    if (error) {
        return Error{ErrorCode::Unreachable, "cannot bind UDP " + endpoint.ip + ':'
                                                     + std::to_string(endpoint.port) + ": "
                                                     + error.message()};
    }
    data->receive();
    return std::unique_ptr<UdpSocket>(new UdpSocket(std::move(data)));
}

void UdpSocket::send(const Endpoint &to, std::string_view datagram)
{
    BoostErrorCode error;
    const Udp::endpoint target = detail::toAsio<Udp>(to, error);
    if (!error)
        m_data->socket.send_to(asio::buffer(datagram.data(), datagram.size()), target, 0, error);
}

Endpoint UdpSocket::endpoint() const
{
    BoostErrorCode ignored;
    return detail::fromAsio(m_data->socket.local_endpoint(ignored));
}

} // namespace fescuespring
