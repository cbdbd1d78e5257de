#include "statementproxy/statementsession.h"
#include "support/fakegroup.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <memory>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

const GroupId group("herd");
const Statement readItem{.kind = StatementKind::Read, .argument = "1a4"};

// One VM that serves one group, with primary a and replicas b and c, in virtual time. The limit of
// each database starts at 4.5 statements.
struct Vm
{
    explicit Vm(bool isLearned)
        : upstreams({.timers = timers,
                     .log = log,
                     .counters = counters,
                     .connect = databases.connector(),
                     .vm = VmId("front-1"),
                     .dataCentre = DataCentreId("north"),
                     .isCapacityLearned = isLearned})
    {
        databases["a"].role = Role::Primary;
        for (const char *name : {"a", "b", "c"}) {
            databases[name].work = 10ms;
            upstreams.directory().update({.target = {group, DatabaseId(name), {"10.0.0.1", 1}},
                                          .dataCentre = DataCentreId("north"),
                                          .role = databases[name].role,
                                          .slots = 3});
        }
        RouteConfiguration configuration{.version = 1};
        for (const auto consistency :
             {ReadConsistency::Primary, ReadConsistency::BoundedStaleness}) {
            configuration.routes.push_back({.name = RouteName(toString(consistency)),
                                            .group = group,
                                            .consistency = consistency,
                                            .maximumStaleness = 1500ms,
                                            .timeout = 800ms,
                                            .latencyTarget = 250ms});
        }
        configuration.groups[group] = {.connections = 20};
        upstreams.shareConnections(configuration, {}, true);
        routes.apply(configuration);
        upstreams.leadership().snapshot({}, timers.now());
        timers.advance(50ms);
    }

    ~Vm()
    {
        timers.advance(5s);
    }
    Vm(const Vm &) = delete;
    Vm &operator=(const Vm &) = delete;

    VirtualTimers timers;
    Log log = std::move(Log::open({.level = LogLevel::Off}).value());
    Counters counters;
    FakeGroup databases{timers};
    RouteTable routes;
    Upstreams upstreams;
};

// Callers of one route that each run one statement at a time.
struct Callers
{
    struct Reply
    {
        StatementFailure failure = StatementFailure::None;
        Duration time{0};
    };

    Callers(Vm &servingVm, ReadConsistency consistency, int count)
        : vm(servingVm)
    {
        for (int i = 0; i < count; ++i) {
            sessions.push_back(std::make_unique<StatementSession>(StatementSession::Options{
                    .upstreams = vm.upstreams,
                    .routes = vm.routes,
                    .name = RouteName(toString(consistency)),
                    .onReply = [this](const StatementReply &reply) {
                        replies.push_back({reply.failure, vm.timers.now() - startedAt});
                    }}));
        }
    }

    // All callers send a read at the same time; returns after 2 s.
    void readAtOnce(Duration serving = Duration(0))
    {
        replies.clear();
        startedAt = vm.timers.now();
        for (const auto &session : sessions)
            session->handle(RequestId("r-" + std::to_string(++requests)), readItem);
        vm.timers.advance(serving);
    }

    std::size_t count(StatementFailure failure, Duration until = 10s) const
    {
        return static_cast<std::size_t>(
                std::count_if(replies.begin(), replies.end(), [&](const Reply &reply) {
                    return reply.failure == failure && reply.time <= until;
                }));
    }

    Vm &vm;
    std::vector<std::unique_ptr<StatementSession>> sessions;
    std::deque<Reply> replies;
    Instant startedAt;
    int requests = 0;
};

void warmUp(Vm &vm, ReadConsistency consistency)
{
    Callers callers(vm, consistency, 3);
    for (int i = 0; i < 30; ++i) {
        vm.upstreams.leadership().snapshot({}, vm.timers.now());
        callers.readAtOnce(30ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, callers.count(StatementFailure::None));
    }
    vm.upstreams.leadership().snapshot({}, vm.timers.now());
}

} // namespace

class LearnedCapacityTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LearnedCapacityTest);
    CPPUNIT_TEST(excessIsRefusedOnArrival);
    CPPUNIT_TEST(fixedCapacityRefusesNothingOnArrival);
    CPPUNIT_TEST(queuedStatementOfAStalledDatabaseIsNotHeld);
    CPPUNIT_TEST(longStatementIsServed);
    CPPUNIT_TEST(readsAreSpreadOverFastDatabases);
    CPPUNIT_TEST_SUITE_END();

public:
    // Load: 300 reads of the primary at once, of which a quarter can be served in time. Guards
    // against callers that wait for their whole timeout for nothing.
    void excessIsRefusedOnArrival()
    {
        Vm vm(true);
        warmUp(vm, ReadConsistency::Primary);
        Callers callers(vm, ReadConsistency::Primary, 300);
        callers.readAtOnce(900ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{300}, callers.replies.size());
        CPPUNIT_ASSERT(callers.count(StatementFailure::Busy, 5ms) >= 100);
        // The rest of those refused were doubtful at the end of the hold time.
        const std::size_t refused = callers.count(StatementFailure::Busy, 62ms);
        CPPUNIT_ASSERT_EQUAL(refused, callers.count(StatementFailure::Busy));
        CPPUNIT_ASSERT_EQUAL(300 - refused, callers.count(StatementFailure::None, 250ms));
        CPPUNIT_ASSERT(vm.counters.text().find("expected_late_total{reason=\"arrival\"}")
                       != std::string::npos);
    }

    // Guards against a changed behaviour where learning was not asked for.
    void fixedCapacityRefusesNothingOnArrival()
    {
        Vm vm(false);
        warmUp(vm, ReadConsistency::Primary);
        Callers callers(vm, ReadConsistency::Primary, 300);
        callers.readAtOnce(200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, callers.count(StatementFailure::Busy));
        CPPUNIT_ASSERT(vm.counters.text().find("expected_late") == std::string::npos);
        vm.timers.advance(1s);
    }

    // Failure: the primary stops answering while statements wait for it. Guards against holding
    // them for 600 ms although the figures show that they cannot start.
    void queuedStatementOfAStalledDatabaseIsNotHeld()
    {
        Vm vm(true);
        warmUp(vm, ReadConsistency::Primary);
        Callers callers(vm, ReadConsistency::Primary, 30);
        vm.databases["a"].isSilent = true;
        callers.readAtOnce(200ms);
        CPPUNIT_ASSERT(callers.count(StatementFailure::Busy, 160ms) >= 20);
        vm.timers.advance(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{30}, callers.replies.size());
    }

    // Load: statements that take longer than their latency target. Guards against refusing them for
    // their length alone: a late answer is worth more than none.
    void longStatementIsServed()
    {
        Vm vm(true);
        vm.databases["a"].work = 300ms;
        Callers callers(vm, ReadConsistency::Primary, 2);
        for (int i = 0; i < 20; ++i) {
            vm.upstreams.leadership().snapshot({}, vm.timers.now());
            callers.readAtOnce(400ms);
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, callers.count(StatementFailure::None));
        }
    }

    // Load: one replica runs at a fifth of its speed. Guards against a choice that keeps sending it
    // an equal part.
    void readsAreSpreadOverFastDatabases()
    {
        Vm vm(true);
        warmUp(vm, ReadConsistency::BoundedStaleness);
        vm.databases["b"].work = 50ms;
        Callers callers(vm, ReadConsistency::BoundedStaleness, 3);
        const auto read = [&](int count) {
            for (int i = 0; i < count; ++i) {
                vm.upstreams.leadership().snapshot({}, vm.timers.now());
                callers.readAtOnce(60ms);
            }
        };
        read(50);
        const std::size_t slowBefore = vm.databases["b"].ran.size();
        const std::size_t fastBefore = vm.databases["c"].ran.size();
        read(100);
        const std::size_t slow = vm.databases["b"].ran.size() - slowBefore;
        const std::size_t fast = vm.databases["c"].ran.size() - fastBefore;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(slow) + ' ' + std::to_string(fast),
                               slow * 2 < fast && slow > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LearnedCapacityTest);
