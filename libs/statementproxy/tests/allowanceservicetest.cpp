#include "statementproxy/allowanceservice.h"

#include "net/looptimers.h"
#include "relay/relayserver.h"
#include "statementproxy/upstreams.h"

#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <optional>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

const CustomerId harbour("harbour");

// One VM with its relay on an event loop that it shares with others.
struct RelayVm
{
    RelayVm(EventLoop &loop, const std::string &name)
        : timers(loop)
        , upstreams({.timers = timers,
                     .log = log,
                     .counters = counters,
                     .vm = VmId(name),
                     .dataCentre = DataCentreId("north"),
                     .connectPeer = [this, &loop](const Endpoint &endpoint,
                                                  std::function<void(const Error &)> onLost) {
                         return std::make_shared<RelayPeer>(
                                 loop, timers,
                                 RelayPeer::Options{.endpoint = endpoint,
                                                    .onLost = std::move(onLost)});
                     }})
    {
        auto listening = RelayServer::listen(
                loop, {"127.0.0.1", 0}, timers, counters,
                {.poolOf = [](const DatabaseId &) { return nullptr; },
                 .handleAllowance =
                         [this](const AllowanceRequest &request, const auto &answer) {
                             upstreams.allowances().handle(request, answer);
                         }});
        CPPUNIT_ASSERT(listening);
        server = std::move(listening.value());
    }

    VmRecord record() const
    {
        return {.vm = upstreams.context().vm,
                .dataCentre = DataCentreId("north"),
                .relay = server->endpoint()};
    }

    std::uint64_t count(const char *counter)
    {
        return counters.counter(counter).value();
    }

    LoopTimers timers;
    Log log = std::move(Log::open({.level = LogLevel::Off}).value());
    Counters counters;
    Upstreams upstreams;
    std::unique_ptr<RelayServer> server;
};

} // namespace

class AllowanceServiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AllowanceServiceTest);
    CPPUNIT_TEST(vmsShareOneAllowance);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against VMs that each grant the whole allowance, and against a service that ends with
    // its relay connections.
    void vmsShareOneAllowance()
    {
        EventLoop loop;
        RelayVm first(loop, "vm-1");
        RelayVm second(loop, "vm-2");
        for (RelayVm *vm : {&first, &second}) {
            vm->upstreams.allowances().setCustomers(
                    {{.id = harbour, .allowance = {.operationsPerSecond = 0.1, .burst = 0}}});
            vm->upstreams.allowances().setVms({first.record(), second.record()});
        }
        const auto run = [&](Duration time) {
            loop.after(std::chrono::duration_cast<std::chrono::milliseconds>(time),
                       [&] { loop.stop(); });
            loop.run();
        };
        // In its first 3 s, no VM counts.
        run(3500ms);
        int granted = 0;
        int refused = 0;
        for (int i = 0; i < 4; ++i) {
            RelayVm &vm = i % 2 == 0 ? first : second;
            vm.upstreams.allowances().start(harbour, [&](const AllowanceDecision &decision) {
                ++(decision.isGranted() ? granted : refused);
            });
            run(200ms);
        }
        CPPUNIT_ASSERT_EQUAL(4, granted + refused);
        // The first token of the counter; one of 0.1 per second takes longer.
        CPPUNIT_ASSERT_EQUAL(1, granted);
        CPPUNIT_ASSERT(first.count("fescuespring_allowance_requests_received_total")
                               + second.count("fescuespring_allowance_requests_received_total")
                       > 0);
        second.server.reset();
        std::optional<AllowanceDecision> alone;
        first.upstreams.allowances().start(harbour,
                                           [&](const auto &decision) { alone = decision; });
        run(400ms);
        CPPUNIT_ASSERT(alone);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AllowanceServiceTest);
