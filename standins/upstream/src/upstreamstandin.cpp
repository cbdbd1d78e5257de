#include "standinupstream/upstreamstandin.h"

#include "base/counters.h"
#include "codec/upstreamcodec.h"
#include "logcodec.h"
#include "logpuller.h"
#include "logwaiters.h"
#include "net/httpserver.h"
#include "standinsupport/answerdelay.h"
#include "standinsupport/controlport.h"
#include "standinsupport/faultfields.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace fescuespring {

namespace {

constexpr std::size_t maximumTcpConnections = 20000;

// Faults of the port around the database.
struct PortFaults
{
    // Answers on database connections that are lost after the effect, the connection with them.
    std::uint64_t loseAnswers = 0;

    // Every answer of the data port comes this much later, and up to the jitter later still.
    AnswerDelay::Range delay;
};

struct Faults
{
    DatabaseFaults database;
    PortFaults port;
    bool kill = false;

    std::vector<FaultField> fields()
    {
        return {{"frozen", &database.frozen},
                {"slowness", &database.slowness},
                {"receiveLagMs", &database.lag.receive},
                {"applyLagMs", &database.lag.apply},
                {"cut", &database.cut},
                {"connections", &database.connections},
                {"loseAnswers", &port.loseAnswers},
                {"answerDelayMs", &port.delay.delay},
                {"answerJitterMs", &port.delay.jitter},
                {"kill", &kill}};
    }
};

HttpResponse statusResponse(const DatabaseStatus &status)
{
    return {.status = 200, .body = encodeDatabaseStatus(status)};
}

std::string toText(const Endpoint &endpoint)
{
    return endpoint.ip + ":" + std::to_string(endpoint.port);
}

} // namespace

struct UpstreamStandin::Data : std::enable_shared_from_this<UpstreamStandin::Data>
{
    Data(EventLoop &eventLoop, UpstreamStandinOptions standinOptions)
        : loop(eventLoop)
        , options(std::move(standinOptions))
        , server(options.database, options.server)
        , puller(eventLoop, server, options.pullWait, options.dataEndpoint.ip,
                 {.isCut = [this](const Endpoint &primary) { return isCut(primary); },
                  .onReceived =
                          [this] {
                              afterEvent();
                          }})
        , answerDelay(eventLoop, options.seed)
    {}

    ~Data()
    {
        loop.cancel(timer);
    }

    std::optional<Error> listen();
    void receive(HttpConnectionId connection, const HttpRequest &request,
                 const HttpResponder &respond);
    void handle(HttpConnectionId connection, const HttpRequest &request,
                const HttpResponder &respond);
    void handleOpen(HttpConnectionId connection, const HttpResponder &respond);
    void handleCall(HttpConnectionId connection, const HttpRequest &request,
                    const HttpResponder &respond);
    void handleLog(const HttpRequest &request, const HttpResponder &respond);
    void closed(HttpConnectionId connection);

    // Runs change on the database with the decoded body and answers with the status after it.
    template <typename Call, typename Change>
    void manage(const char *name, const Result<Call> &call, const HttpResponder &respond,
                Change change);

    void count(const char *managementCall);
    bool isCut(const Endpoint &peer) const;
    void afterEvent();
    void schedule();
    std::optional<Error> setFaults(std::string_view body);
    std::string countersText();

    EventLoop &loop;
    UpstreamStandinOptions options;
    DatabaseServer server;
    LogWaiters waiters;
    LogPuller puller;
    Counters counters;
    PortFaults portFaults;
    AnswerDelay answerDelay;
    EventLoop::TimerId timer = 0;
    std::optional<Instant> timerAt;
    std::unique_ptr<HttpServer> dataPort;
    std::unique_ptr<HttpServer> controlPort;
};

std::optional<Error> UpstreamStandin::Data::listen()
{
    auto data = HttpServer::listen(
            loop, {.endpoint = options.dataEndpoint,
                   .maxConnections = maximumTcpConnections,
                   .handler =
                           [this](HttpConnectionId connection, const HttpRequest &request,
                                  const HttpResponder &respond) {
                               receive(connection, request, respond);
                           },
                   .onClosed =
                           [this](HttpConnectionId connection) {
                               closed(connection);
                           }});
    if (!data)
        return data.error();
    dataPort = std::move(data.value());
    auto control = listenForControl(
            loop, {.endpoint = options.controlEndpoint,
                   .setFaults = [this](std::string_view body) { return setFaults(body); },
                   .faults =
                           [this] {
                               Faults faults{server.faults(), portFaults};
                               return faultsText(faults.fields());
                           },
                   .counters =
                           [this] {
                               return countersText();
                           }});
    if (!control)
        return control.error();
    controlPort = std::move(control.value());
    puller.update();
    return std::nullopt;
}

// Neither requests nor answers pass where the database is cut from the address they come from.
void UpstreamStandin::Data::receive(HttpConnectionId connection, const HttpRequest &request,
                                    const HttpResponder &respond)
{
    const std::string ip = dataPort->peerIp(connection);
    if (server.isCutFrom(ip))
        return;
    handle(connection, request, [this, ip, respond](HttpResponse response) {
        if (!server.isCutFrom(ip))
            respond(std::move(response));
    });
}

void UpstreamStandin::Data::handle(HttpConnectionId connection, const HttpRequest &request,
                                   const HttpResponder &respond)
{
    const std::string path = targetPath(request.target);
    if (path == "/v1/call")
        handleCall(connection, request, respond);
    else if (path == "/v1/open")
        handleOpen(connection, respond);
    else if (path == "/v1/log")
        handleLog(request, respond);
    else if (path == "/v1/status")
        manage("status", Result<FenceCall>(FenceCall{}), respond,
               [](Database &database, const FenceCall &, Instant now) {
                   return database.status(now);
               });
    else if (path == "/v1/fence")
        manage("fence", decodeFenceCall(request.body), respond,
               [](Database &database, const FenceCall &call, Instant now) {
                   return database.fence(call, now);
               });
    else if (path == "/v1/promote")
        manage("promote", decodePromoteCall(request.body), respond,
               [](Database &database, const PromoteCall &call, Instant now) {
                   return database.promote(call, now);
               });
    else if (path == "/v1/follow")
        manage("follow", decodeFollowCall(request.body), respond,
               [](Database &database, const FollowCall &call, Instant now) {
                   return database.follow(call, now);
               });
    else
        respond(errorResponse(404, {ErrorCode::NotFound, "no such call"}));
    afterEvent();
}

void UpstreamStandin::Data::handleOpen(HttpConnectionId connection, const HttpResponder &respond)
{
    server.open(DatabaseConnectionId(connection), EventLoop::now(),
                [this, respond](const OpenAnswer &answer) {
                    StatementAnswer open;
                    open.outcome = answer.outcome;
                    open.refusal = answer.refusal;
                    answerDelay.send(respond, {.status = 200, .body = encodeOpenAnswer(open)});
                });
}

void UpstreamStandin::Data::handleCall(HttpConnectionId connection, const HttpRequest &request,
                                       const HttpResponder &respond)
{
    auto call = decodeStatementCall(request.body);
    if (!call) {
        respond(errorResponse(400, call.error()));
        return;
    }
    server.call(DatabaseConnectionId(connection), std::move(call.value()), EventLoop::now(),
                [this, respond](const StatementAnswer &answer) {
                    HttpResponse response{.status = 200, .body = encodeStatementAnswer(answer)};
                    response.dropConnection = portFaults.loseAnswers > 0;
                    if (response.dropConnection)
                        --portFaults.loseAnswers;
                    answerDelay.send(respond, std::move(response));
                });
}

void UpstreamStandin::Data::handleLog(const HttpRequest &request, const HttpResponder &respond)
{
    count("log");
    const LogRequest question = logRequestOf(request.target);
    if (server.isCutFrom(question.from.value()))
        return;
    const std::chrono::milliseconds wait = logWaitOf(request.target);
    server.perform(EventLoop::now(), [this, question, wait, respond](Database &database,
                                                                     Instant now) {
        waiters.ask(
                database, question, now, wait, [this, question, respond](const LogBatch &batch) {
                    if (!server.isCutFrom(question.from.value()))
                        answerDelay.send(respond, {.status = 200, .body = encodeLogBatch(batch)});
                });
    });
}

void UpstreamStandin::Data::closed(HttpConnectionId connection)
{
    server.close(DatabaseConnectionId(connection), EventLoop::now());
    afterEvent();
}

template <typename Call, typename Change>
void UpstreamStandin::Data::manage(const char *name, const Result<Call> &call,
                                   const HttpResponder &respond, Change change)
{
    count(name);
    if (!call) {
        respond(errorResponse(400, call.error()));
        return;
    }
    server.perform(EventLoop::now(),
                   [this, call = call.value(), respond, change](Database &database, Instant now) {
                       answerDelay.send(respond, statusResponse(change(database, call, now)));
                   });
}

void UpstreamStandin::Data::count(const char *managementCall)
{
    counters.counter("standin_management_calls_total", "call", managementCall).add();
}

bool UpstreamStandin::Data::isCut(const Endpoint &peer) const
{
    if (server.isCutFrom(toText(peer)))
        return true;
    return std::any_of(options.peers.begin(), options.peers.end(),
                       [this, &peer](const auto &known) {
                           return known.second == peer && server.isCutFrom(known.first.value());
                       });
}

// Follows up what a call may have changed: news for replicas, another primary, the next timer.
void UpstreamStandin::Data::afterEvent()
{
    if (!server.faults().frozen)
        waiters.check(server.database(), EventLoop::now());
    puller.update();
    schedule();
}

void UpstreamStandin::Data::schedule()
{
    std::optional<Instant> next = server.nextEvent();
    const auto waiting = waiters.nextEvent();
    if (waiting && !server.faults().frozen)
        next = next ? std::min(*next, *waiting) : *waiting;
    if (!next || (timerAt && *timerAt <= *next))
        return;
    loop.cancel(timer);
    timerAt = next;
    timer = loop.after(std::max(*next - EventLoop::now(), Duration(0)), [this] {
        timer = 0;
        timerAt.reset();
        server.advance(EventLoop::now());
        afterEvent();
    });
}

std::optional<Error> UpstreamStandin::Data::setFaults(std::string_view body)
{
    Faults faults{server.faults(), portFaults};
    if (auto error = readFaults(body, faults.fields()))
        return error;
    portFaults = faults.port;
    answerDelay.setRange(portFaults.delay);
    server.setFaults(faults.database, EventLoop::now());
    if (faults.kill && options.onKill)
        options.onKill();
    afterEvent();
    return std::nullopt;
}

std::string UpstreamStandin::Data::countersText()
{
    const DatabaseServerCounts &counts = server.counts();
    const auto set = [this](const char *name, std::uint64_t value) {
        counters.counter(name).set(value);
    };
    set("standin_connections_opened_total", counts.opened);
    set("standin_connections_refused_total", counts.openRefused);
    set("standin_connections_closed_total", counts.closed);
    set("standin_calls_done_total", counts.done);
    set("standin_calls_refused_total", counts.refused);
    set("standin_calls_failed_total", counts.failed);
    set("standin_calls_repeated_total", counts.repeated);
    set("standin_answers_abandoned_total", counts.abandoned);
    set("standin_connections", server.connections());
    set("standin_connections_maximum", counts.maximumConnections);
    set("standin_waiting", server.waiting());
    set("standin_waiting_maximum", counts.maximumWaiting);
    set("standin_open_transactions", server.database().openTransactions());
    set("standin_log_position", server.database().log().end().value());
    set("standin_applied_position", server.database().applied().position.value());
    return counters.text();
}

Result<std::unique_ptr<UpstreamStandin>> UpstreamStandin::start(EventLoop &loop,
                                                                UpstreamStandinOptions options)
{
    auto data = std::make_shared<Data>(loop, std::move(options));
    if (auto error = data->listen())
        return std::move(*error);
    return std::unique_ptr<UpstreamStandin>(new UpstreamStandin(std::move(data)));
}

UpstreamStandin::UpstreamStandin(std::shared_ptr<Data> data)
    : m_data(std::move(data))
{}

UpstreamStandin::~UpstreamStandin() = default;

Endpoint UpstreamStandin::dataEndpoint() const
{
    return m_data->dataPort->endpoint();
}

Endpoint UpstreamStandin::controlEndpoint() const
{
    return m_data->controlPort->endpoint();
}

} // namespace fescuespring
