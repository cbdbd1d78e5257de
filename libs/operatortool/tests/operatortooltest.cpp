#include "operatortool/operatortool.h"

#include "codec/statuscodec.h"
#include "net/eventloop.h"
#include "net/httpserver.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <future>
#include <sstream>
#include <thread>

using namespace fescuespring;

namespace {

// A VM's HTTP server with a fixed handler, on its own thread.
class FakeVm
{
public:
    using Handler = std::function<HttpResponse(const HttpRequest &)>;

    explicit FakeVm(Handler handler)
        : m_handler(std::move(handler))
    {
        std::promise<Endpoint> ready;
        std::future<Endpoint> endpoint = ready.get_future();
        m_thread = std::thread([this, &ready] { serve(ready); });
        m_endpoint = endpoint.get();
    }
    ~FakeVm()
    {
        m_loop.stop();
        m_thread.join();
    }
    FakeVm(const FakeVm &) = delete;
    FakeVm &operator=(const FakeVm &) = delete;

    std::string endpoint() const
    {
        return m_endpoint.ip + ':' + std::to_string(m_endpoint.port);
    }

private:
    void serve(std::promise<Endpoint> &ready)
    {
        HttpServerOptions options{.endpoint = {"127.0.0.1", 0}};
        options.handler = [this](HttpConnectionId, const HttpRequest &request,
                                 const HttpResponder &respond) {
            respond(m_handler(request));
        };
        const std::unique_ptr<HttpServer> server =
                std::move(HttpServer::listen(m_loop, std::move(options))).value();
        ready.set_value(server->endpoint());
        m_loop.run();
    }

    Handler m_handler;
    EventLoop m_loop;
    Endpoint m_endpoint;
    std::thread m_thread;
};

struct Run
{
    ToolOutcome outcome = ToolOutcome::Done;
    std::string out;
    std::string error;
};

Run run(const std::vector<std::string> &arguments)
{
    std::ostringstream out;
    std::ostringstream error;
    const ToolOutcome outcome = runOperatorTool(arguments, {out, error});
    return {.outcome = outcome, .out = out.str(), .error = error.str()};
}

void assertOutcome(ToolOutcome expected, const Run &result)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.error, static_cast<int>(expected),
                                 static_cast<int>(result.outcome));
}

void assertContains(const std::string &text, const std::string &part)
{
    CPPUNIT_ASSERT_MESSAGE(text, text.find(part) != std::string::npos);
}

VmStatus sampleStatus()
{
    VmStatus status{.vm = VmId("vm-1"),
                    .dataCentre = DataCentreId("andong"),
                    .serving = true,
                    .storeReachable = true,
                    .lists = ObjectVersion(12)};
    status.members = {{.vm = VmId("vm-1"),
                       .state = "alive",
                       .peers = {.ip = "10.1.0.11", .port = 8401},
                       .lists = ObjectVersion(12)}};
    status.groups = {{.group = GroupId("herd"),
                      .owner = VmId("vm-1"),
                      .term = Term(3),
                      .databases = {{.database = DatabaseId("herd-1"),
                                     .dataCentre = DataCentreId("andong"),
                                     .term = Term(3),
                                     .applied = LogPosition(40),
                                     .lag = 2,
                                     .age = std::chrono::milliseconds(15)}}}};
    return status;
}

HttpResponse respondStatus(const HttpRequest &)
{
    return {.body = encodeVmStatus(sampleStatus())};
}

} // namespace

class OperatorToolTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OperatorToolTest);
    CPPUNIT_TEST(statusIsShownAsTables);
    CPPUNIT_TEST(statusIsForwardedAsJson);
    CPPUNIT_TEST(refusedListsAreShown);
    CPPUNIT_TEST(countersOmitZeros);
    CPPUNIT_TEST(countersAreFiltered);
    CPPUNIT_TEST(countersAreShownAsJson);
    CPPUNIT_TEST(routeSendsTheGivenOptions);
    CPPUNIT_TEST(routeShowsARefusal);
    CPPUNIT_TEST(drainStartsAPlannedStop);
    CPPUNIT_TEST(drainWaitEndsAtItsTimeout);
    CPPUNIT_TEST(refusalsAreShown);
    CPPUNIT_TEST(unreadableRepliesAreReported);
    CPPUNIT_TEST(lostReplyToADrainIsUnknown);
    CPPUNIT_TEST(unreachableVmsAreReported);
    CPPUNIT_TEST(everyCommandHasHelp);
    CPPUNIT_TEST(invalidCommandLinesAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void statusIsShownAsTables()
    {
        const FakeVm vm(respondStatus);
        const Run result = run({"status", "--vm", vm.endpoint()});
        assertOutcome(ToolOutcome::Done, result);
        CPPUNIT_ASSERT_EQUAL(
                std::string("VM    DATA CENTRE  PLAN LISTS  STORE      CALLERS  STATE\n"
                            "vm-1  andong       version 12  reachable  0        serving\n"
                            "\n"
                            "MEMBER  STATE  SUSPECTED  PEER ENDPOINT   PLAN LISTS\n"
                            "vm-1    alive  no         10.1.0.11:8401  12\n"
                            "\n"
                            "GROUP  OWNER  TERM  PRIMARY\n"
                            "herd   vm-1   3     -\n"
                            "\n"
                            "GROUP  DATABASE  DATA CENTRE  ROLE     REACHABLE  TERM  APPLIED  LAG"
                            "  AGE    CONNECTIONS  RUNNING  WAITING\n"
                            "herd   herd-1    andong       replica  no         3     40       2  "
                            "  15 ms  0            0        0\n"),
                result.out);
    }

    void statusIsForwardedAsJson()
    {
        const FakeVm vm(respondStatus);
        const Run result = run({"status", "--json", "--vm", vm.endpoint()});
        CPPUNIT_ASSERT_EQUAL(encodeVmStatus(sampleStatus()) + '\n', result.out);
    }

    void refusedListsAreShown()
    {
        const FakeVm vm([](const HttpRequest &) {
            VmStatus status = sampleStatus();
            status.serving = false;
            status.reason = "no plan lists";
            status.refusedLists = {"plans:3: gold.weight: must be 1 to 1000"};
            return HttpResponse{.body = encodeVmStatus(status)};
        });
        const Run result = run({"status", "--vm", vm.endpoint()});
        assertContains(result.out, "not serving: no plan lists\n");
        assertContains(result.out, "refused lists: plans:3: gold.weight: must be 1 to 1000\n");
    }

    void countersOmitZeros()
    {
        const FakeVm vm([](const HttpRequest &request) {
            CPPUNIT_ASSERT_EQUAL(std::string("/v1/counters"), request.target);
            return HttpResponse{.body = "a_total{reason=\"too old\"} 7\nb_total 0\n"};
        });
        const Run result = run({"counters", "--vm", vm.endpoint()});
        CPPUNIT_ASSERT_EQUAL(std::string("COUNTER                    VALUE\n"
                                         "a_total{reason=\"too old\"}  7\n"),
                             result.out);
        assertContains(run({"counters", "--all", "--vm", vm.endpoint()}).out, "b_total ");
    }

    void countersAreFiltered()
    {
        const FakeVm vm([](const HttpRequest &) { return HttpResponse{.body = "a 7\nb 1\n"}; });
        CPPUNIT_ASSERT_EQUAL(std::string("COUNTER  VALUE\nb        1\n"),
                             run({"counters", "--filter", "b", "--vm", vm.endpoint()}).out);
    }

    void countersAreShownAsJson()
    {
        const FakeVm vm([](const HttpRequest &) {
            return HttpResponse{.body = "a{b=\"c\"} 18446744073709551615\nnonsense\n"};
        });
        CPPUNIT_ASSERT_EQUAL(std::string("{\"a{b=\\\"c\\\"}\":18446744073709551615}\n"),
                             run({"counters", "--json", "--vm", vm.endpoint()}).out);
    }

    void routeSendsTheGivenOptions()
    {
        std::string target;
        const FakeVm vm([&](const HttpRequest &request) {
            target = request.target;
            return HttpResponse{.body = encodeRouteAnswer({.group = GroupId("herd"),
                                                           .owner = VmId("vm-2"),
                                                           .action = "serve",
                                                           .database = DatabaseId("herd-2"),
                                                           .byReplica = true,
                                                           .explanation = {"herd-2: holds 3/40",
                                                                           "herd-1: primary"}})};
        });
        const Run result = run({"route", "--group", "herd", "--token", "a&b", "--maximum-age-ms",
                                "500", "--vm", vm.endpoint()});
        assertOutcome(ToolOutcome::Done, result);
        CPPUNIT_ASSERT_EQUAL(
                std::string("/v1/route?group=herd&access=read&token=a%26b&maximumAgeMs=500"),
                target);
        CPPUNIT_ASSERT_EQUAL(std::string("group herd, owner vm-2: served by herd-2, a replica\n"
                                         "  herd-2: holds 3/40\n"
                                         "  herd-1: primary\n"),
                             result.out);
    }

    void routeShowsARefusal()
    {
        const FakeVm vm([](const HttpRequest &) {
            return HttpResponse{.body = encodeRouteAnswer({.group = GroupId("herd"),
                                                           .action = "refuse",
                                                           .reason = Reason::NoPrimary})};
        });
        CPPUNIT_ASSERT_EQUAL(
                std::string("group herd, owner unknown: refuse, reason no-primary\n"),
                run({"route", "--group=herd", "--access=write", "--vm", vm.endpoint()}).out);
    }

    void drainStartsAPlannedStop()
    {
        std::string received;
        const FakeVm vm([&](const HttpRequest &request) {
            received = request.method + ' ' + request.target;
            return HttpResponse{.body = R"({"draining":true})"};
        });
        const Run result = run({"drain", "--vm", vm.endpoint()});
        assertOutcome(ToolOutcome::Done, result);
        CPPUNIT_ASSERT_EQUAL(std::string("POST /v1/drain"), received);
        CPPUNIT_ASSERT_EQUAL(vm.endpoint() + " is leaving\n", result.out);
        CPPUNIT_ASSERT_EQUAL(std::string("{\"draining\":true}\n"),
                             run({"drain", "--json", "--vm", vm.endpoint()}).out);
    }

    void drainWaitEndsAtItsTimeout()
    {
        const FakeVm vm(respondStatus);
        const Run result = run({"drain", "--wait", "--wait-ms", "1", "--vm", vm.endpoint()});
        assertOutcome(ToolOutcome::Unknown, result);
        assertContains(result.error, "has not stopped yet");
    }

    void refusalsAreShown()
    {
        const FakeVm vm([](const HttpRequest &) {
            return HttpResponse{.status = 404, .body = R"({"error":"no group 'hred'"})"};
        });
        const Run result = run({"route", "--group", "hred", "--vm", vm.endpoint()});
        assertOutcome(ToolOutcome::Refused, result);
        assertContains(result.error, "no group 'hred'");
    }

    void unreadableRepliesAreReported()
    {
        const FakeVm vm([](const HttpRequest &) { return HttpResponse{.body = "<html>"}; });
        const Run status = run({"status", "--vm", vm.endpoint()});
        assertOutcome(ToolOutcome::Unreachable, status);
        assertContains(status.error, "cannot be read");
        const Run route = run({"route", "--group", "herd", "--vm", vm.endpoint()});
        assertOutcome(ToolOutcome::Unreachable, route);
        assertContains(route.error, "cannot be read");
    }

    void lostReplyToADrainIsUnknown()
    {
        const FakeVm vm([](const HttpRequest &) { return HttpResponse{.dropConnection = true}; });
        assertOutcome(ToolOutcome::Unknown, run({"drain", "--vm", vm.endpoint()}));
        assertOutcome(ToolOutcome::Unreachable, run({"status", "--vm", vm.endpoint()}));
    }

    void unreachableVmsAreReported()
    {
        std::string endpoint;
        {
            const FakeVm vm(respondStatus);
            endpoint = vm.endpoint();
        }
        const Run result = run({"status", "--vm", endpoint, "--timeout-ms", "2000"});
        assertOutcome(ToolOutcome::Unreachable, result);
        assertContains(result.error, "no reply from " + endpoint);
        assertContains(result.error, "Check that fescuespringd runs there");
    }

    void everyCommandHasHelp()
    {
        const Run help = run({"--help"});
        assertOutcome(ToolOutcome::Done, help);
        assertContains(help.out, "Exit codes:");
        for (const std::string command : {"status", "counters", "route", "drain"}) {
            assertContains(help.out, "\n  " + command);
            const Run result = run({command, "--help"});
            assertOutcome(ToolOutcome::Done, result);
            assertContains(result.out, "Usage: fescuectl " + command);
            assertContains(result.out, "--json");
        }
    }

    void invalidCommandLinesAreRefused()
    {
        const std::vector<std::vector<std::string>> invalid{
                {"stats"},
                {"status"},
                {"status", "--vm", "10.1.0.11"},
                {"status", "--vm", "10.1.0.11:0"},
                {"status", "--vm", "10.1.0.11:65536"},
                {"status", "--vm", ":80"},
                {"status", "--vm", "10.1.0.11:80", "more"},
                {"status", "--vm", "10.1.0.11:80", "--timeout-ms", "-1"},
                {"status", "--v", "10.1.0.11:80"},
                {"route", "--vm", "10.1.0.11:80"},
                {"route", "--vm", "10.1.0.11:80", "--group", "g", "--access", "both"},
                {"route", "--vm", "10.1.0.11:80", "--group", "g", "--maximum-age-ms", "1s"},
        };
        for (const std::vector<std::string> &arguments : invalid) {
            const Run result = run(arguments);
            assertOutcome(ToolOutcome::Usage, result);
            assertContains(result.error, "fescuectl --help");
            CPPUNIT_ASSERT(result.out.empty());
        }
        const Run noArguments = run({});
        assertOutcome(ToolOutcome::Usage, noArguments);
        assertContains(noArguments.error, "Usage: fescuectl");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorToolTest);
