// A stand-in for the way to the platform's duty calls: it listens at the address of the CloudApi,
// writes each call with its time, holder and fence number to a record, and passes it on to
// standin-estate. It can be cut off: then it completes no new connections, as if their opening
// packets were lost.
//
// duty-gate IP PORT UPSTREAM-IP UPSTREAM-PORT CONTROL-PORT RECORD
// A connection to the control port sends one line: cut, heal or quit.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace {

constexpr int connectionsToFillQueue = 3;
constexpr int pollMs = 2;
constexpr std::size_t maximumRequestBytes = 65536;

std::mutex recordMutex;
std::FILE *record = nullptr;

long long nowMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

void write(const std::string &line)
{
    const std::scoped_lock lock(recordMutex);
    std::fprintf(record, "%lld %s\n", nowMs(), line.c_str());
    std::fflush(record);
}

sockaddr_in address(const std::string &ip, int port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &result.sin_addr);
    return result;
}

int listenAt(const std::string &ip, int port, int backlog)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in at = address(ip, port);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) != 0
        || listen(fd, backlog) != 0) {
        std::perror("duty-gate");
        std::exit(2);
    }
    return fd;
}

std::string headerOf(const std::string &request, const std::string &name)
{
    const std::size_t start = request.find("\r\n" + name + ": ");
    if (start == std::string::npos)
        return "-";
    const std::size_t value = start + name.size() + 4;
    return request.substr(value, request.find("\r\n", value) - value);
}

// Reads one message of HTTP; empty if the connection ends before it is complete.
std::string receiveMessage(int fd)
{
    std::string bytes;
    char buffer[4096];
    while (bytes.size() < maximumRequestBytes) {
        const std::size_t end = bytes.find("\r\n\r\n");
        if (end != std::string::npos) {
            const std::string length = headerOf(bytes, "Content-Length");
            const std::size_t body = length == "-" ? 0 : std::strtoul(length.c_str(), nullptr, 10);
            if (bytes.size() >= end + 4 + body)
                return bytes;
        }
        const ssize_t got = recv(fd, buffer, sizeof buffer, 0);
        if (got <= 0)
            return {};
        bytes.append(buffer, static_cast<std::size_t>(got));
    }
    return {};
}

struct Gate
{
    std::string ip;
    int port = 0;
    std::string upstreamIp;
    int upstreamPort = 0;
    int listener = -1;
    std::atomic<bool> isCut = false;
    std::atomic<bool> isIdle = false;
    std::vector<int> fillers;

    std::string ask(const std::string &request) const
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in at = address(upstreamIp, upstreamPort);
        std::string response;
        if (connect(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) == 0
            && send(fd, request.data(), request.size(), MSG_NOSIGNAL) > 0)
            response = receiveMessage(fd);
        close(fd);
        return response;
    }

    void serve(int fd) const
    {
        while (true) {
            const std::string request = receiveMessage(fd);
            if (request.empty())
                break;
            const std::string body = request.substr(request.find("\r\n\r\n") + 4);
            const std::string call = "holder=" + headerOf(request, "Duty-Holder")
                                     + " token=" + headerOf(request, "Fencing-Token");
            write("call " + call + " body=" + body);
            const std::string response = ask(request);
            write("answer " + call + " "
                  + (response.empty() ? "none" : response.substr(0, response.find("\r\n"))));
            if (response.empty() || send(fd, response.data(), response.size(), MSG_NOSIGNAL) <= 0)
                break;
        }
        close(fd);
    }

    void accept()
    {
        while (true) {
            if (isCut) {
                isIdle = true;
                std::this_thread::sleep_for(std::chrono::milliseconds(pollMs));
                continue;
            }
            isIdle = false;
            pollfd ready{.fd = listener, .events = POLLIN, .revents = 0};
            if (poll(&ready, 1, pollMs) <= 0)
                continue;
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0)
                std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    // Fills the queue of new connections with own ones, so that the system drops opening packets.
    void cut()
    {
        isCut = true;
        while (!isIdle)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        const sockaddr_in at = address(ip, port);
        for (int i = 0; i < connectionsToFillQueue; ++i) {
            const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
            (void)connect(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at);
            fillers.push_back(fd);
        }
        write("cut");
    }

    void heal()
    {
        for (const int fd : fillers)
            close(fd);
        fillers.clear();
        isCut = false;
        write("heal");
    }
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 7)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    Gate gate;
    gate.ip = argv[1];
    gate.port = std::atoi(argv[2]);
    gate.upstreamIp = argv[3];
    gate.upstreamPort = std::atoi(argv[4]);
    record = std::fopen(argv[6], "a");
    if (!record)
        return 2;
    gate.listener = listenAt(gate.ip, gate.port, 0);
    const int control = listenAt(gate.ip, std::atoi(argv[5]), 16);
    std::thread([&gate] { gate.accept(); }).detach();
    while (true) {
        const int fd = accept4(control, nullptr, nullptr, SOCK_CLOEXEC);
        char line[16] = {};
        const ssize_t got = recv(fd, line, sizeof line - 1, 0);
        const std::string word = got > 0 ? std::string(line, static_cast<std::size_t>(got)) : "";
        if (word.starts_with("cut"))
            gate.cut();
        else if (word.starts_with("heal"))
            gate.heal();
        close(fd);
        if (word.starts_with("quit"))
            return 0;
    }
}
