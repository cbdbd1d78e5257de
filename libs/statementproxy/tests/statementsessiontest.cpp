#include "statementproxy/statementsession.h"
#include "statementproxy/allowanceservice.h"

#include "leadership/promotionbounds.h"
#include "support/completedirectory.h"
#include "support/fakegroup.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

const GroupId group("herd");
const CustomerId harbour("harbour");
const KeyDigest harbourKey("aa");

// One VM that serves one group, with primary a and replicas b and c, in virtual time.
struct Vm
{
    explicit Vm(bool areVmsKnown = true, Duration departureNotice = 7s)
        : upstreams({.timers = timers,
                     .log = log,
                     .counters = counters,
                     .connect = databases.connector(),
                     .vm = VmId("vm-1"),
                     .dataCentre = DataCentreId("north"),
                     .departureNotice = departureNotice})
    {
        databases["a"].role = Role::Primary;
        databases["b"];
        databases["c"];
        for (const DatabaseId &database : databases.names())
            upstreams.directory().update(entry(database));
        completeDirectory(upstreams.directory(), timers.now());
        RouteConfiguration configuration{.version = 1};
        configuration.routes = {route("strict", ReadConsistency::Primary),
                                route("own", ReadConsistency::ReadYourWrites),
                                route("old", ReadConsistency::BoundedStaleness)};
        configuration.groups[group] = {.connections = 20};
        configuration.idleTransactionTimeout = 3s;
        upstreams.shareConnections(configuration, {}, areVmsKnown);
        routes.apply(configuration);
        renewLease();
        timers.advance(50ms);
    }

    // Lets sent statements complete or time out.
    ~Vm()
    {
        timers.advance(5s);
    }
    Vm(const Vm &) = delete;
    Vm &operator=(const Vm &) = delete;

    UpstreamEntry entry(const DatabaseId &database)
    {
        return {.target = {group, database, {"10.0.0.1", 1}},
                .dataCentre = DataCentreId("north"),
                .role = databases[database.value()].role,
                .slots = 3};
    }

    static Route route(const std::string &name, ReadConsistency consistency)
    {
        return {.name = RouteName(name),
                .group = group,
                .consistency = consistency,
                .maximumStaleness = 1500ms,
                .timeout = 800ms,
                .latencyTarget = 250ms};
    }

    // From now on the replicas receive what the primary writes, some milliseconds later.
    void replicate()
    {
        databases.sync();
        timers.after(7ms, [this] { replicate(); });
    }

    // This VM alone counts the operations of a customer.
    void limit(Allowance allowance)
    {
        RouteConfiguration configuration = routes.configuration();
        ++configuration.version;
        configuration.customers = {{.id = harbour, .keys = {harbourKey}, .allowance = allowance}};
        Route open = route("open", ReadConsistency::Primary);
        open.isPublic = true;
        configuration.routes.push_back(open);
        routes.apply(configuration);
        upstreams.allowances().setCustomers(configuration.customers);
        upstreams.allowances().setVms({{.vm = VmId("vm-1"), .dataCentre = DataCentreId("north")}});
        timers.advance(20s);
        renewLease();
    }

    // Lets the connections become so old that the databases count as evidence.
    void runForPauseToEffect()
    {
        timers.advance(pauseToEffectTime);
        renewLease();
    }

    // The store's records announce no change of primary.
    void renewLease()
    {
        upstreams.leadership().snapshot({}, timers.now());
    }

    VirtualTimers timers;
    Log log = std::move(Log::open({.level = LogLevel::Off}).value());
    Counters counters;
    FakeGroup databases{timers};
    RouteTable routes;
    Upstreams upstreams;
};

struct Caller
{
    Caller(Vm &servingVm, const std::string &name, const KeyDigest &key = {})
        : vm(servingVm)
        , session({.upstreams = vm.upstreams,
                   .routes = vm.routes,
                   .name = RouteName(name),
                   .key = key,
                   .onReply = [this](const StatementReply &reply) {
                       replies.push_back(reply);
                   }})
    {}

    // The reply, if it arrives within time.
    std::optional<StatementReply> execute(const Statement &statement, Duration time = 2s)
    {
        replies.clear();
        session.handle(RequestId("id-" + std::to_string(++requestCount)), statement);
        for (Duration waited{0}; waited < time && replies.empty(); waited += 1ms)
            vm.timers.advance(1ms);
        CPPUNIT_ASSERT(replies.size() <= 1);
        return replies.empty() ? std::nullopt : std::optional(replies.front());
    }

    StatementFailure failure(const Statement &statement)
    {
        const auto reply = execute(statement);
        CPPUNIT_ASSERT(reply);
        return reply->failure;
    }

    Vm &vm;
    std::deque<StatementReply> replies;
    int requestCount = 0;
    StatementSession session;
};

const Statement readItem{.kind = StatementKind::Read, .argument = "1a4"};
const Statement writeItem{.kind = StatementKind::Write, .argument = "1a4 x"};
const Statement begin{.kind = StatementKind::Begin};
const Statement beginRead{.kind = StatementKind::BeginReadOnly};
const Statement commit{.kind = StatementKind::Commit};
const Statement rollback{.kind = StatementKind::Rollback};

std::size_t countOf(const FakeGroup::Database &database, const std::string &kind)
{
    return static_cast<std::size_t>(
            std::count_if(database.ran.begin(), database.ran.end(),
                          [&kind](const std::string &ran) { return ran.starts_with(kind + ' '); }));
}

} // namespace

class StatementSessionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StatementSessionTest);
    CPPUNIT_TEST(writeRunsOnceAtThePrimary);
    CPPUNIT_TEST(busyWriteIsRetried);
    CPPUNIT_TEST(lostWriteIsInDoubtAndNotRepeated);
    CPPUNIT_TEST(failedReadIsRetriedAtAnotherDatabase);
    CPPUNIT_TEST(readsSeeTheSessionsOwnCommit);
    CPPUNIT_TEST(strictReadsRunAtThePrimary);
    CPPUNIT_TEST(sessionValuesAreIsolated);
    CPPUNIT_TEST(preparedStatementsBelongToTheSession);
    CPPUNIT_TEST(shapeWithBlanksRedefinesNoOtherPreparedStatement);
    CPPUNIT_TEST(runningStatementIsAnsweredWhenItsVmStops);
    CPPUNIT_TEST(transactionStaysOnOneConnection);
    CPPUNIT_TEST(destroyedSessionRollsBack);
    CPPUNIT_TEST(failedTransactionAcceptsOnlyItsEnd);
    CPPUNIT_TEST(idleTransactionIsRolledBack);
    CPPUNIT_TEST(unansweredCommitIsInDoubt);
    CPPUNIT_TEST(replacedPrimaryAcknowledgesNothing);
    CPPUNIT_TEST(storeOutageDoesNotStopWrites);
    CPPUNIT_TEST(majorityIsEnoughWithinTheDepartureNotice);
    CPPUNIT_TEST(writeIsNotSentWhileConfirmationFails);
    CPPUNIT_TEST(commitsGoOnWithOneDatabaseDown);
    CPPUNIT_TEST(longChangeRefusesAtOnce);
    CPPUNIT_TEST(unresponsivePrimaryIsRefusedQuickly);
    CPPUNIT_TEST(recoveredPrimaryIsUsedAgain);
    CPPUNIT_TEST(unresponsiveReplicaIsHedged);
    CPPUNIT_TEST(unknownRouteIsReported);
    CPPUNIT_TEST(discardedCommitDoesNotBlockReads);
    CPPUNIT_TEST(waitingReadsShareEvidenceRounds);
    CPPUNIT_TEST(oneConnectionServesStrictReadsWithoutTheStore);
    CPPUNIT_TEST(allowanceRefusesAtOnceAndRunsNothing);
    CPPUNIT_TEST(transactionTakesOneToken);
    CPPUNIT_TEST_SUITE_END();

public:
    void writeRunsOnceAtThePrimary()
    {
        Vm vm;
        Caller caller(vm, "strict");
        CPPUNIT_ASSERT(caller.failure(writeItem) == StatementFailure::None);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countOf(vm.databases["a"], "write"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, vm.databases["b"].ran.size());
    }

    void busyWriteIsRetried()
    {
        Vm vm;
        vm.databases["a"].failures = {StatementFailure::Busy, StatementFailure::Busy};
        Caller caller(vm, "strict");
        CPPUNIT_ASSERT(caller.failure(writeItem) == StatementFailure::None);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countOf(vm.databases["a"], "write"));
    }

    void lostWriteIsInDoubtAndNotRepeated()
    {
        Vm vm;
        vm.databases["a"].losesAnswers = true;
        Caller caller(vm, "strict");
        CPPUNIT_ASSERT(caller.failure(writeItem) == StatementFailure::InDoubt);
        vm.timers.advance(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countOf(vm.databases["a"], "write"));
    }

    void failedReadIsRetriedAtAnotherDatabase()
    {
        Vm vm;
        vm.databases["b"].failures = {StatementFailure::Failed};
        vm.databases["c"].failures = {StatementFailure::Failed};
        Caller caller(vm, "old");
        CPPUNIT_ASSERT(caller.failure(readItem) == StatementFailure::None);
    }

    void readsSeeTheSessionsOwnCommit()
    {
        Vm vm;
        Caller caller(vm, "own");
        CPPUNIT_ASSERT(caller.failure(readItem) == StatementFailure::None);
        CPPUNIT_ASSERT(caller.failure(writeItem) == StatementFailure::None);
        // The replicas lag, so only the primary has the commit.
        const auto reply = caller.execute(readItem);
        CPPUNIT_ASSERT(reply && reply->isSuccess());
        CPPUNIT_ASSERT_EQUAL(std::string("signed-a"), reply->signature);
    }

    void strictReadsRunAtThePrimary()
    {
        Vm vm;
        Caller caller(vm, "strict");
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT(caller.failure(readItem) == StatementFailure::None);
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, countOf(vm.databases["a"], "read"));
    }

    void sessionValuesAreIsolated()
    {
        Vm vm;
        Caller first(vm, "strict");
        Caller second(vm, "strict");
        Caller third(vm, "strict");
        first.execute({.kind = StatementKind::SetValue, .name = "zone", .argument = "one"});
        second.execute({.kind = StatementKind::SetValue, .name = "zone", .argument = "two"});
        second.execute({.kind = StatementKind::SetValue, .name = "unit", .argument = "kg"});
        for (int i = 0; i < 10; ++i) {
            first.execute({.kind = StatementKind::Read, .argument = "first"});
            second.execute({.kind = StatementKind::Read, .argument = "second"});
            third.execute({.kind = StatementKind::Read, .argument = "third"});
        }
        for (const std::string &ran : vm.databases["a"].ran) {
            if (ran.find("first") != std::string::npos)
                CPPUNIT_ASSERT(ran.ends_with("first {zone=one}"));
            if (ran.find("second") != std::string::npos)
                CPPUNIT_ASSERT(ran.ends_with("second {unit=kg} {zone=two}"));
            if (ran.find("third") != std::string::npos)
                CPPUNIT_ASSERT(ran.ends_with("third"));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{30}, vm.databases["a"].ran.size());
    }

    void preparedStatementsBelongToTheSession()
    {
        Vm vm;
        Caller first(vm, "strict");
        Caller second(vm, "strict");
        const auto prepare = [](const char *shape, StatementAccess access) {
            return Statement{.kind = StatementKind::Prepare,
                             .name = "s1",
                             .access = access,
                             .argument = shape};
        };
        const Statement executeItem{
                .kind = StatementKind::Execute, .name = "s1", .argument = "1a4 v"};
        CPPUNIT_ASSERT(first.failure(executeItem) == StatementFailure::UnknownPrepared);
        first.execute(prepare("q1", StatementAccess::Write));
        second.execute(prepare("q2", StatementAccess::Read));
        CPPUNIT_ASSERT(first.failure(executeItem) == StatementFailure::None);
        CPPUNIT_ASSERT(second.failure(executeItem) == StatementFailure::None);
        CPPUNIT_ASSERT(vm.databases["a"].ran.at(0).starts_with("execute id-3 WRITE q1: 1a4 v"));
        CPPUNIT_ASSERT(vm.databases["a"].ran.at(1).starts_with("execute id-2 READ q2: 1a4 v"));
    }

    // Guards against a caller's shape with blanks that redefines another caller's prepared
    // statement on a shared connection, so that a prepared read runs as a write.
    void shapeWithBlanksRedefinesNoOtherPreparedStatement()
    {
        Vm vm;
        Caller first(vm, "strict");
        Caller second(vm, "strict");
        const auto prepare = [](const char *shape) {
            return Statement{.kind = StatementKind::Prepare,
                             .name = "s1",
                             .access = StatementAccess::Read,
                             .argument = shape};
        };
        const Statement executeItem{
                .kind = StatementKind::Execute, .name = "s1", .argument = "1a4"};
        first.execute(prepare("price"));
        CPPUNIT_ASSERT(first.failure(executeItem) == StatementFailure::None);
        for (const char *shape : {"price WRITE stock", "price READ a", "a b", " price"}) {
            second.execute(prepare(shape));
            CPPUNIT_ASSERT_MESSAGE(shape, second.failure(executeItem) == StatementFailure::None);
            CPPUNIT_ASSERT_MESSAGE(shape, first.failure(executeItem) == StatementFailure::None);
            const std::vector<std::string> &ran = vm.databases["a"].ran;
            CPPUNIT_ASSERT(
                    ran.at(ran.size() - 2).ends_with(std::string(" READ ") + shape + ": 1a4"));
            CPPUNIT_ASSERT(ran.back().ends_with(" READ price: 1a4"));
        }
    }

    // Guards against a caller that gets no answer, or a wrong promise, when its VM stops.
    void runningStatementIsAnsweredWhenItsVmStops()
    {
        const auto endedWith = [](const std::vector<Statement> &before,
                                  const Statement &statement) {
            Vm vm;
            Caller caller(vm, "strict");
            for (const Statement &earlier : before)
                caller.execute(earlier);
            for (const DatabaseId &database : vm.databases.names())
                vm.databases[database.value()].isSilent = true;
            CPPUNIT_ASSERT(!caller.execute(statement, 50ms));
            caller.session.endStatement();
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, caller.replies.size());
            caller.session.endStatement();
            vm.timers.advance(5s);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, caller.replies.size());
            return caller.replies.front();
        };
        using Failure = StatementFailure;
        CPPUNIT_ASSERT(endedWith({}, writeItem).failure == Failure::InDoubt);
        CPPUNIT_ASSERT(endedWith({}, writeItem).phase == SessionPhase::Idle);
        CPPUNIT_ASSERT(endedWith({}, readItem).failure == Failure::Aborted);
        CPPUNIT_ASSERT(endedWith({begin, writeItem}, commit).failure == Failure::InDoubt);
        CPPUNIT_ASSERT(endedWith({beginRead, readItem}, commit).failure == Failure::Aborted);
        CPPUNIT_ASSERT(endedWith({begin, readItem}, writeItem).failure == Failure::Aborted);
        CPPUNIT_ASSERT(endedWith({begin, readItem}, writeItem).phase == SessionPhase::Failed);
    }

    void transactionStaysOnOneConnection()
    {
        Vm vm;
        Caller caller(vm, "own");
        CPPUNIT_ASSERT(caller.execute(begin)->phase == SessionPhase::InTransaction);
        CPPUNIT_ASSERT(vm.databases["a"].ran.empty());
        CPPUNIT_ASSERT(caller.execute(writeItem)->phase == SessionPhase::InTransaction);
        CPPUNIT_ASSERT(caller.execute(readItem)->phase == SessionPhase::InTransaction);
        const auto end = caller.execute(commit);
        CPPUNIT_ASSERT(end->isSuccess() && end->phase == SessionPhase::Idle);
        const std::vector<std::string> &ran = vm.databases["a"].ran;
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, ran.size());
        CPPUNIT_ASSERT(ran[0].starts_with("begin ") && ran[1].starts_with("write id-2"));
        CPPUNIT_ASSERT(ran[2].starts_with("read id-3") && ran[3].starts_with("commit id-4"));
    }

    void destroyedSessionRollsBack()
    {
        Vm vm;
        {
            Caller caller(vm, "own");
            caller.execute(begin);
            caller.execute(writeItem);
        }
        vm.timers.advance(100ms);
        CPPUNIT_ASSERT(vm.databases["a"].ran.back().starts_with("rollback"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, countOf(vm.databases["a"], "commit"));
    }

    void failedTransactionAcceptsOnlyItsEnd()
    {
        Vm vm;
        Caller caller(vm, "own");
        caller.execute(begin);
        caller.execute(writeItem);
        vm.databases["a"].failures = {StatementFailure::ReadOnly};
        CPPUNIT_ASSERT(caller.execute(writeItem)->phase == SessionPhase::Failed);
        CPPUNIT_ASSERT(caller.failure(readItem) == StatementFailure::Malformed);
        const auto end = caller.execute(commit);
        CPPUNIT_ASSERT(end->failure == StatementFailure::Aborted);
        CPPUNIT_ASSERT(end->phase == SessionPhase::Idle);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, countOf(vm.databases["a"], "commit"));
        CPPUNIT_ASSERT(caller.failure(readItem) == StatementFailure::None);
    }

    void idleTransactionIsRolledBack()
    {
        Vm vm;
        Caller caller(vm, "own");
        caller.execute(begin);
        caller.execute(writeItem);
        vm.timers.advance(4s);
        CPPUNIT_ASSERT(vm.databases["a"].ran.back().starts_with("rollback"));
        const auto next = caller.execute(commit);
        CPPUNIT_ASSERT(next->failure == StatementFailure::Aborted);
        CPPUNIT_ASSERT(next->phase == SessionPhase::Idle);
    }

    void unansweredCommitIsInDoubt()
    {
        Vm vm;
        Caller caller(vm, "own");
        caller.execute(begin);
        caller.execute(writeItem);
        vm.databases["a"].isSilent = true;
        const auto end = caller.execute(commit);
        CPPUNIT_ASSERT(end && end->failure == StatementFailure::InDoubt);
        CPPUNIT_ASSERT(end->phase == SessionPhase::Idle);
    }

    // The store is unavailable, and another database leads a later term.
    void replacedPrimaryAcknowledgesNothing()
    {
        Vm vm;
        Caller writer(vm, "strict");
        Caller reader(vm, "strict");
        CPPUNIT_ASSERT(writer.failure(writeItem) == StatementFailure::None);
        vm.timers.advance(leadershipLease * 2);
        vm.databases.promote(DatabaseId("b"));
        CPPUNIT_ASSERT(writer.failure(writeItem) == StatementFailure::InDoubt);
        const auto read = reader.execute(readItem);
        CPPUNIT_ASSERT(!read || !read->isSuccess());
    }

    void storeOutageDoesNotStopWrites()
    {
        Vm vm;
        Caller writer(vm, "strict");
        Caller reader(vm, "own");
        vm.replicate();
        vm.timers.advance(leadershipLease * 2);
        CPPUNIT_ASSERT(writer.failure(writeItem) == StatementFailure::None);
        CPPUNIT_ASSERT(writer.failure(readItem) == StatementFailure::None);
        CPPUNIT_ASSERT(reader.failure(readItem) == StatementFailure::None);
    }

    // Pattern: the store is down, and one of three databases is cut off meanwhile. A majority is
    // enough as long as no database can have left without this VM having read that it would.
    void majorityIsEnoughWithinTheDepartureNotice()
    {
        for (const Duration notice : {Duration(7s), Duration(10s)}) {
            Vm vm(true, notice);
            Caller caller(vm, "strict");
            vm.replicate();
            CPPUNIT_ASSERT(caller.failure(writeItem) == StatementFailure::None);
            vm.databases["c"].isSilent = true;
            vm.timers.advance(notice - 2500ms);
            CPPUNIT_ASSERT(caller.failure(writeItem) == StatementFailure::None);
            vm.timers.advance(500ms);
            CPPUNIT_ASSERT(caller.failure(writeItem) == StatementFailure::InDoubt);
        }
    }

    // Neither the store nor the replicas respond, only the primary does.
    void writeIsNotSentWhileConfirmationFails()
    {
        // No database can leave unnoticed during the test.
        Vm vm(true, 20s);
        vm.runForPauseToEffect();
        Caller caller(vm, "strict");
        vm.timers.advance(leadershipLease * 2);
        vm.databases["b"].isSilent = true;
        vm.databases["c"].isSilent = true;
        CPPUNIT_ASSERT(caller.failure(writeItem) == StatementFailure::InDoubt);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countOf(vm.databases["a"], "write"));
        CPPUNIT_ASSERT_EQUAL(std::string("busy"), std::string(toString(caller.failure(writeItem))));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countOf(vm.databases["a"], "write"));
        vm.databases["b"].isSilent = false;
        vm.replicate();
        vm.timers.advance(1s);
        // The replica may have restarted, and forgotten a pause.
        CPPUNIT_ASSERT(caller.failure(writeItem) != StatementFailure::None);
        vm.timers.advance(pauseToEffectTime);
        CPPUNIT_ASSERT(caller.failure(writeItem) == StatementFailure::None);
    }

    // Guards against an outage of all traffic while the store is unavailable and one database of
    // three is down: reads at the primary that no write confirms must not stop the writes, and
    // confirmed commits yield the points that reads from replicas need.
    void commitsGoOnWithOneDatabaseDown()
    {
        Vm vm;
        vm.replicate();
        vm.runForPauseToEffect();
        Caller writer(vm, "strict");
        Caller reader(vm, "strict");
        Caller olderReader(vm, "old");
        vm.databases["c"].isSilent = true;
        vm.timers.advance(leadershipLease * 2);
        CPPUNIT_ASSERT(!reader.execute(readItem)->isSuccess());
        for (int i = 0; i < 10; ++i) {
            const Instant before = vm.timers.now();
            CPPUNIT_ASSERT(writer.failure(writeItem) == StatementFailure::None);
            CPPUNIT_ASSERT(vm.timers.now() - before < 100ms);
            const auto age = vm.upstreams.leadership().newestFloorAge(group, vm.timers.now());
            CPPUNIT_ASSERT(age && *age < 200ms);
            CPPUNIT_ASSERT(olderReader.failure(readItem) == StatementFailure::None);
            vm.timers.advance(100ms);
        }
        // A read that waits when a write arrives is confirmed by it.
        reader.session.handle(RequestId("r"), readItem);
        vm.timers.advance(20ms);
        CPPUNIT_ASSERT(writer.failure(writeItem) == StatementFailure::None);
        vm.timers.advance(200ms);
        CPPUNIT_ASSERT(reader.replies.back().isSuccess());
    }

    void unresponsivePrimaryIsRefusedQuickly()
    {
        Vm vm;
        Caller caller(vm, "strict");
        vm.databases["a"].isSilent = true;
        caller.execute(readItem);
        vm.renewLease();
        const Instant sentAt = vm.timers.now();
        CPPUNIT_ASSERT(caller.failure(writeItem) == StatementFailure::Busy);
        CPPUNIT_ASSERT(vm.timers.now() - sentAt < 100ms);
    }

    // A change of primary waits for a database of the newest term: guards against statements that
    // are held for it, as a late refusal costs more than a prompt one.
    void longChangeRefusesAtOnce()
    {
        Vm vm;
        Caller caller(vm, "strict");
        vm.databases["a"].isSilent = true;
        caller.execute(readItem);
        const LeadershipRecord announced{.group = group,
                                         .isChanging = true,
                                         .primary = DatabaseId("a"),
                                         .term = Term(1),
                                         .version = ObjectVersion(5)};
        const auto refusalTime = [&] {
            vm.upstreams.leadership().snapshot({.records = {announced}}, vm.timers.now());
            const Instant before = vm.timers.now();
            CPPUNIT_ASSERT(caller.failure(writeItem) == StatementFailure::Busy);
            return vm.timers.now() - before;
        };
        CPPUNIT_ASSERT(refusalTime() > 300ms);
        vm.timers.advance(3s);
        CPPUNIT_ASSERT(refusalTime() < 20ms);
        vm.databases["a"].isSilent = false;
        vm.timers.advance(1s);
        vm.upstreams.probeUnresponsive();
        vm.timers.advance(100ms);
        vm.replicate();
        CPPUNIT_ASSERT(caller.failure(writeItem) == StatementFailure::None);
    }

    // Refused statements are not sent, so only a probe detects the recovery.
    void recoveredPrimaryIsUsedAgain()
    {
        Vm vm;
        Caller caller(vm, "strict");
        vm.databases["a"].isSilent = true;
        caller.execute(readItem);
        vm.databases["a"].isSilent = false;
        for (int i = 0; i < 10; ++i) {
            vm.upstreams.probeUnresponsive();
            vm.timers.advance(100ms);
        }
        vm.renewLease();
        CPPUNIT_ASSERT(caller.failure(writeItem) == StatementFailure::None);
    }

    void unresponsiveReplicaIsHedged()
    {
        Vm vm;
        Caller caller(vm, "old");
        CPPUNIT_ASSERT(caller.failure(readItem) == StatementFailure::None);
        vm.databases["b"].isSilent = true;
        vm.databases["c"].isSilent = true;
        const Instant sentAt = vm.timers.now();
        CPPUNIT_ASSERT(caller.failure(readItem) == StatementFailure::None);
        CPPUNIT_ASSERT(vm.timers.now() - sentAt < 400ms);
    }

    void unknownRouteIsReported()
    {
        Vm vm;
        Caller caller(vm, "gone");
        CPPUNIT_ASSERT(caller.failure(readItem) == StatementFailure::UnknownRoute);
        CPPUNIT_ASSERT(caller.failure(begin) == StatementFailure::UnknownRoute);
    }

    // The session's commit was lost with the previous primary.
    void discardedCommitDoesNotBlockReads()
    {
        Vm vm;
        Caller caller(vm, "own");
        CPPUNIT_ASSERT(caller.failure(writeItem) == StatementFailure::None);
        CPPUNIT_ASSERT(caller.failure(writeItem) == StatementFailure::None);
        vm.databases["a"].isSilent = true;
        vm.databases.promote(DatabaseId("b"));
        vm.databases["b"].received = {Term(2), LogPosition(0)};
        vm.databases.sync();
        vm.upstreams.leadership().snapshot({.records = {{.group = group,
                                                         .primary = DatabaseId("b"),
                                                         .term = Term(2),
                                                         .version = ObjectVersion(5)}}},
                                           vm.timers.now());
        const auto reply = caller.execute(readItem);
        CPPUNIT_ASSERT(reply && reply->isSuccess());
    }

    // The store is unavailable and the group has no primary, so every read waits for evidence.
    void waitingReadsShareEvidenceRounds()
    {
        Vm vm;
        vm.timers.advance(3s);
        vm.databases["a"].role = Role::Replica;
        const Counter &rounds = vm.counters.counter("fescuespring_evidence_rounds_total");
        const std::uint64_t before = rounds.value();
        std::deque<Caller> callers;
        for (int i = 0; i < 15; ++i) {
            callers.emplace_back(vm, "old").session.handle(RequestId("r" + std::to_string(i)),
                                                           readItem);
            vm.timers.advance(7ms);
        }
        vm.timers.advance(600ms);
        // One round every 100 ms.
        CPPUNIT_ASSERT(rounds.value() - before >= 3);
        CPPUNIT_ASSERT(rounds.value() - before <= 8);
    }

    // The store fails just after a VM has started, before the other VMs are known.
    void oneConnectionServesStrictReadsWithoutTheStore()
    {
        Vm vm(false);
        vm.timers.advance(3s);
        Caller caller(vm, "strict");
        const auto reply = caller.execute(readItem, 300ms);
        CPPUNIT_ASSERT(reply && reply->isSuccess());
    }

    // Guards against operations that run beyond the allowance, and against repeats and statements
    // without a customer that count.
    void allowanceRefusesAtOnceAndRunsNothing()
    {
        Vm vm;
        // The bucket holds 2, and 14 of the tolerance of 20.
        vm.limit({.operationsPerSecond = 2, .burst = 2});
        vm.databases["a"].failures = {StatementFailure::Busy, StatementFailure::Busy};
        Caller caller(vm, "strict", harbourKey);
        for (int i = 0; i < 16; ++i)
            CPPUNIT_ASSERT(caller.failure(writeItem) == StatementFailure::None);
        const auto refused = caller.execute(writeItem, 1ms);
        CPPUNIT_ASSERT(refused && refused->failure == StatementFailure::Overload);
        CPPUNIT_ASSERT(
                refused->message.starts_with("allowance of the customer is used up; retry after "));
        CPPUNIT_ASSERT(refused->phase == SessionPhase::Idle);
        CPPUNIT_ASSERT_EQUAL(std::size_t{16}, countOf(vm.databases["a"], "write"));
        CPPUNIT_ASSERT(Caller(vm, "open").failure(writeItem) == StatementFailure::None);
    }

    // Guards against a transaction that is refused halfway.
    void transactionTakesOneToken()
    {
        Vm vm;
        vm.limit({.operationsPerSecond = 0.01, .burst = 0});
        Caller caller(vm, "strict", harbourKey);
        CPPUNIT_ASSERT(caller.failure(begin) == StatementFailure::None);
        for (int i = 0; i < 12; ++i)
            CPPUNIT_ASSERT(caller.failure(writeItem) == StatementFailure::None);
        CPPUNIT_ASSERT(caller.failure(commit) == StatementFailure::None);
        CPPUNIT_ASSERT(caller.failure(begin) == StatementFailure::None);
        CPPUNIT_ASSERT(caller.failure(writeItem) == StatementFailure::Overload);
        CPPUNIT_ASSERT(caller.failure(commit) == StatementFailure::Aborted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatementSessionTest);
