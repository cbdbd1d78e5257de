#include "standinplatform/platformstandin.h"

#include "base/counters.h"
#include "net/httpserver.h"
#include "standinsupport/answerdelay.h"
#include "standinsupport/controlport.h"
#include "standinsupport/faultfields.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <deque>
#include <set>
#include <string>
#include <utility>

namespace json = boost::json;

namespace fescuespring {

namespace {

constexpr std::size_t maximumTcpConnections = 20000;
constexpr std::size_t maximumValueBytes = std::size_t{1024} * 1024;

// A value with every byte escaped, and the rest of the body.
constexpr std::size_t maximumBodyBytes = 6 * maximumValueBytes + 1024;
constexpr std::chrono::milliseconds maximumWatch{600'000};

constexpr std::string_view objectsPath = "/v1/objects/";
constexpr std::string_view watchPath = "/v1/watch/";

struct Faults
{
    PlatformOptions platform;

    // Every call is answered 503.
    bool outage = false;

    // Calls are taken, and answered after the thaw.
    bool frozen = false;

    // Writes that take effect while the answer is lost, the connection with it.
    std::uint64_t loseAnswers = 0;
    AnswerDelay::Range delay;

    // IP numbers from which calls and to which answers do not pass.
    std::set<std::string> cut;
    bool kill = false;

    std::vector<FaultField> fields()
    {
        return {{"outage", &outage},
                {"frozen", &frozen},
                {"loseAnswers", &loseAnswers},
                {"answerDelayMs", &delay.delay},
                {"answerJitterMs", &delay.jitter},
                {"cut", &cut},
                {"readsPerSecond", &platform.readsPerSecond},
                {"writesPerSecond", &platform.writesPerSecond},
                {"vmLagMs", &platform.vmLag},
                {"kill", &kill}};
    }
};

struct Write
{
    std::string value;
    std::uint64_t ifVersion = 0;
};

Result<Write> decodeWrite(const std::string &body)
{
    boost::system::error_code error;
    const json::value document = json::parse(body, error);
    if (error || !document.is_object())
        return Error{ErrorCode::Malformed, "body is no JSON object"};
    const json::value *value = document.get_object().if_contains("value");
    if (!value || !value->is_string())
        return Error{ErrorCode::InvalidField, "must be a string", "value"};
    if (value->get_string().size() > maximumValueBytes)
        return Error{ErrorCode::TooLarge, "larger than a megabyte", "value"};
    const json::value *version = document.get_object().if_contains("ifVersion");
    if (!version)
        return Error{ErrorCode::MissingField, "missing", "ifVersion"};
    const auto number = version->to_number<std::uint64_t>(error);
    if (error)
        return Error{ErrorCode::InvalidField, "must be a whole number", "ifVersion"};
    return Write{std::string(value->get_string()), number};
}

json::object objectValue(const PlatformObject &object)
{
    return {{"key", object.key}, {"version", object.version}, {"value", object.value}};
}

std::string versionText(const PlatformObject &object)
{
    return json::serialize(json::object{{"version", object.version}});
}

std::string listText(const std::vector<PlatformObject> &objects)
{
    json::array values;
    for (const PlatformObject &object : objects)
        values.push_back(objectValue(object));
    return json::serialize(json::object{{"objects", std::move(values)}});
}

const char *toString(PlatformOutcome outcome)
{
    constexpr std::array names{"done", "not-found", "conflict", "unchanged", "too-many-calls"};
    return names[static_cast<std::size_t>(outcome)];
}

int statusOf(PlatformOutcome outcome)
{
    constexpr std::array statuses{200, 404, 409, 304, 429};
    return statuses[static_cast<std::size_t>(outcome)];
}

// The key in a path: what follows prefix, percent-decoded.
std::string keyOf(const std::string &path, std::string_view prefix)
{
    return queryValue("/?key=" + path.substr(prefix.size()), "key");
}

std::uint64_t numberParameter(const std::string &target, const std::string &name)
{
    const std::string text = queryValue(target, name);
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

HttpResponse outageResponse()
{
    return errorResponse(503, {ErrorCode::Unavailable, "outage"});
}

} // namespace

struct PlatformStandin::Data
{
    Data(EventLoop &eventLoop, PlatformStandinOptions standinOptions)
        : loop(eventLoop)
        , options(std::move(standinOptions))
        , platform(options.platform)
        , answerDelay(eventLoop, options.seed)
    {
        faults.platform = options.platform;
    }

    ~Data()
    {
        loop.cancel(timer);
    }

    std::optional<Error> listen();
    void receive(HttpConnectionId connection, const HttpRequest &request,
                 const HttpResponder &respond);
    void handle(const HttpRequest &request, const HttpResponder &respond);
    void handleRead(const std::string &key, const HttpResponder &respond);
    void handleList(const std::string &prefix, const HttpResponder &respond);
    void handleWrite(const std::string &key, const std::string &body, const HttpResponder &respond);
    void handleWatch(const std::string &key, const std::string &target,
                     const HttpResponder &respond);
    void handleVms(const HttpResponder &respond);

    // Counts the call and sends body where the outcome has one.
    void answer(const char *call, PlatformOutcome outcome, std::string body,
                const HttpResponder &respond);

    std::optional<Error> setFaults(std::string_view body);
    std::optional<HttpResponse> setVms(const HttpRequest &request);
    std::string countersText();
    void schedule();

    EventLoop &loop;
    PlatformStandinOptions options;
    Platform platform;
    Faults faults;
    AnswerDelay answerDelay;
    Counters counters;
    std::deque<std::function<void()>> held;
    EventLoop::TimerId timer = 0;
    std::unique_ptr<HttpServer> dataPort;
    std::unique_ptr<HttpServer> controlPort;
};

std::optional<Error> PlatformStandin::Data::listen()
{
    auto data = HttpServer::listen(
            loop, {.endpoint = options.dataEndpoint,
                   .maxBodyBytes = maximumBodyBytes,
                   .maxConnections = maximumTcpConnections,
                   .handler = [this](HttpConnectionId connection, const HttpRequest &request,
                                     const HttpResponder &respond) {
                       receive(connection, request, respond);
                   }});
    if (!data)
        return data.error();
    dataPort = std::move(data.value());
    auto control = listenForControl(
            loop, {.endpoint = options.controlEndpoint,
                   .setFaults = [this](std::string_view body) { return setFaults(body); },
                   .faults = [this] { return faultsText(faults.fields()); },
                   .counters = [this] { return countersText(); },
                   .other =
                           [this](const HttpRequest &request) {
                               return setVms(request);
                           }});
    if (!control)
        return control.error();
    controlPort = std::move(control.value());
    return std::nullopt;
}

void PlatformStandin::Data::receive(HttpConnectionId connection, const HttpRequest &request,
                                    const HttpResponder &respond)
{
    const std::string ip = dataPort->peerIp(connection);
    if (faults.cut.contains(ip))
        return;
    const HttpResponder unlessCut = [this, ip, respond](HttpResponse response) {
        if (!faults.cut.contains(ip))
            respond(std::move(response));
    };
    if (faults.frozen)
        held.emplace_back([this, request, unlessCut] { handle(request, unlessCut); });
    else
        handle(request, unlessCut);
}

void PlatformStandin::Data::handle(const HttpRequest &request, const HttpResponder &respond)
{
    const std::string path = targetPath(request.target);
    if (faults.outage) {
        counters.counter("standin_platform_outage_answers_total").add();
        answerDelay.send(respond, outageResponse());
    } else if (path == "/v1/objects") {
        handleList(queryValue(request.target, "prefix"), respond);
    } else if (path.starts_with(objectsPath) && request.method == "GET") {
        handleRead(keyOf(path, objectsPath), respond);
    } else if (path.starts_with(objectsPath) && request.method == "PUT") {
        handleWrite(keyOf(path, objectsPath), request.body, respond);
    } else if (path.starts_with(watchPath)) {
        handleWatch(keyOf(path, watchPath), request.target, respond);
    } else if (path == "/v1/vms") {
        handleVms(respond);
    } else {
        respond(errorResponse(404, {ErrorCode::NotFound, "no such call"}));
    }
    schedule();
}

void PlatformStandin::Data::handleRead(const std::string &key, const HttpResponder &respond)
{
    const PlatformAnswer read = platform.read(key, EventLoop::now());
    const bool found = read.outcome == PlatformOutcome::Done;
    answer("read", read.outcome,
           found ? json::serialize(objectValue(read.objects.front())) : std::string(), respond);
}

void PlatformStandin::Data::handleList(const std::string &prefix, const HttpResponder &respond)
{
    const PlatformAnswer list = platform.list(prefix, EventLoop::now());
    answer("list", list.outcome, listText(list.objects), respond);
}

void PlatformStandin::Data::handleWrite(const std::string &key, const std::string &body,
                                        const HttpResponder &respond)
{
    const auto write = decodeWrite(body);
    if (!write) {
        respond(errorResponse(400, write.error()));
        return;
    }
    const PlatformAnswer written =
            platform.write(key, write.value().value, write.value().ifVersion, EventLoop::now());
    if (written.outcome == PlatformOutcome::Done && faults.loseAnswers > 0) {
        --faults.loseAnswers;
        counters.counter("standin_platform_answers_lost_total").add();
        HttpResponse lost;
        lost.dropConnection = true;
        answerDelay.send(respond, lost);
        return;
    }
    answer("write", written.outcome,
           written.objects.empty() ? std::string() : versionText(written.objects.front()), respond);
}

void PlatformStandin::Data::handleWatch(const std::string &key, const std::string &target,
                                        const HttpResponder &respond)
{
    const auto limit = static_cast<std::uint64_t>(maximumWatch.count());
    const std::chrono::milliseconds wait(std::min(numberParameter(target, "timeoutMs"), limit));
    const Instant now = EventLoop::now();
    platform.watch(key, numberParameter(target, "after"), now, now + wait,
                   [this, respond](const PlatformAnswer &watched) {
                       if (faults.outage) {
                           answerDelay.send(respond, outageResponse());
                           return;
                       }
                       const bool changed = watched.outcome == PlatformOutcome::Done;
                       answer("watch", watched.outcome,
                              changed ? json::serialize(objectValue(watched.objects.front()))
                                      : std::string(),
                              respond);
                   });
}

void PlatformStandin::Data::handleVms(const HttpResponder &respond)
{
    const auto list = platform.vms(EventLoop::now());
    answer("vms", list ? PlatformOutcome::Done : PlatformOutcome::TooManyCalls,
           list.value_or(std::string()), respond);
}

void PlatformStandin::Data::answer(const char *call, PlatformOutcome outcome, std::string body,
                                   const HttpResponder &respond)
{
    const std::string name = std::string("standin_platform_") + call + "_total";
    counters.counter(name, "outcome", toString(outcome)).add();
    const bool hasBody = outcome == PlatformOutcome::Done || outcome == PlatformOutcome::Conflict;
    answerDelay.send(respond, {.status = statusOf(outcome),
                               .body = hasBody ? std::move(body) : std::string()});
}

std::optional<Error> PlatformStandin::Data::setFaults(std::string_view body)
{
    Faults changed = faults;
    if (auto error = readFaults(body, changed.fields()))
        return error;
    faults = std::move(changed);
    platform.setOptions(faults.platform);
    answerDelay.setRange(faults.delay);
    if (faults.kill && options.onKill)
        options.onKill();
    if (faults.outage)
        platform.endWatches();
    if (!faults.frozen) {
        for (const auto &call : std::exchange(held, {}))
            call();
    }
    schedule();
    return std::nullopt;
}

std::optional<HttpResponse> PlatformStandin::Data::setVms(const HttpRequest &request)
{
    if (targetPath(request.target) != "/control/vms" || request.method != "POST")
        return std::nullopt;
    boost::system::error_code error;
    const json::value document = json::parse(request.body, error);
    const json::object *object = error ? nullptr : document.if_object();
    const json::value *vms = object ? object->if_contains("vms") : nullptr;
    if (!vms || !vms->is_array())
        return errorResponse(400, {ErrorCode::Malformed, "must be {\"vms\":[...]}"});
    platform.setVms(request.body, EventLoop::now());
    return HttpResponse{.status = 200, .body = "{}"};
}

std::string PlatformStandin::Data::countersText()
{
    counters.counter("standin_platform_watches").set(platform.watches());
    counters.counter("standin_platform_watch_seconds_total").set(platform.watchSeconds());
    return counters.text();
}

void PlatformStandin::Data::schedule()
{
    loop.cancel(std::exchange(timer, 0));
    const auto next = platform.nextEvent();
    if (!next || faults.frozen)
        return;
    timer = loop.after(std::max(*next - EventLoop::now(), Duration(0)), [this] {
        timer = 0;
        platform.advance(EventLoop::now());
        schedule();
    });
}

Result<std::unique_ptr<PlatformStandin>> PlatformStandin::start(EventLoop &loop,
                                                                PlatformStandinOptions options)
{
    auto data = std::make_shared<Data>(loop, std::move(options));
    if (auto error = data->listen())
        return std::move(*error);
    return std::unique_ptr<PlatformStandin>(new PlatformStandin(std::move(data)));
}

PlatformStandin::PlatformStandin(std::shared_ptr<Data> data)
    : m_data(std::move(data))
{}

PlatformStandin::~PlatformStandin() = default;

Endpoint PlatformStandin::dataEndpoint() const
{
    return m_data->dataPort->endpoint();
}

Endpoint PlatformStandin::controlEndpoint() const
{
    return m_data->controlPort->endpoint();
}

} // namespace fescuespring
