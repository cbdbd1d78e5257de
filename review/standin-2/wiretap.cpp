// Stands between the VMs on one side and the store and the databases of standin-estate on the
// other, and records what the databases are sent. In answers of the store, the ports of the
// databases are replaced by those at which this program listens. Nothing else is changed.
//
// wire-tap RECORD IP STORE-PORT STORE-UPSTREAM [DATABASE-PORT DATABASE-UPSTREAM]...
// A port and its upstream have the same number of digits.

#include <arpa/inet.h>
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
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace {

using Replacements = std::vector<std::pair<std::string, std::string>>;

std::mutex recordMutex;
std::FILE *record = nullptr;
std::atomic<int> lastConnection = 0;

void write(const std::string &line)
{
    using namespace std::chrono;
    const auto now = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
    const std::scoped_lock lock(recordMutex);
    std::fprintf(record, "%lld %s\n", static_cast<long long>(now), line.c_str());
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

bool sendAll(int fd, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

void replace(std::string &bytes, const Replacements &replacements)
{
    for (const auto &[from, to] : replacements) {
        for (std::size_t at = bytes.find(from); at != std::string::npos; at = bytes.find(from, at))
            bytes.replace(at, from.size(), to);
    }
}

// Records the complete lines of what a VM sends to a database.
struct LineRecorder
{
    std::string name;
    std::string rest;

    void add(std::string_view bytes)
    {
        rest += bytes;
        for (std::size_t end = rest.find("\r\n"); end != std::string::npos;
             end = rest.find("\r\n")) {
            write(name + ' ' + rest.substr(0, end));
            rest.erase(0, end + 2);
        }
    }
};

void pass(int client, const std::string &ip, int upstreamPort, const Replacements &replacements,
          bool isDatabase)
{
    LineRecorder recorder{"database " + std::to_string(upstreamPort) + " connection "
                                  + std::to_string(++lastConnection),
                          {}};
    const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in at = address(ip, upstreamPort);
    bool isOpen = connect(server, reinterpret_cast<const sockaddr *>(&at), sizeof at) == 0;
    std::vector<char> buffer(1 << 20);
    while (isOpen) {
        pollfd ready[2] = {{client, POLLIN, 0}, {server, POLLIN, 0}};
        if (poll(ready, 2, -1) < 0)
            break;
        for (int i = 0; i < 2 && isOpen; ++i) {
            if (ready[i].revents == 0)
                continue;
            const ssize_t got = recv(ready[i].fd, buffer.data(), buffer.size(), 0);
            isOpen = got > 0;
            if (!isOpen)
                break;
            std::string bytes(buffer.data(), static_cast<std::size_t>(got));
            if (isDatabase && i == 0)
                recorder.add(bytes);
            if (i == 1)
                replace(bytes, replacements);
            isOpen = sendAll(i == 0 ? server : client, bytes);
        }
    }
    close(server);
    close(client);
}

void listenAt(const std::string &ip, int port, int upstreamPort, const Replacements &replacements,
              bool isDatabase)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in at = address(ip, port);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) != 0 || listen(fd, 128) != 0) {
        std::perror("wire-tap");
        std::exit(2);
    }
    std::thread([=] {
        while (true) {
            const int client = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (client >= 0)
                std::thread(pass, client, ip, upstreamPort, replacements, isDatabase).detach();
        }
    }).detach();
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 5 || argc % 2 == 0)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    record = std::fopen(argv[1], "a");
    if (!record)
        return 2;
    const std::string ip = argv[2];
    Replacements replacements;
    for (int i = 5; i + 1 < argc; i += 2) {
        replacements.emplace_back(':' + std::string(argv[i + 1]) + '"',
                                  ':' + std::string(argv[i]) + '"');
        listenAt(ip, std::atoi(argv[i]), std::atoi(argv[i + 1]), {}, true);
    }
    listenAt(ip, std::atoi(argv[3]), std::atoi(argv[4]), replacements, false);
    while (true)
        pause();
}
