#include "standinplatform/platformstandin.h"

#include "net/httpclient.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>
#include <string>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds answerTimeout{2000};

} // namespace

// The platform over loopback, in one process.
class PlatformStandinTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformStandinTest);
    CPPUNIT_TEST(objectsAreWrittenReadAndListed);
    CPPUNIT_TEST(watchHearsOfAWrite);
    CPPUNIT_TEST(lostAnswerHasTakenEffect);
    CPPUNIT_TEST(outageAnswersEveryCallAndWatch);
    CPPUNIT_TEST(tooManyCallsAreRefused);
    CPPUNIT_TEST(vmListComesThroughTheControlPort);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_loop = std::make_unique<EventLoop>();
        auto standin = PlatformStandin::start(*m_loop, {.platform = {.vmLag = 0ms},
                                                        .dataEndpoint = {"127.0.0.1", 0},
                                                        .controlEndpoint = {"127.0.0.1", 0}});
        CPPUNIT_ASSERT(standin.has_value());
        m_standin = std::move(standin.value());
    }

    void tearDown() override
    {
        m_standin.reset();
        m_loop.reset();
    }

    void objectsAreWrittenReadAndListed()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(R"(200 {"version":1})"), put("groups/a", "x", 0));
        CPPUNIT_ASSERT_EQUAL(std::string(R"(409 {"version":1})"), put("groups/a", "y", 0));
        const std::string object = R"({"key":"groups/a","version":1,"value":"x"})";
        CPPUNIT_ASSERT_EQUAL("200 " + object, get("/v1/objects/groups/a"));
        CPPUNIT_ASSERT_EQUAL("200 " + object, get("/v1/objects/groups%2Fa"));
        CPPUNIT_ASSERT_EQUAL("200 {\"objects\":[" + object + "]}",
                             get("/v1/objects?prefix=groups/"));
        CPPUNIT_ASSERT_EQUAL(std::string("404 "), get("/v1/objects/none"));
        CPPUNIT_ASSERT(data("PUT", "/v1/objects/a", "{}").starts_with("400 "));
    }

    void watchHearsOfAWrite()
    {
        put("plans", "x", 0);
        std::string heard;
        HttpConnection watcher(*m_loop, {.endpoint = m_standin->dataEndpoint()});
        watcher.send({.target = "/v1/watch/plans?after=1&timeoutMs=1000"}, answerTimeout,
                     [&heard](const Result<HttpResponse> &result) { heard = result.value().body; });
        get("/v1/objects/plans");
        CPPUNIT_ASSERT_EQUAL(std::string(), heard);
        put("plans", "y", 1);
        waitUntil([&heard] { return !heard.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"key":"plans","version":2,"value":"y"})"), heard);
        CPPUNIT_ASSERT_EQUAL(std::string("304 "), get("/v1/watch/plans?after=2&timeoutMs=20"));
    }

    void lostAnswerHasTakenEffect()
    {
        setFaults(R"({"loseAnswers":1})");
        CPPUNIT_ASSERT_EQUAL(std::string("connection-lost"), put("a", "x", 0));
        CPPUNIT_ASSERT_EQUAL(std::string(R"(409 {"version":1})"), put("a", "y", 0));
    }

    void outageAnswersEveryCallAndWatch()
    {
        int watchStatus = 0;
        HttpConnection watcher(*m_loop, {.endpoint = m_standin->dataEndpoint()});
        watcher.send({.target = "/v1/watch/plans?after=0&timeoutMs=1000"}, answerTimeout,
                     [&watchStatus](const Result<HttpResponse> &result) {
                         watchStatus = result.value().status;
                     });
        get("/v1/vms");
        setFaults(R"({"outage":true})");
        CPPUNIT_ASSERT(get("/v1/vms").starts_with("503 "));
        waitUntil([&watchStatus] { return watchStatus != 0; });
        CPPUNIT_ASSERT_EQUAL(503, watchStatus);
        setFaults(R"({"outage":false})");
        CPPUNIT_ASSERT(get("/v1/vms").starts_with("200 "));
    }

    void tooManyCallsAreRefused()
    {
        setFaults(R"({"writesPerSecond":0})");
        put("a", "x", 0);
        CPPUNIT_ASSERT_EQUAL(std::string("429 "), put("a", "y", 1));
        const std::string counters = control("GET", "/control/counters", "");
        CPPUNIT_ASSERT(counters.find(R"(standin_platform_write_total{outcome="too-many-calls"})")
                       != std::string::npos);
    }

    void vmListComesThroughTheControlPort()
    {
        const std::string list = R"({"vms":[{"vm":"vm-1"}]})";
        CPPUNIT_ASSERT(control("POST", "/control/vms", list).starts_with("200 "));
        CPPUNIT_ASSERT_EQUAL("200 " + list, get("/v1/vms"));
        CPPUNIT_ASSERT(control("POST", "/control/vms", "[]").starts_with("400 "));
    }

private:
    void waitUntil(const std::function<bool()> &holds)
    {
        const Instant end = EventLoop::now() + 5s;
        while (!holds()) {
            CPPUNIT_ASSERT_MESSAGE("waited too long", EventLoop::now() < end);
            m_loop->after(1ms, [this] { m_loop->stop(); });
            m_loop->run();
        }
    }

    std::string call(const Endpoint &endpoint, const std::string &method, const std::string &target,
                     const std::string &body)
    {
        HttpConnection connection(*m_loop, {.endpoint = endpoint});
        std::string text;
        connection.send({.method = method, .target = target, .body = body}, answerTimeout,
                        [this, &text](const Result<HttpResponse> &result) {
                            text = result ? std::to_string(result.value().status) + " "
                                                    + result.value().body
                                          : toString(result.error().code);
                            m_loop->stop();
                        });
        while (text.empty())
            m_loop->run();
        return text;
    }

    std::string data(const std::string &method, const std::string &target, const std::string &body)
    {
        return call(m_standin->dataEndpoint(), method, target, body);
    }

    std::string control(const std::string &method, const std::string &target,
                        const std::string &body)
    {
        return call(m_standin->controlEndpoint(), method, target, body);
    }

    std::string get(const std::string &target)
    {
        return data("GET", target, "");
    }

    std::string put(const std::string &key, const std::string &value, int ifVersion)
    {
        return data("PUT", "/v1/objects/" + key,
                    R"({"value":")" + value + R"(","ifVersion":)" + std::to_string(ifVersion)
                            + "}");
    }

    void setFaults(const std::string &body)
    {
        CPPUNIT_ASSERT(control("POST", "/control/faults", body).starts_with("200 "));
    }

    std::unique_ptr<EventLoop> m_loop;
    std::unique_ptr<PlatformStandin> m_standin;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformStandinTest);
