#include "slopes.h"

#include "net/udpsocket.h"

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <memory>
#include <string>

namespace fescuespring {

namespace {

constexpr int datagramCount = 100000;

// Microseconds of processor time, including the kernel, per datagram sent and received.
double measureSize(std::size_t size)
{
    EventLoop loop;
    const std::string payload(size, 'x');
    std::unique_ptr<UdpSocket> socket;
    int received = 0;
    const auto receive = [&](const Endpoint &from, std::string_view) {
        if (++received < datagramCount)
            socket->send(from, payload);
        else
            loop.stop();
    };
    Result<std::unique_ptr<UdpSocket>> bound = UdpSocket::bind(loop, {"127.0.0.1", 0}, receive);
    if (!bound) {
        std::fprintf(stderr, "%s\n", describe(bound.error()).c_str());
        std::exit(1);
    }
    socket = std::move(bound.value());
    const std::clock_t start = std::clock();
    socket->send(socket->endpoint(), payload);
    loop.run();
    return static_cast<double>(std::clock() - start) * 1e6 / CLOCKS_PER_SEC / datagramCount;
}

} // namespace

SlopeTable measureDatagrams()
{
    SlopeTable table{"Datagrams over loopback", "bytes", {}, {}};
    Series time{"processor time of one, sent and received", "us", {}};
    for (const std::size_t size : {100UL, 400UL, 1200UL}) {
        table.sizes.push_back(static_cast<double>(size));
        time.values.push_back(measureSize(size));
    }
    table.series = {time};
    return table;
}

} // namespace fescuespring
