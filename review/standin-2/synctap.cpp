// Stands between the VMs on one side and the store and the databases of slow-estate on the other,
// and makes the databases acknowledge a commit once one replica has received it (SyncReplicas 1):
// an answer whose position no other database has received yet is held back. In answers of the
// store, the ports of the databases are replaced by those of this program, and SyncReplicas 0 by 1.
// A database can be dark: it answers nothing, and when it is back, the connections of before are
// reset.
//
// sync-tap RECORD IP CONTROL-PORT STORE-PORT STORE-UPSTREAM [DATABASE-PORT DATABASE-UPSTREAM]...
// A connection to the control port sends one line: dark N or light N; databases count from 0.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace {

constexpr int pollMs = 10;
constexpr int syncPollMs = 5;

std::mutex recordMutex;
std::FILE *record = nullptr;
std::string ip;

void write(const std::string &line)
{
    using namespace std::chrono;
    const auto now = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
    const std::scoped_lock lock(recordMutex);
    std::fprintf(record, "%lld %s\n", static_cast<long long>(now), line.c_str());
    std::fflush(record);
}

struct Position
{
    unsigned long long term = 0;
    unsigned long long number = 0;
};

std::optional<Position> positionOf(const std::string &word)
{
    Position position;
    if (std::sscanf(word.c_str(), "%llu.%llu", &position.term, &position.number) != 2)
        return std::nullopt;
    return position;
}

sockaddr_in address(int port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &result.sin_addr);
    return result;
}

int connectTo(int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in at = address(port);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) == 0)
        return fd;
    close(fd);
    return -1;
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

void reset(int fd)
{
    const linger now{.l_onoff = 1, .l_linger = 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close(fd);
}

// A database, with a connection by which its status is asked.
struct Database
{
    int number = 0;
    int upstream = 0;
    std::atomic<bool> isDark = false;
    std::atomic<int> life = 0;
    std::mutex mutex;
    int statusFd = -1;

    std::string exchange(const std::string &text)
    {
        if (!sendAll(statusFd, text))
            return {};
        std::string reply;
        char buffer[512];
        while (reply.find("READY ") == std::string::npos || !reply.ends_with("\r\n")) {
            const ssize_t got = recv(statusFd, buffer, sizeof buffer, 0);
            if (got <= 0)
                return {};
            reply.append(buffer, static_cast<std::size_t>(got));
        }
        return reply;
    }

    // The position that the database has received; empty if it doesn't answer.
    std::optional<Position> received()
    {
        const std::scoped_lock lock(mutex);
        if (statusFd < 0) {
            statusFd = connectTo(upstream);
            if (statusFd < 0)
                return std::nullopt;
            exchange("CONNECT group0 tap\r\n");
        }
        const std::string reply = exchange("QUERY - STATUS\r\n");
        char role[16];
        unsigned long long term = 0;
        char position[64];
        if (std::sscanf(reply.c_str(), "ROW %15s %llu %63s", role, &term, position) != 3) {
            close(statusFd);
            statusFd = -1;
            return std::nullopt;
        }
        return positionOf(position);
    }
};

std::array<Database, 3> databases;
std::size_t databaseCount = 0;

// Whether a database other than this one has received a position.
bool isReceivedElsewhere(const Database &self, Position position)
{
    for (std::size_t i = 0; i < databaseCount; ++i) {
        Database &other = databases[i];
        if (&other == &self)
            continue;
        const auto received = other.received();
        if (received && received->term == position.term && received->number >= position.number)
            return true;
    }
    return false;
}

// Holds an answer back until its position is on another database; false if the database went dark.
bool awaitReplica(const Database &self, int life, const std::string &bytes)
{
    const std::size_t ready = bytes.rfind("READY ");
    if (ready == std::string::npos)
        return true;
    const auto position = positionOf(bytes.substr(ready + 8));
    if (!position || position->number <= 1)
        return true;
    while (!isReceivedElsewhere(self, *position)) {
        if (self.isDark || self.life != life)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(syncPollMs));
    }
    return true;
}

void serveDatabase(Database &database, int client)
{
    const int life = database.life;
    if (!database.isDark) {
        const int server = connectTo(database.upstream);
        std::vector<char> buffer(1 << 16);
        bool isOpen = server >= 0;
        while (isOpen && !database.isDark && database.life == life) {
            pollfd ready[2] = {{client, POLLIN, 0}, {server, POLLIN, 0}};
            if (poll(ready, 2, pollMs) <= 0)
                continue;
            for (int i = 0; i < 2 && isOpen; ++i) {
                if (ready[i].revents == 0)
                    continue;
                const ssize_t got = recv(ready[i].fd, buffer.data(), buffer.size(), 0);
                isOpen = got > 0;
                if (!isOpen || database.isDark)
                    break;
                const std::string bytes(buffer.data(), static_cast<std::size_t>(got));
                if (i == 1 && !awaitReplica(database, life, bytes))
                    break;
                isOpen = sendAll(i == 0 ? server : client, bytes);
            }
        }
        if (server >= 0)
            close(server);
        if (!database.isDark && database.life == life) {
            close(client);
            return;
        }
    }
    while (database.isDark)
        std::this_thread::sleep_for(std::chrono::milliseconds(pollMs));
    reset(client);
}

void serveStore(int upstreamPort, int client,
                const std::vector<std::pair<std::string, std::string>> &words)
{
    const int server = connectTo(upstreamPort);
    std::vector<char> buffer(1 << 20);
    bool isOpen = server >= 0;
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
            for (const auto &[from, to] : words) {
                for (std::size_t at = bytes.find(from); i == 1 && at != std::string::npos;
                     at = bytes.find(from, at))
                    bytes.replace(at, from.size(), to);
            }
            isOpen = sendAll(i == 0 ? server : client, bytes);
        }
    }
    if (server >= 0)
        close(server);
    close(client);
}

int listenAt(int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in at = address(port);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) != 0 || listen(fd, 128) != 0) {
        std::perror("sync-tap");
        std::exit(2);
    }
    return fd;
}

template <typename Serve>
void acceptAll(int fd, Serve serve)
{
    std::thread([fd, serve] {
        while (true) {
            const int client = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (client >= 0)
                std::thread([serve, client] { serve(client); }).detach();
        }
    }).detach();
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 8 || argc > 12 || argc % 2 != 0)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    record = std::fopen(argv[1], "a");
    ip = argv[2];
    std::vector<std::pair<std::string, std::string>> words{
            {"\"SyncReplicas\":0", "\"SyncReplicas\":1"}};
    for (int i = 6; i + 1 < argc; i += 2) {
        Database &database = databases[databaseCount];
        database.number = static_cast<int>(databaseCount++);
        database.upstream = std::atoi(argv[i + 1]);
        words.emplace_back(':' + std::string(argv[i + 1]) + '"', ':' + std::string(argv[i]) + '"');
        acceptAll(listenAt(std::atoi(argv[i])),
                  [&database](int client) { serveDatabase(database, client); });
    }
    acceptAll(listenAt(std::atoi(argv[4])), [upstream = std::atoi(argv[5]), words](int client) {
        serveStore(upstream, client, words);
    });
    const int control = listenAt(std::atoi(argv[3]));
    while (true) {
        const int fd = accept4(control, nullptr, nullptr, SOCK_CLOEXEC);
        char line[32] = {};
        int number = -1;
        char word[16] = {};
        if (recv(fd, line, sizeof line - 1, 0) > 0
            && std::sscanf(line, "%15s %d", word, &number) == 2 && number >= 0
            && number < static_cast<int>(databaseCount)) {
            Database &database = databases[static_cast<std::size_t>(number)];
            database.isDark = std::string(word) == "dark";
            if (!database.isDark)
                ++database.life;
            write("database " + std::to_string(number) + ": " + word);
        }
        close(fd);
    }
}
