#include "httpstore/httpobjectstore.h"

#include "httpstore/platformcodec.h"
#include "net/httpclient.h"

#include <utility>

namespace fescuespring {

namespace {

constexpr std::chrono::milliseconds connectTimeout{500};
constexpr std::size_t maximumConnections = 32;
constexpr std::size_t maximumListBytes = std::size_t{16} * 1024 * 1024;

// Time allowed for the reply to a watch beyond its wait, after which the watch counts as lost.
constexpr std::chrono::milliseconds watchGrace{2000};

constexpr int statusOk = 200;
constexpr int statusNotModified = 304;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;

// Percent-encodes a key as part of a path, keeping its slashes.
std::string keyPath(const std::string &key)
{
    std::string path;
    std::size_t start = 0;
    while (true) {
        const std::size_t slash = key.find('/', start);
        path += percentEncode(key.substr(start, slash - start));
        if (slash == std::string::npos)
            return path;
        path += '/';
        start = slash + 1;
    }
}

Error errorOf(int status)
{
    if (status == statusTooManyRequests)
        return {ErrorCode::Refused, "the platform refused the call: too many calls"};
    if (status == statusUnavailable)
        return {ErrorCode::Unavailable, "the platform is unavailable"};
    return {ErrorCode::Malformed,
            "unexpected HTTP status from the platform: " + std::to_string(status)};
}

} // namespace

struct HttpObjectStore::Data
{
    Data(EventLoop &loop, const Endpoint &platform, const std::string &localIp,
         UnreadableChanged changed)
        : unreadableChanged(std::move(changed))
        , client(loop, {.endpoint = platform,
                        .localIp = localIp,
                        .connectTimeout = connectTimeout,
                        .maxConnections = maximumConnections,
                        .maxBodyBytes = maximumListBytes})
    {}

    void vmsReceived(const Result<HttpResponse> &response, const VmsDone &done)
    {
        if (!response || response.value().status != statusOk) {
            done(response ? errorOf(response.value().status) : response.error());
            return;
        }
        std::size_t count = 0;
        const Result<std::vector<PlatformVm>> vms = decodeVms(response.value().body, count);
        if (std::exchange(unreadableVms, count) != count && unreadableChanged)
            unreadableChanged(count);
        done(vms);
    }

    UnreadableChanged unreadableChanged;

    // VMs that could not be decoded when the list was last read.
    std::size_t unreadableVms = 0;
    HttpClient client;
};

HttpObjectStore::HttpObjectStore(EventLoop &loop, const Endpoint &platform,
                                 const std::string &localIp, UnreadableChanged unreadableChanged)
    : m_data(std::make_unique<Data>(loop, platform, localIp, std::move(unreadableChanged)))
{}

HttpObjectStore::~HttpObjectStore() = default;

void HttpObjectStore::read(const std::string &key, std::chrono::milliseconds timeout, ReadDone done)
{
    m_data->client.send({.target = "/v1/objects/" + keyPath(key)}, timeout,
                        [key, done = std::move(done)](const Result<HttpResponse> &response) {
                            if (!response)
                                done(Result<StoredObject>(response.error()));
                            else if (response.value().status == statusNotFound)
                                done(Result<StoredObject>(StoredObject{.key = key}));
                            else if (response.value().status != statusOk)
                                done(Result<StoredObject>(errorOf(response.value().status)));
                            else
                                done(decodeObject(response.value().body));
                        });
}

void HttpObjectStore::list(const std::string &prefix, std::chrono::milliseconds timeout,
                           ListDone done)
{
    m_data->client.send({.target = "/v1/objects?prefix=" + percentEncode(prefix)}, timeout,
                        [done = std::move(done)](const Result<HttpResponse> &response) {
                            if (!response)
                                done(response.error());
                            else if (response.value().status != statusOk)
                                done(errorOf(response.value().status));
                            else
                                done(decodeObjects(response.value().body));
                        });
}

void HttpObjectStore::write(const ObjectWrite &write, std::chrono::milliseconds timeout,
                            WriteDone done)
{
    using Answer = Result<WriteAnswer>;
    m_data->client.send({.method = "PUT",
                         .target = "/v1/objects/" + keyPath(write.key),
                         .body = encodeWrite(write)},
                        timeout, [done = std::move(done)](const Result<HttpResponse> &response) {
                            if (!response) {
                                done(Answer(response.error()));
                                return;
                            }
                            const int status = response.value().status;
                            if (status != statusOk && status != statusConflict) {
                                done(Answer(errorOf(status)));
                                return;
                            }
                            const Result<ObjectVersion> version =
                                    decodeVersion(response.value().body);
                            if (!version)
                                done(Answer(version.error()));
                            else
                                done(Answer(WriteAnswer{.written = status == statusOk,
                                                        .version = version.value()}));
                        });
}

void HttpObjectStore::watch(const std::string &key, ObjectVersion after,
                            std::chrono::milliseconds wait, ReadDone done)
{
    const std::string target = "/v1/watch/" + keyPath(key)
                               + "?after=" + std::to_string(after.value())
                               + "&timeoutMs=" + std::to_string(wait.count());
    m_data->client.send(
            {.target = target}, wait + watchGrace,
            [key, after, done = std::move(done)](const Result<HttpResponse> &response) {
                if (!response)
                    done(Result<StoredObject>(response.error()));
                else if (response.value().status == statusNotModified)
                    done(Result<StoredObject>(StoredObject{.key = key, .version = after}));
                else if (response.value().status != statusOk)
                    done(Result<StoredObject>(errorOf(response.value().status)));
                else
                    done(decodeObject(response.value().body));
            });
}

void HttpObjectStore::vms(std::chrono::milliseconds timeout, VmsDone done)
{
    m_data->client.send(
            {.target = "/v1/vms"}, timeout,
            [data = m_data.get(), done = std::move(done)](const Result<HttpResponse> &response) {
                data->vmsReceived(response, done);
            });
}

} // namespace fescuespring
