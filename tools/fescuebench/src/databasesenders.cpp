#include "fescuebench/databasesenders.h"

#include "codec/upstreamcodec.h"

#include <algorithm>
#include <utility>

namespace fescuespring {

namespace {

constexpr std::chrono::milliseconds openTimeout{5000};
constexpr std::chrono::milliseconds probeTimeout{900};
constexpr Duration probeInterval = std::chrono::seconds(1);
constexpr Duration reopenDelay = std::chrono::milliseconds(100);

} // namespace

NaivePool::NaivePool(EventLoop &loop, const Endpoint &database, std::size_t connections)
    : m_loop(loop)
{
    for (std::size_t i = 0; i < connections; ++i) {
        auto connection = std::make_unique<Connection>();
        connection->http =
                std::make_unique<HttpConnection>(loop, HttpConnectionOptions{.endpoint = database});
        m_connections.push_back(std::move(connection));
        open(*m_connections.back());
    }
}

void NaivePool::send(const CallerRequest &request, Term term, CallerCallback callback)
{
    m_waiting.push_back({request, term, std::move(callback)});
    if (m_idle.empty())
        return;
    Connection &connection = *m_idle.front();
    m_idle.pop_front();
    take(connection);
}

void NaivePool::open(Connection &connection)
{
    connection.http->send({.method = "POST", .target = "/v1/open", .body = "{}"}, openTimeout,
                          [this, &connection](const Result<HttpResponse> &result) {
                              if (!result) {
                                  openLater(connection);
                                  return;
                              }
                              const auto answer = decodeOpenAnswer(result.value().body);
                              if (answer && answer.value().outcome == CallOutcome::Done)
                                  take(connection);
                              else
                                  openLater(connection);
                          });
}

void NaivePool::openLater(Connection &connection)
{
    // The connection may be gone by then, and its HTTP connection with it.
    m_loop.after(reopenDelay, [this, &connection, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            open(connection);
    });
}

void NaivePool::take(Connection &connection)
{
    if (m_waiting.empty()) {
        m_idle.push_back(&connection);
        return;
    }
    connection.job = std::move(m_waiting.front());
    m_waiting.pop_front();
    sendCall(connection);
}

void NaivePool::sendCall(Connection &connection)
{
    const Job &job = *connection.job;
    connection.http->send(
            {.method = "POST", .target = "/v1/call", .body = encodeStatementCall(nextCall(job))},
            job.request.deadline + answerGrace,
            [this, &connection](const Result<HttpResponse> &result) {
                answered(connection, result);
            });
}

void NaivePool::answered(Connection &connection, const Result<HttpResponse> &result)
{
    if (!result) {
        finish(connection, unanswered(result.error()));
        return;
    }
    const auto answer = decodeStatementAnswer(result.value().body);
    if (!answer) {
        finish(connection, {Outcome::Unknown, "unreadable-answer", {}});
        return;
    }
    Job &job = *connection.job;
    if (answer.value().outcome != CallOutcome::Done) {
        finish(connection, {Outcome::NotRun, toString(answer.value().refusal), {}});
        return;
    }
    const CallKind kind = nextCall(job).kind;
    if (kind == CallKind::Run || kind == CallKind::Statement)
        job.results.push_back(answer.value().result);
    if (!isLastCall(job) && !answer.value().repeated) {
        ++job.calls;
        sendCall(connection);
        return;
    }
    CallerResult done{Outcome::Done, "none", {}};
    done.answer.requestId = job.request.id;
    done.answer.results = std::move(job.results);
    finish(connection, done);
}

void NaivePool::finish(Connection &connection, const CallerResult &result)
{
    const CallerCallback callback = std::move(connection.job->callback);
    connection.job.reset();
    if (connection.http->isOpen())
        take(connection);
    else
        openLater(connection);
    callback(result);
}

StatementCall NaivePool::nextCall(const Job &job)
{
    const std::size_t statements = job.request.statements.size();
    StatementCall call;
    call.access = job.request.access;
    call.term = job.term;
    call.id = job.request.id;
    call.idempotent = job.request.idempotent;
    if (statements == 1) {
        call.statement = job.request.statements.front();
        return call;
    }
    call.kind = CallKind::Statement;
    if (job.calls == 0)
        call.kind = CallKind::Begin;
    else if (job.calls > statements)
        call.kind = CallKind::Commit;
    else
        call.statement = job.request.statements[job.calls - 1];
    return call;
}

bool NaivePool::isLastCall(const Job &job)
{
    const std::size_t statements = job.request.statements.size();
    return statements == 1 || job.calls > statements;
}

DirectSender::DirectSender(EventLoop &loop, const BenchDatabase &database, Term term,
                           std::size_t connections)
    : m_pool(loop, database.data, connections)
    , m_term(term)
{}

void DirectSender::send(std::size_t, const CallerRequest &request, CallerCallback callback)
{
    m_pool.send(request, m_term, std::move(callback));
}

NaiveSender::NaiveSender(EventLoop &loop, const std::vector<BenchDatabase> &databases,
                         std::size_t vms, std::size_t connections)
    : m_loop(loop)
    , m_vms(vms)
{
    for (const BenchDatabase &place : databases) {
        Database database{.place = place, .probe = nullptr, .pools = {}};
        database.probe = std::make_unique<HttpConnection>(
                loop, HttpConnectionOptions{.endpoint = place.data});
        for (std::size_t i = 0; i < vms; ++i)
            database.pools.push_back(
                    std::make_unique<NaivePool>(loop, place.data, connections / vms));
        m_groups[place.group].databases.push_back(std::move(database));
    }
    probe();
}

NaiveSender::~NaiveSender()
{
    m_loop.cancel(m_timer);
}

void NaiveSender::send(std::size_t entry, const CallerRequest &request, CallerCallback callback)
{
    Group &group = m_groups.at(request.group);
    const bool writes = request.access == Access::Write;
    const std::size_t place = writes ? group.primary : group.nextRead++ % group.databases.size();
    const bool byReplica = place != group.primary;
    group.databases[place].pools[entry % m_vms]->send(
            request, group.term,
            [byReplica, callback = std::move(callback)](const CallerResult &result) {
                CallerResult told = result;
                told.answer.byReplica = byReplica;
                callback(told);
            });
}

void NaiveSender::probe()
{
    for (auto &[id, group] : m_groups) {
        for (std::size_t place = 0; place < group.databases.size(); ++place)
            probeDatabase(group, place);
    }
    m_timer = m_loop.after(probeInterval, [this] { probe(); });
}

void NaiveSender::probeDatabase(Group &group, std::size_t place)
{
    HttpConnection &connection = *group.databases[place].probe;
    if (connection.isBusy())
        return;
    connection.send({.target = "/v1/status"}, probeTimeout,
                    [&group, place](const Result<HttpResponse> &result) {
                        if (!result)
                            return;
                        const auto status = decodeDatabaseStatus(result.value().body);
                        if (!status || status.value().role != Role::Primary
                            || status.value().term < group.term)
                            return;
                        group.primary = place;
                        group.term = status.value().term;
                    });
}

} // namespace fescuespring
