// A stand-in for the platform and one group of three databases, for the review's scripts. It
// follows PROTOCOL.md: the store with lists, watches and conditional writes, POST /promotion, and
// databases that speak the wire protocol, replicate, and register themselves. It writes what the
// databases run and what is promoted to standard output, a line each.
//
// Usage: site STORE-PORT SYNC-REPLICAS ROUTE-TIMEOUT-MS
// The control port is STORE-PORT + 1, the databases listen at STORE-PORT + 10 and up, on 127.0.0.1.
// POST /control/drain?db=N, likewise deaf, hears, dark, light; GET /control/state.
// An item that contains "work=MS" keeps its database at work for that time.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;

constexpr int databaseCount = 3;
constexpr int heartbeatMs = 1200;
constexpr int promotionMs = 300;
constexpr int replicationStepMs = 2;
constexpr int demotionMs = 1000;
constexpr int replicaLagMs = 60;
constexpr int defaultWorkMs = 2;
constexpr std::size_t maximumConnections = 38;
constexpr const char *groupName = "cenik-db";

long long nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch())
            .count();
}

const long long startedMs = nowMs();

std::string takeWord(std::string &text)
{
    const std::size_t blank = text.find(' ');
    std::string word = text.substr(0, blank);
    text = blank == std::string::npos ? "" : text.substr(blank + 1);
    return word;
}

void note(const std::string &line)
{
    std::printf("%lld %s\n", nowMs() - startedMs, line.c_str());
    std::fflush(stdout);
}

// Tasks at a time, called by the loop.
std::multimap<long long, std::function<void()>> tasks;

void after(long long delayMs, std::function<void()> task)
{
    tasks.emplace(nowMs() + delayMs, std::move(task));
}

// One accepted connection; `received` gets all bytes that have not been taken.
struct Connection
{
    int fd = -1;
    std::string in;
    std::string out;
    bool isClosed = false;
    std::function<void()> received;
    std::function<void()> closed;

    void flush()
    {
        while (!out.empty() && !isClosed) {
            const ssize_t sent = ::send(fd, out.data(), out.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return;
            out.erase(0, static_cast<std::size_t>(sent));
        }
    }
    void send(const std::string &bytes)
    {
        out += bytes;
        flush();
    }
    void close()
    {
        isClosed = true;
    }
};
using ConnectionPtr = std::shared_ptr<Connection>;

struct Listener
{
    int fd = -1;
    std::function<void(const ConnectionPtr &)> accepted;
    // A dark listener neither accepts nor reads.
    std::function<bool()> isDark;
};

std::vector<Listener> listeners;
std::list<std::pair<ConnectionPtr, std::size_t>> connections;

void listenAt(int port, std::function<void(const ConnectionPtr &)> accepted,
              std::function<bool()> isDark)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    const int yes = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    if (bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || listen(fd, 512) != 0) {
        std::perror("site: listen");
        std::exit(2);
    }
    listeners.push_back({fd, std::move(accepted), std::move(isDark)});
}

// ---- The store -------------------------------------------------------------------------------

struct Object
{
    long long revision = 0;
    std::string specification;
    std::string status = "null";
};

struct Event
{
    long long revision = 0;
    std::string kind;
    std::string object;
    bool isRemoved = false;
};

struct Watch
{
    ConnectionPtr connection;
    std::string kind;
    long long after = 0;
    long long until = 0;
};

long long storeRevision = 100;
std::map<std::string, std::map<std::string, Object>> objects;
std::vector<Event> history;
std::list<Watch> watches;

std::string objectText(const std::string &name, const Object &object)
{
    return R"({"meta":{"Name":")" + name + R"(","Revision":)" + std::to_string(object.revision)
           + R"(,"Created":1,"Finalizers":[],"Deleting":false},"spec":)" + object.specification
           + R"(,"status":)" + object.status + "}";
}

// The end of the JSON value that starts at `at`.
std::size_t valueEnd(const std::string &text, std::size_t at)
{
    int depth = 0;
    bool isString = false;
    for (std::size_t i = at; i < text.size(); ++i) {
        const char next = text[i];
        if (isString) {
            if (next == '\\')
                ++i;
            else if (next == '"')
                isString = false;
            continue;
        }
        if (next == '"')
            isString = true;
        else if (next == '{' || next == '[')
            ++depth;
        else if (next == '}' || next == ']' || next == ',') {
            if (depth == 0)
                return i;
            if (next != ',')
                --depth;
        }
    }
    return text.size();
}

// The text of a member of a JSON object, empty if there is none. Names are unique in what the
// program sends.
std::string member(const std::string &text, const std::string &name)
{
    std::size_t at = text.find('{');
    while (at != std::string::npos && at + 1 < text.size()) {
        const std::size_t open = text.find('"', at + 1);
        if (open == std::string::npos)
            return "";
        const std::size_t close = text.find('"', open + 1);
        const std::string key = text.substr(open + 1, close - open - 1);
        std::size_t value = text.find(':', close) + 1;
        const std::size_t end = valueEnd(text, value);
        if (key == name)
            return text.substr(value, end - value);
        at = end;
        if (at >= text.size() || text[at] != ',')
            return "";
    }
    return "";
}

std::string unquoted(const std::string &text)
{
    return text.size() >= 2 && text.front() == '"' ? text.substr(1, text.size() - 2) : text;
}

void respond(const ConnectionPtr &connection, int status, const std::string &body)
{
    connection->send("HTTP/1.1 " + std::to_string(status)
                     + " X\r\nContent-Type: application/json\r\nContent-Length: "
                     + std::to_string(body.size()) + "\r\n\r\n" + body);
}

bool completeWatch(const Watch &watch, bool isExpired)
{
    std::string events;
    for (const Event &event : history) {
        if (event.kind != watch.kind || event.revision <= watch.after)
            continue;
        events += (events.empty() ? "" : ",")
                  + (R"({"Removed":)" + std::string(event.isRemoved ? "true" : "false"))
                  + R"(,"Object":)" + event.object + "}";
    }
    if (events.empty() && !isExpired)
        return false;
    respond(watch.connection, 200,
            R"({"events":[)" + events + R"(],"StoreRevision":)" + std::to_string(storeRevision)
                    + "}");
    return true;
}

void checkWatches()
{
    watches.remove_if([](const Watch &watch) {
        return watch.connection->isClosed || completeWatch(watch, nowMs() >= watch.until);
    });
}

void changed(const std::string &kind, const std::string &name, const Object &object, bool isRemoved)
{
    history.push_back({storeRevision, kind, objectText(name, object), isRemoved});
    checkWatches();
}

void putObject(const std::string &kind, const std::string &name, const std::string &specification)
{
    Object &object = objects[kind][name];
    if (object.specification == specification)
        return;
    object.specification = specification;
    object.revision = ++storeRevision;
    changed(kind, name, object, false);
}

void removeObject(const std::string &kind, const std::string &name)
{
    const auto found = objects[kind].find(name);
    if (found == objects[kind].end())
        return;
    Object removed = found->second;
    removed.revision = ++storeRevision;
    objects[kind].erase(found);
    changed(kind, name, removed, true);
}

std::string queryValue(const std::string &target, const std::string &name)
{
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string pair =
                target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        if (pair.rfind(name + "=", 0) == 0)
            return pair.substr(name.size() + 1);
        at = end;
    }
    return "";
}

void readObjects(const ConnectionPtr &connection, const std::string &kind, const std::string &name,
                 const std::string &target)
{
    const std::string since = queryValue(target, "Watch");
    if (!since.empty()) {
        Watch watch{connection, kind, std::atoll(since.c_str()),
                    nowMs() + std::atoll(queryValue(target, "WaitMs").c_str())};
        if (!completeWatch(watch, false))
            watches.push_back(watch);
        return;
    }
    if (!name.empty()) {
        const auto found = objects[kind].find(name);
        if (found == objects[kind].end())
            respond(connection, 404, "{}");
        else
            respond(connection, 200, objectText(name, found->second));
        return;
    }
    std::string items;
    const std::string from = queryValue(target, "after");
    for (const auto &[itemName, object] : objects[kind]) {
        if (itemName > from)
            items += (items.empty() ? "" : ",") + objectText(itemName, object);
    }
    respond(connection, 200,
            R"({"items":[)" + items + R"(],"HasMore":false,"StoreRevision":)"
                    + std::to_string(storeRevision) + "}");
}

void writeObject(const ConnectionPtr &connection, const std::string &method,
                 const std::string &kind, std::string name, const std::string &body)
{
    const std::string meta = member(body, "meta");
    const std::string revision = member(meta, "Revision");
    if (name.empty())
        name = unquoted(member(meta, "Name"));
    auto &ofKind = objects[kind];
    const auto found = ofKind.find(name);
    const bool exists = found != ofKind.end();
    if (!exists && method != "POST") {
        respond(connection, 404, "{}");
        return;
    }
    const bool isConflict =
            exists
            && (method == "POST"
                || (!revision.empty() && std::atoll(revision.c_str()) != found->second.revision));
    if (isConflict) {
        respond(connection, 409, objectText(name, found->second));
        return;
    }
    if (method == "DELETE") {
        removeObject(kind, name);
        respond(connection, 200, "{}");
        return;
    }
    putObject(kind, name, member(body, "spec"));
    respond(connection, method == "POST" ? 201 : 200, objectText(name, ofKind[name]));
}

// ---- The databases ---------------------------------------------------------------------------

struct Commit
{
    long long term = 0;
    std::vector<std::string> ids;
    std::vector<std::pair<std::string, std::string>> writes;
};

struct Prepared
{
    bool isWrite = false;
    std::string shape;
};

struct Database
{
    int number = 0;
    std::string id;
    std::string zone;
    bool isPrimary = false;
    long long term = 1;
    long long heldTerm = 0;
    bool isPaused = false;
    bool isDeaf = false;
    bool isDark = false;
    bool isDraining = false;
    bool isGone = false;
    long long beats = 0;
    long long lastBeatMs = -100000;
    long long runs = 0;
    std::size_t sessions = 0;
    std::vector<Commit> log;

    // Commits of the log that are in `data`; a replica applies them replicaLagMs after it received
    // them.
    std::size_t applied = 0;
    std::map<std::string, std::string> data;

    std::string position() const
    {
        return std::to_string(term) + '.' + std::to_string(applied);
    }
    std::string received() const
    {
        return std::to_string(term) + '.' + std::to_string(log.size());
    }
    void applyUpTo(std::size_t count)
    {
        for (; applied < std::min(count, log.size()); ++applied) {
            for (const auto &[item, value] : log[applied].writes)
                data[item] = value;
        }
    }
    bool lacks(const std::string &point) const
    {
        const std::size_t dot = point.find('.');
        const long long pointTerm = std::atoll(point.c_str());
        const auto count = static_cast<std::size_t>(std::atoll(point.c_str() + dot + 1));
        if (count > applied || pointTerm > term)
            return true;
        return count > 0 && log[count - 1].term > pointTerm;
    }
    void rebuild()
    {
        data.clear();
        const std::size_t count = std::min(applied, log.size());
        applied = 0;
        applyUpTo(count);
    }
};

std::vector<std::unique_ptr<Database>> databases;
int leader = 0;
int promoting = -1;
long long newestTerm = 1;
int syncReplicas = 0;
int routeTimeoutMs = 2000;
int storePort = 0;

void beat(Database &database)
{
    if (database.isGone || database.isDark)
        return;
    database.lastBeatMs = nowMs();
    putObject("servers", database.id,
              R"({"Service":")" + std::string(groupName) + R"(","Address":"127.0.0.1:)"
                      + std::to_string(storePort + 10 + database.number) + R"(","Zone":")"
                      + database.zone + R"(","ConfigVersion":"v1","Slots":3,"State":")"
                      + (database.isDraining ? "draining" : "ready")
                      + R"(","ColdRemainingMs":0,"DbRole":")"
                      + (database.isPrimary ? "primary" : "replica") + R"(","Seq":)"
                      + std::to_string(++database.beats) + R"(,"born":)"
                      + std::to_string(1700000000000LL + database.number) + "}");
}

void beatAll()
{
    for (const auto &database : databases) {
        const long long age = nowMs() - database->lastBeatMs;
        if (age >= heartbeatMs)
            beat(*database);
        if (database->isDark && age >= 3 * heartbeatMs)
            removeObject("servers", database->id);
    }
    after(100, beatAll);
}

// Replicas that follow copy what they lack of the leader's log, also when it was told to stop.
void replicate()
{
    const Database &from = *databases[static_cast<std::size_t>(leader)];
    for (const auto &to : databases) {
        const bool receives = to.get() != &from && !to->isPrimary && !to->isPaused && !to->isDeaf
                              && !to->isDark && !to->isGone && !from.isDark && !from.isGone;
        if (!receives || to->term != newestTerm || to->log.size() >= from.log.size())
            continue;
        for (std::size_t i = to->log.size(); i < from.log.size(); ++i)
            to->log.push_back(from.log[i]);
        after(replicaLagMs,
              [replica = to.get(), count = to->log.size()] { replica->applyUpTo(count); });
    }
    after(replicationStepMs, replicate);
}

void follow(Database &replica)
{
    const Database &from = *databases[static_cast<std::size_t>(leader)];
    std::size_t common = 0;
    while (common < replica.log.size() && common < from.log.size()
           && replica.log[common].term == from.log[common].term)
        ++common;
    replica.isPrimary = false;
    replica.term = newestTerm;
    if (common < replica.log.size()) {
        replica.log.resize(common);
        replica.rebuild();
    }
    beat(replica);
}

void promote(int number)
{
    promoting = -1;
    Database &target = *databases[static_cast<std::size_t>(number)];
    if (target.isDark || target.isGone)
        return;
    Database &previous = *databases[static_cast<std::size_t>(leader)];
    leader = number;
    target.term = ++newestTerm;
    target.isPrimary = true;
    target.isPaused = false;
    target.heldTerm = 0;
    target.applyUpTo(target.log.size());
    std::string kept;
    for (const Commit &commit : target.log) {
        for (const std::string &id : commit.ids)
            kept += ' ' + id;
    }
    note("promoted db=" + target.id + " term=" + std::to_string(newestTerm)
         + " log=" + std::to_string(target.log.size()) + " previous=" + previous.id
         + " previous-log=" + std::to_string(previous.log.size()) + " holds:" + kept);
    beat(target);
    for (const auto &other : databases) {
        if (other.get() == &target || other->isGone)
            continue;
        other->isPaused = false;
        other->heldTerm = 0;
        if (other.get() != &previous || !previous.isPrimary)
            follow(*other);
    }
    after(demotionMs, [&previous, number] {
        if (leader == number && previous.isPrimary && !previous.isDark)
            follow(previous);
    });
}

// A connection of the program to a database.
struct Session : std::enable_shared_from_this<Session>
{
    Database &database;
    ConnectionPtr connection;
    bool isOpen = false;
    bool isBusy = false;
    char phase = 'I';
    bool isReadOnly = false;
    long long termAtBegin = 0;
    std::map<std::string, std::string> values;
    std::map<std::string, Prepared> prepared;
    Commit transaction;

    Session(Database &owner, ConnectionPtr peer)
        : database(owner)
        , connection(std::move(peer))
    {}

    std::string ready() const
    {
        return std::string("READY ") + phase + ' ' + database.position() + "\r\n";
    }
    void succeed(const std::string &rows, const std::string &signature)
    {
        connection->send(rows + "COMPLETE " + signature + "\r\n" + ready());
    }
    void refuse(const std::string &code)
    {
        connection->send("ERROR " + code + ' ' + database.id + "\r\n" + ready());
    }
    std::string sign(const std::string &shape)
    {
        std::string signature =
                database.id + '/' + std::to_string(++database.runs) + '/' + shape + '/';
        for (const auto &[name, value] : values)
            signature += name + '=' + value + ';';
        return signature;
    }

    void received()
    {
        while (!isBusy && !connection->isClosed && !database.isDark) {
            const std::size_t end = connection->in.find("\r\n");
            if (end == std::string::npos)
                return;
            std::string line = connection->in.substr(0, end);
            connection->in.erase(0, end + 2);
            handle(line);
        }
    }

    void handle(std::string line)
    {
        const std::string word = takeWord(line);
        if (word == "CONNECT") {
            const std::string group = takeWord(line);
            takeWord(line);
            const bool isWrong = group != groupName || (!line.empty() && line != database.id);
            if (isWrong || database.sessions >= maximumConnections) {
                connection->send(std::string("ERROR ") + (isWrong ? "WRONGNODE " : "OVERLOAD ")
                                 + database.id + "\r\n");
                connection->close();
                return;
            }
            isOpen = true;
            ++database.sessions;
            connection->send(ready());
            return;
        }
        if (word != "QUERY" || !isOpen) {
            connection->close();
            return;
        }
        const std::string id = takeWord(line);
        query(id, line);
    }

    void query(const std::string &id, std::string text)
    {
        const std::string whole = text;
        std::string word = takeWord(text);
        if (word == "AFTER") {
            const std::string point = takeWord(text);
            if (database.lacks(point)) {
                refuse("LAGGING");
                return;
            }
            word = takeWord(text);
        }
        if (phase == 'E' && word != "COMMIT" && word != "ROLLBACK") {
            refuse("MALFORMED");
            return;
        }
        if (word == "BEGIN") {
            begin(text == "READ");
        } else if (word == "COMMIT") {
            work(id, whole, defaultWorkMs, [this, id] { commit(id); });
        } else if (word == "ROLLBACK") {
            phase = 'I';
            transaction = {};
            succeed("", "-");
        } else if (word == "READ" || word == "WRITE") {
            run(id, whole, word == "WRITE", "", text);
        } else if (word == "EXECUTE") {
            const std::string name = takeWord(text);
            const auto found = prepared.find(name);
            if (found == prepared.end())
                refuse("NOSTMT");
            else
                run(id, whole, found->second.isWrite, found->second.shape, text);
        } else {
            manage(word, text);
        }
    }

    void begin(bool readOnly)
    {
        if (!readOnly && !database.isPrimary) {
            refuse("READONLY");
            return;
        }
        phase = 'T';
        isReadOnly = readOnly;
        termAtBegin = database.term;
        transaction = {};
        succeed("", "-");
    }

    void manage(const std::string &word, std::string text)
    {
        if (word == "SET") {
            const std::string name = takeWord(text);
            values[name] = text;
        } else if (word == "PREPARE") {
            const std::string name = takeWord(text);
            const std::string access = takeWord(text);
            if (access != "READ" && access != "WRITE") {
                refuse("MALFORMED");
                return;
            }
            prepared[name] = {access == "WRITE", text};
            note("prepare db=" + database.id + " name=" + name + " access=" + access + " shape='"
                 + text + "'");
        } else if (word == "DEALLOC") {
            prepared.erase(text);
        } else if (word == "RESET") {
            values.clear();
            prepared.clear();
        } else if (word == "STATUS") {
            status();
            return;
        } else if (word == "PAUSE") {
            if (!database.isPrimary && std::atoll(text.c_str()) > newestTerm) {
                database.isPaused = true;
                database.heldTerm = std::atoll(text.c_str());
            }
            note("pause db=" + database.id + " term=" + text);
            status();
            return;
        } else if (word == "RESUME") {
            database.isPaused = false;
            database.heldTerm = 0;
            status();
            return;
        } else if (word == "DEMOTE") {
            if (database.isPrimary && database.term < std::atoll(text.c_str())) {
                database.isPrimary = false;
                beat(database);
            }
            note("demote db=" + database.id + " term=" + text);
            status();
            return;
        } else {
            refuse("MALFORMED");
            return;
        }
        succeed("", "-");
    }

    void status()
    {
        succeed("ROW " + std::string(database.isPrimary ? "primary" : "replica") + ' '
                        + std::to_string(database.term) + ' ' + database.received() + ' '
                        + std::to_string(database.heldTerm) + " 0 0 "
                        + std::to_string(database.sessions) + "\r\n",
                "-");
    }

    // Keeps the database at work on a statement, then goes on.
    void work(const std::string &id, const std::string &text, long long ms,
              const std::function<void()> &done)
    {
        isBusy = true;
        note("begin db=" + database.id + " id=" + id + " text='" + text + "'");
        after(ms, [weak = weak_from_this(), done, id] {
            const auto self = weak.lock();
            if (!self)
                return;
            self->isBusy = false;
            if (self->connection->isClosed || self->database.isDark) {
                note("broken-off db=" + self->database.id + " id=" + id);
                return;
            }
            done();
            self->received();
        });
    }

    void run(const std::string &id, const std::string &text, bool isWrite, const std::string &shape,
             const std::string &argument)
    {
        if (phase == 'T' && isReadOnly && isWrite) {
            phase = 'E';
            refuse("READONLY");
            return;
        }
        const std::size_t workAt = argument.find("work=");
        const long long ms = workAt == std::string::npos
                                     ? defaultWorkMs
                                     : std::atoll(argument.c_str() + workAt + 5);
        work(id, text, ms,
             [this, id, isWrite, shape, argument] { finishRun(id, isWrite, shape, argument); });
    }

    void finishRun(const std::string &id, bool isWrite, const std::string &shape,
                   std::string argument)
    {
        const bool isPlain = phase == 'T' && !isReadOnly;
        const bool hasLostLead = isPlain && (!database.isPrimary || database.term != termAtBegin);
        if (hasLostLead || (isWrite && !database.isPrimary)) {
            if (phase == 'T')
                phase = 'E';
            refuse("READONLY");
            return;
        }
        const std::string item = takeWord(argument);
        note("run db=" + database.id + " at=" + database.position() + " id=" + id + ' '
             + (isWrite ? "write" : "read") + " item='" + item + "' data='" + argument + "' shape='"
             + shape + "'");
        if (isWrite && phase == 'T') {
            transaction.ids.push_back(id);
            transaction.writes.emplace_back(item, argument);
            succeed("", sign(shape));
            return;
        }
        if (isWrite) {
            Commit single{.ids = {id}, .writes = {{item, argument}}};
            append(id, std::move(single), sign(shape));
            return;
        }
        const auto found = database.data.find(item);
        succeed(found == database.data.end() ? "" : "ROW " + found->second + "\r\n", sign(shape));
    }

    void commit(const std::string &id)
    {
        if (phase != 'T') {
            phase = 'I';
            refuse("ABORTED");
            return;
        }
        phase = 'I';
        Commit done = std::exchange(transaction, {});
        if (done.writes.empty()) {
            succeed("", sign(""));
            return;
        }
        if (!database.isPrimary || database.term != termAtBegin) {
            refuse("READONLY");
            return;
        }
        append(id, std::move(done), sign(""));
    }

    // Appends a commit, and acknowledges it once as many replicas as required have received it.
    void append(const std::string &id, Commit commit, const std::string &signature)
    {
        commit.term = database.term;
        database.log.push_back(std::move(commit));
        database.applyUpTo(database.log.size());
        isBusy = true;
        acknowledge(id, database.log.size(), database.term, signature);
    }

    void acknowledge(const std::string &id, std::size_t count, long long term,
                     const std::string &signature)
    {
        std::string receivers;
        int received = 0;
        for (const auto &other : databases) {
            if (other.get() == &database || other->log.size() < count
                || other->log[count - 1].term != term)
                continue;
            receivers += ' ' + other->id;
            ++received;
        }
        if (connection->isClosed)
            return;
        if (received >= syncReplicas) {
            isBusy = false;
            note("commit db=" + database.id + " id=" + id + " position=" + std::to_string(term)
                 + '.' + std::to_string(count) + " received-by:" + receivers);
            succeed("", signature);
            received_();
            return;
        }
        after(1, [weak = weak_from_this(), id, count, term, signature] {
            if (const auto self = weak.lock(); self && !self->database.isDark)
                self->acknowledge(id, count, term, signature);
        });
    }

    void received_()
    {
        after(0, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->received();
        });
    }
};

void acceptAtDatabase(Database &database, const ConnectionPtr &connection)
{
    const auto session = std::make_shared<Session>(database, connection);
    connection->received = [session] {
        session->received();
    };
    connection->closed = [session] {
        if (std::exchange(session->isOpen, false))
            --session->database.sessions;
    };
}

// ---- The platform's HTTP ---------------------------------------------------------------------

void requestPromotion(const ConnectionPtr &connection, const std::string &head,
                      const std::string &body)
{
    const std::string id = unquoted(member(body, "Id"));
    std::string holder = head.substr(head.find("Duty-Holder:") + 12);
    holder = holder.substr(0, holder.find("\r\n"));
    std::string token = head.substr(head.find("Fencing-Token:") + 14);
    token = token.substr(0, token.find("\r\n"));
    note("promotion-requested db=" + id + " holder=" + holder + " token=" + token);
    for (const auto &database : databases) {
        if (database->id != id)
            continue;
        const bool isLeader = database->number == leader && promoting < 0;
        if (database->isGone || database->isDark
            || (promoting >= 0 && promoting != database->number)) {
            respond(connection, 409, "{}");
            return;
        }
        if (!isLeader && promoting < 0) {
            promoting = database->number;
            after(promotionMs, [number = promoting] { promote(number); });
        }
        respond(connection, 200, "{}");
        return;
    }
    respond(connection, 404, "{}");
}

void control(const ConnectionPtr &connection, const std::string &target)
{
    const std::string path = target.substr(0, target.find('?'));
    const auto number = static_cast<std::size_t>(std::atoi(queryValue(target, "db").c_str()));
    Database &database = *databases[number % databases.size()];
    if (path == "/control/state") {
        std::string text = "leader=" + databases[static_cast<std::size_t>(leader)]->id
                           + " term=" + std::to_string(newestTerm);
        for (const auto &each : databases)
            text += ' ' + each->id + "=" + std::to_string(each->log.size());
        respond(connection, 200, text + "\n");
        return;
    }
    note("control " + target);
    if (path == "/control/drain") {
        database.isDraining = true;
        beat(database);
    } else if (path == "/control/deaf" || path == "/control/hears") {
        database.isDeaf = path == "/control/deaf";
    } else if (path == "/control/dark" || path == "/control/light") {
        database.isDark = path == "/control/dark";
        if (!database.isDark) {
            follow(database);
            for (const auto &[open, listener] : connections) {
                if (open->received)
                    open->received();
            }
        }
    }
    respond(connection, 200, "{}");
}

void handleHttp(const ConnectionPtr &connection)
{
    for (;;) {
        const std::size_t headEnd = connection->in.find("\r\n\r\n");
        if (headEnd == std::string::npos)
            return;
        const std::string head = connection->in.substr(0, headEnd + 2);
        std::size_t length = 0;
        const std::size_t lengthAt = head.find("Content-Length: ");
        if (lengthAt != std::string::npos)
            length = static_cast<std::size_t>(std::atoll(head.c_str() + lengthAt + 16));
        if (connection->in.size() < headEnd + 4 + length)
            return;
        const std::string body = connection->in.substr(headEnd + 4, length);
        connection->in.erase(0, headEnd + 4 + length);
        std::string line = head.substr(0, head.find("\r\n"));
        const std::string method = takeWord(line);
        const std::string target = takeWord(line);
        if (target.rfind("/control/", 0) == 0) {
            control(connection, target);
        } else if (target == "/promotion") {
            requestPromotion(connection, head, body);
        } else {
            std::string path = target.substr(0, target.find('?'));
            path = path.substr(std::min(path.size(), std::strlen("/-/objects/")));
            const std::size_t slash = path.find('/');
            const std::string kind = path.substr(0, slash);
            const std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
            if (method == "GET")
                readObjects(connection, kind, name, target);
            else
                writeObject(connection, method, kind, name, body);
        }
    }
}

std::string route(const std::string &name, const std::string &type)
{
    return R"({"Name":"r-)" + name + R"(","DatabaseName":")" + name
           + R"(","PathPrefix":"/","RouteType":")" + type + R"(","TimeoutMs":)"
           + std::to_string(routeTimeoutMs) + R"(,"TargetLatencyMs":500,"Priority":1,"Service":")"
           + groupName + R"(","MaxAttempts":2,"MaxStalenessMs":1500})";
}

void writeManifest()
{
    putObject(
            "config", "main",
            R"({"ConfigVersion":7,"Routes":[)" + route("cenovy-zapis", "primary") + ','
                    + route("stav-etiket", "bounded_staleness") + ','
                    + route("akce-plan", "read_your_writes") + R"(],"Services":[{"Name":")"
                    + groupName
                    + R"(","HealthPath":"/health","MaxConnections":38,"Protocol":"h1","Tls":false,"SyncReplicas":)"
                    + std::to_string(syncReplicas)
                    + R"(}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000,"TxIdleMs":3000}})");
}

// ---- The loop --------------------------------------------------------------------------------

void acceptNew(std::size_t index)
{
    for (;;) {
        const int fd = accept4(listeners[index].fd, nullptr, nullptr, SOCK_NONBLOCK);
        if (fd < 0)
            return;
        const int yes = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        auto connection = std::make_shared<Connection>();
        connection->fd = fd;
        connections.emplace_back(connection, index);
        listeners[index].accepted(connection);
    }
}

void readFrom(const ConnectionPtr &connection)
{
    char buffer[65536];
    for (;;) {
        const ssize_t size = recv(connection->fd, buffer, sizeof buffer, 0);
        if (size > 0) {
            connection->in.append(buffer, static_cast<std::size_t>(size));
            continue;
        }
        if (size == 0 || (errno != EAGAIN && errno != EWOULDBLOCK))
            connection->close();
        break;
    }
    if (!connection->isClosed && connection->received)
        connection->received();
}

void removeClosed()
{
    for (auto at = connections.begin(); at != connections.end();) {
        const ConnectionPtr connection = at->first;
        if (!connection->isClosed) {
            ++at;
            continue;
        }
        ::close(connection->fd);
        if (connection->closed)
            connection->closed();
        connection->received = nullptr;
        connection->closed = nullptr;
        at = connections.erase(at);
    }
}

void runTasks()
{
    while (!tasks.empty() && tasks.begin()->first <= nowMs()) {
        const std::function<void()> task = std::move(tasks.begin()->second);
        tasks.erase(tasks.begin());
        task();
    }
}

void loop()
{
    for (;;) {
        std::vector<pollfd> polled;
        std::vector<ConnectionPtr> owners;
        for (const Listener &listener : listeners)
            polled.push_back({listener.fd, static_cast<short>(listener.isDark() ? 0 : POLLIN), 0});
        for (const auto &[connection, index] : connections) {
            const bool isDark = listeners[index].isDark();
            const int events = isDark ? 0 : POLLIN | (connection->out.empty() ? 0 : POLLOUT);
            polled.push_back({connection->fd, static_cast<short>(events), 0});
            owners.push_back(connection);
        }
        const long long wait = tasks.empty() ? 50 : tasks.begin()->first - nowMs();
        poll(polled.data(), polled.size(), static_cast<int>(std::clamp<long long>(wait, 0, 50)));
        for (std::size_t i = 0; i < listeners.size(); ++i) {
            if (polled[i].revents != 0)
                acceptNew(i);
        }
        for (std::size_t i = 0; i < owners.size(); ++i) {
            const pollfd &entry = polled[listeners.size() + i];
            if ((entry.revents & POLLOUT) != 0)
                owners[i]->flush();
            if (entry.events != 0 && (entry.revents & (POLLIN | POLLHUP | POLLERR)) != 0)
                readFrom(owners[i]);
        }
        removeClosed();
        runTasks();
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        std::fprintf(stderr, "usage: site STORE-PORT SYNC-REPLICAS ROUTE-TIMEOUT-MS\n");
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    storePort = std::atoi(argv[1]);
    syncReplicas = std::atoi(argv[2]);
    routeTimeoutMs = std::atoi(argv[3]);
    const auto never = [] {
        return false;
    };
    const auto acceptHttp = [](const ConnectionPtr &connection) {
        connection->received = [weak = std::weak_ptr(connection)] {
            if (const auto open = weak.lock())
                handleHttp(open);
        };
    };
    listenAt(storePort, acceptHttp, never);
    listenAt(storePort + 1, acceptHttp, never);
    const char *zones[databaseCount] = {"brno-sever", "brno-jih", "olomouc"};
    for (int number = 0; number < databaseCount; ++number) {
        databases.push_back(std::make_unique<Database>());
        Database &database = *databases.back();
        database.number = number;
        database.id = "i-db" + std::to_string(number);
        database.zone = zones[number];
        database.isPrimary = number == 0;
        listenAt(
                storePort + 10 + number,
                [&database](const ConnectionPtr &connection) {
                    acceptAtDatabase(database, connection);
                },
                [&database] { return database.isDark; });
    }
    writeManifest();
    for (const auto &database : databases)
        beat(*database);
    beatAll();
    replicate();
    loop();
}
