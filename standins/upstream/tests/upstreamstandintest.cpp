#include "standinupstream/upstreamstandin.h"

#include "codec/upstreamcodec.h"
#include "net/httpclient.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds answerTimeout{3000};
constexpr Duration waitLimit = 5s;

StatementCall makeCall(CallKind kind, Access access, const std::string &statement)
{
    StatementCall call;
    call.kind = kind;
    call.access = access;
    call.term = Term(1);
    call.statement = statement;
    return call;
}

} // namespace

// A group of three over loopback, all in one process and on one loop.
class UpstreamStandinTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamStandinTest);
    CPPUNIT_TEST(writeReachesTheReplicas);
    CPPUNIT_TEST(connectionMustBeOpenedAndIsLimited);
    CPPUNIT_TEST(lostConnectionRollsBackItsTransaction);
    CPPUNIT_TEST(frozenDatabaseAnswersAfterTheThaw);
    CPPUNIT_TEST(answerLostAfterEffectLosesTheConnection);
    CPPUNIT_TEST(returnedPrimaryDropsItsTail);
    CPPUNIT_TEST(cutReplicaFallsBehindAndCatchesUp);
    CPPUNIT_TEST(laggingReplicaTellsItsAge);
    CPPUNIT_TEST(cutVmHearsNothing);
    CPPUNIT_TEST(wrongBodiesAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_loop = std::make_unique<EventLoop>();
        m_standins.push_back(start("d1", {}));
        const Endpoint primary = m_standins[0]->dataEndpoint();
        m_standins.push_back(start("d2", primary));
        m_standins.push_back(start("d3", primary));
    }

    void tearDown() override
    {
        m_standins.clear();
        m_loop.reset();
    }

    void writeReachesTheReplicas()
    {
        const auto connection = openConnection(0);
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), write(*connection, "set a 1").result);
        waitUntil([this] {
            return status(1).applied.position == LogPosition(2)
                   && status(2).applied.position == LogPosition(2);
        });
        const auto reader = openConnection(1);
        CPPUNIT_ASSERT_EQUAL(std::string("1"),
                             call(*reader, makeCall(CallKind::Run, Access::Read, "get a")).result);
        CPPUNIT_ASSERT(CallRefusal::NotPrimary == write(*reader, "set a 2").refusal);
    }

    void connectionMustBeOpenedAndIsLimited()
    {
        const auto closed = connect(0);
        CPPUNIT_ASSERT(CallRefusal::NotOpen == write(*closed, "set a 1").refusal);
        setFaults(0, R"({"connections":1})");
        const auto first = openConnection(0);
        const auto second = connect(0);
        const auto refused = decodeOpenAnswer(send(*second, "POST", "/v1/open", "{}").body);
        CPPUNIT_ASSERT(CallRefusal::ConnectionLimit == refused.value().refusal);
    }

    void lostConnectionRollsBackItsTransaction()
    {
        auto connection = openConnection(0);
        call(*connection, makeCall(CallKind::Begin, Access::Write, ""));
        call(*connection, makeCall(CallKind::Statement, Access::Write, "set a 1"));
        CPPUNIT_ASSERT(contains(counters(0), "standin_open_transactions 1\n"));
        connection.reset();
        waitUntil([this] { return contains(counters(0), "standin_open_transactions 0\n"); });
        CPPUNIT_ASSERT(LogPosition(1) == status(0).applied.position);
    }

    void frozenDatabaseAnswersAfterTheThaw()
    {
        const auto connection = openConnection(0);
        setFaults(0, R"({"frozen":true})");
        std::optional<StatementAnswer> answer;
        const StatementCall late = makeCall(CallKind::Run, Access::Write, "set a 1");
        connection->send(
                {.method = "POST", .target = "/v1/call", .body = encodeStatementCall(late)},
                answerTimeout, [&answer](const Result<HttpResponse> &result) {
                    answer = decodeStatementAnswer(result.value().body).value();
                });
        run(50ms);
        CPPUNIT_ASSERT(!answer);
        setFaults(0, R"({"frozen":false})");
        waitUntil([&answer] { return answer.has_value(); });
        CPPUNIT_ASSERT(CallOutcome::Done == answer->outcome);
    }

    void answerLostAfterEffectLosesTheConnection()
    {
        auto connection = openConnection(0);
        setFaults(0, R"({"loseAnswers":1})");
        StatementCall lost = makeCall(CallKind::Run, Access::Write, "add bill 5");
        lost.id = RequestId("r");
        lost.idempotent = false;
        const auto result = trySend(*connection, "POST", "/v1/call", encodeStatementCall(lost));
        CPPUNIT_ASSERT(ErrorCode::ConnectionLost == result.error().code);
        const auto next = openConnection(0);
        const StatementAnswer again = call(*next, lost);
        CPPUNIT_ASSERT(again.repeated);
        CPPUNIT_ASSERT_EQUAL(std::string("5"), again.result);
    }

    void returnedPrimaryDropsItsTail()
    {
        const auto connection = openConnection(0);
        write(*connection, "set a kept");
        waitUntil([this] { return status(1).received.position == LogPosition(2); });
        setFaults(0, R"({"cut":["d2","d3"]})");
        for (int i = 0; i < 5; ++i)
            write(*connection, "append a -lost");

        post(1, "/v1/fence", R"({"term":2})");
        post(2, "/v1/fence", R"({"term":2})");
        CPPUNIT_ASSERT(Role::Primary == post(1, "/v1/promote", R"({"term":2})").role);
        const std::string follow = encodeFollowCall({Term(2), m_standins[1]->dataEndpoint()});
        post(2, "/v1/follow", follow);
        post(0, "/v1/follow", follow);
        setFaults(0, R"({"cut":[]})");
        waitUntil([this] { return status(0).applied == status(1).applied; });
        waitUntil([this] { return status(2).applied == status(1).applied; });
        CPPUNIT_ASSERT(status(1).history == status(0).history);
        const auto reader = openConnection(0);
        StatementCall read = makeCall(CallKind::Run, Access::Read, "get a");
        read.term = Term(2);
        CPPUNIT_ASSERT_EQUAL(std::string("kept"), call(*reader, read).result);
    }

    void cutReplicaFallsBehindAndCatchesUp()
    {
        setFaults(1, R"({"cut":["d1"]})");
        const auto connection = openConnection(0);
        write(*connection, "set a 1");
        waitUntil([this] { return status(2).applied.position == LogPosition(2); });
        run(150ms);
        CPPUNIT_ASSERT(LogPosition(2) > status(1).received.position);
        setFaults(1, R"({"cut":[]})");
        waitUntil([this] { return status(1).applied.position == LogPosition(2); });
    }

    void laggingReplicaTellsItsAge()
    {
        waitUntil([this] { return status(1).age < 1000ms; });
        setFaults(1, R"({"applyLagMs":300})");
        run(350ms);
        CPPUNIT_ASSERT(status(1).age >= 300ms);
        setFaults(1, R"({"applyLagMs":0})");
        waitUntil([this] { return status(1).age < 250ms; });
    }

    void cutVmHearsNothing()
    {
        setFaults(1, R"({"cut":["127.0.0.2"]})");
        HttpConnection cut(*m_loop,
                           {.endpoint = m_standins[1]->dataEndpoint(), .localIp = "127.0.0.2"});
        bool answered = false;
        cut.send(
                {.method = "POST", .target = "/v1/fence", .body = R"({"term":2})"}, 100ms,
                [&answered](const Result<HttpResponse> &result) { answered = result.has_value(); });
        run(150ms);
        CPPUNIT_ASSERT(!answered);
        CPPUNIT_ASSERT(Term(1) == status(1).term);
    }

    void wrongBodiesAreRefused()
    {
        const auto connection = openConnection(0);
        CPPUNIT_ASSERT_EQUAL(400, send(*connection, "POST", "/v1/call", "{}").status);
        CPPUNIT_ASSERT_EQUAL(400, send(*connection, "POST", "/v1/fence", "x").status);
        CPPUNIT_ASSERT_EQUAL(404, send(*connection, "GET", "/v2/status", "").status);
        const auto control = std::make_unique<HttpConnection>(
                *m_loop, HttpConnectionOptions{.endpoint = m_standins[0]->controlEndpoint()});
        CPPUNIT_ASSERT_EQUAL(400,
                             send(*control, "POST", "/control/faults", R"({"mood":1})").status);
    }

private:
    std::unique_ptr<UpstreamStandin> start(const std::string &name,
                                           const std::optional<Endpoint> &primary)
    {
        UpstreamStandinOptions options{.database = {.database = DatabaseId(name),
                                                    .group = GroupId("herd"),
                                                    .initialPrimary = !primary,
                                                    .initialFollows = primary},
                                       .dataEndpoint = {"127.0.0.1", 0},
                                       .controlEndpoint = {"127.0.0.1", 0},
                                       .pullWait = 50ms};
        if (primary)
            options.peers[DatabaseId("d1")] = *primary;
        auto standin = UpstreamStandin::start(*m_loop, std::move(options));
        CPPUNIT_ASSERT(standin.has_value());
        return std::move(standin.value());
    }

    void run(Duration time)
    {
        m_loop->after(time, [this] { m_loop->stop(); });
        m_loop->run();
    }

    void waitUntil(const std::function<bool()> &holds)
    {
        const Instant end = EventLoop::now() + waitLimit;
        while (!holds()) {
            CPPUNIT_ASSERT_MESSAGE("waited too long", EventLoop::now() < end);
            run(2ms);
        }
    }

    std::unique_ptr<HttpConnection> connect(std::size_t place)
    {
        return std::make_unique<HttpConnection>(
                *m_loop, HttpConnectionOptions{.endpoint = m_standins[place]->dataEndpoint()});
    }

    std::unique_ptr<HttpConnection> openConnection(std::size_t place)
    {
        auto connection = connect(place);
        const auto answer = decodeOpenAnswer(send(*connection, "POST", "/v1/open", "{}").body);
        CPPUNIT_ASSERT(CallOutcome::Done == answer.value().outcome);
        return connection;
    }

    Result<HttpResponse> trySend(HttpConnection &connection, const std::string &method,
                                 const std::string &target, const std::string &body)
    {
        std::optional<Result<HttpResponse>> answer;
        connection.send({.method = method, .target = target, .body = body}, answerTimeout,
                        [this, &answer](const Result<HttpResponse> &result) {
                            answer = result;
                            m_loop->stop();
                        });
        while (!answer)
            m_loop->run();
        return *answer;
    }

    HttpResponse send(HttpConnection &connection, const std::string &method,
                      const std::string &target, const std::string &body)
    {
        const auto answer = trySend(connection, method, target, body);
        CPPUNIT_ASSERT(answer.has_value());
        return answer.value();
    }

    StatementAnswer call(HttpConnection &connection, const StatementCall &call)
    {
        const auto answer = decodeStatementAnswer(
                send(connection, "POST", "/v1/call", encodeStatementCall(call)).body);
        CPPUNIT_ASSERT(answer.has_value());
        return answer.value();
    }

    StatementAnswer write(HttpConnection &connection, const std::string &statement)
    {
        return call(connection, makeCall(CallKind::Run, Access::Write, statement));
    }

    DatabaseStatus status(std::size_t place)
    {
        const auto connection = connect(place);
        return decodeDatabaseStatus(send(*connection, "GET", "/v1/status", "").body).value();
    }

    DatabaseStatus post(std::size_t place, const std::string &target, const std::string &body)
    {
        const auto connection = connect(place);
        return decodeDatabaseStatus(send(*connection, "POST", target, body).body).value();
    }

    HttpResponse control(std::size_t place, const std::string &method, const std::string &target,
                         const std::string &body)
    {
        HttpConnection connection(*m_loop, {.endpoint = m_standins[place]->controlEndpoint()});
        return send(connection, method, target, body);
    }

    void setFaults(std::size_t place, const std::string &body)
    {
        CPPUNIT_ASSERT_EQUAL(200, control(place, "POST", "/control/faults", body).status);
    }

    std::string counters(std::size_t place)
    {
        return control(place, "GET", "/control/counters", "").body;
    }

    static bool contains(const std::string &text, const std::string &part)
    {
        return text.find(part) != std::string::npos;
    }

    std::unique_ptr<EventLoop> m_loop;
    std::vector<std::unique_ptr<UpstreamStandin>> m_standins;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamStandinTest);
