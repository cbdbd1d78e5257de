// Consumers that ask questions without waiting for the answers. Each peer opens a session, sends
// whole, valid QUERY messages at a steady rate, and reads and counts what comes back.
//
// Usage: flood IP PORT DATABASE-NAME PEERS QUESTIONS-PER-SECOND BYTES SECONDS

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;

struct Peer
{
    int fd = -1;
    std::size_t number = 0;
    bool isOpen = false;
    bool isClosed = false;
    long long asked = 0;
    std::string out;
    std::string in;
};

struct Totals
{
    long long asked = 0;
    long long bytes = 0;
    long long answers = 0;
    long long closed = 0;
};

int connectTo(const char *ip, int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip, &address.sin_addr);
    if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        std::perror("flood: connect");
        std::exit(2);
    }
    fcntl(fd, F_SETFL, O_NONBLOCK);
    return fd;
}

void readAnswers(Peer &peer, Totals &totals)
{
    char buffer[65536];
    for (;;) {
        const ssize_t size = recv(peer.fd, buffer, sizeof buffer, 0);
        if (size > 0) {
            peer.in.append(buffer, static_cast<std::size_t>(size));
            continue;
        }
        if (size == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
            peer.isClosed = true;
            ++totals.closed;
        }
        break;
    }
    std::size_t start = 0;
    for (std::size_t end = peer.in.find("\r\n"); end != std::string::npos;
         end = peer.in.find("\r\n", start)) {
        if (peer.in.compare(start, 5, "READY") == 0) {
            if (peer.isOpen)
                ++totals.answers;
            peer.isOpen = true;
        }
        start = end + 2;
    }
    peer.in.erase(0, start);
}

void ask(Peer &peer, long long due, std::size_t bytes, Totals &totals)
{
    while (peer.isOpen && !peer.isClosed && peer.asked < due && peer.out.size() < 65536) {
        std::string line = "QUERY f" + std::to_string(peer.number) + '-'
                           + std::to_string(++peer.asked) + " READ label-1,";
        line.append(bytes > line.size() + 2 ? bytes - line.size() - 2 : 0, 'x');
        peer.out += line + "\r\n";
        ++totals.asked;
    }
    while (!peer.out.empty() && !peer.isClosed) {
        const ssize_t sent = send(peer.fd, peer.out.data(), peer.out.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return;
        totals.bytes += sent;
        peer.out.erase(0, static_cast<std::size_t>(sent));
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 8) {
        std::fprintf(stderr, "usage: flood IP PORT DATABASE-NAME PEERS QUESTIONS-PER-SECOND BYTES "
                             "SECONDS\n");
        return 2;
    }
    const double perSecond = std::atof(argv[5]);
    const auto bytes = static_cast<std::size_t>(std::atoll(argv[6]));
    const double seconds = std::atof(argv[7]);
    std::vector<Peer> peers(static_cast<std::size_t>(std::atoll(argv[4])));
    std::vector<pollfd> polled(peers.size());
    for (std::size_t i = 0; i < peers.size(); ++i) {
        peers[i].fd = connectTo(argv[1], std::atoi(argv[2]));
        peers[i].number = i;
        peers[i].out = "CONNECT " + std::string(argv[3]) + " f" + std::to_string(i) + "\r\n";
    }
    Totals totals;
    const auto began = Clock::now();
    for (;;) {
        const double age = std::chrono::duration<double>(Clock::now() - began).count();
        if (age > seconds)
            break;
        for (std::size_t i = 0; i < peers.size(); ++i) {
            if (!peers[i].isClosed)
                ask(peers[i], static_cast<long long>(age * perSecond), bytes, totals);
            polled[i] = {peers[i].isClosed ? -1 : peers[i].fd, POLLIN, 0};
        }
        poll(polled.data(), polled.size(), 2);
        for (std::size_t i = 0; i < peers.size(); ++i) {
            if (!peers[i].isClosed && polled[i].revents != 0)
                readAnswers(peers[i], totals);
        }
    }
    std::printf("peers=%zu asked=%lld bytes=%lld answers=%lld closed=%lld\n", peers.size(),
                totals.asked, totals.bytes, totals.answers, totals.closed);
    return 0;
}
