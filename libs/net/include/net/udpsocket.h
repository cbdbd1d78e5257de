#pragma once

#include "base/result.h"
#include "base/types.h"
#include "net/eventloop.h"

#include <functional>
#include <memory>
#include <string_view>

namespace fescuespring {

// A UDP socket on one loop. Datagrams that cannot be sent are dropped silently.
class UdpSocket
{
public:
    using Receiver = std::function<void(const Endpoint &from, std::string_view datagram)>;

    // Binds to endpoint; port 0 lets the system choose one.
    static Result<std::unique_ptr<UdpSocket>> bind(EventLoop &loop, const Endpoint &endpoint,
                                                   Receiver receiver);

    ~UdpSocket();
    UdpSocket(const UdpSocket &) = delete;
    UdpSocket &operator=(const UdpSocket &) = delete;

    void send(const Endpoint &to, std::string_view datagram);

    Endpoint endpoint() const;

private:
    struct Data;
    explicit UdpSocket(std::shared_ptr<Data> data);
    std::shared_ptr<Data> m_data;
};

} // namespace fescuespring
