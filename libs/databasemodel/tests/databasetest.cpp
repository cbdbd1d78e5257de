#include "databasemodel/database.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t manyEntries = 1000;
const DatabaseConnectionId firstConnection{1};
const DatabaseConnectionId secondConnection{2};

Database makePrimary()
{
    return Database(
            {.database = DatabaseId("d1"), .group = GroupId("herd"), .initialPrimary = true});
}

Database makeReplica(const std::string &name)
{
    return Database({.database = DatabaseId(name),
                     .group = GroupId("herd"),
                     .initialFollows = Endpoint{"10.0.0.1", 1}});
}

StatementCall writeCall(const std::string &statement, std::uint64_t term = 1)
{
    return {.access = Access::Write, .term = Term(term), .id = {}, .statement = statement};
}

StatementCall onceCall(const std::string &id, const std::string &statement, std::uint64_t term = 1)
{
    StatementCall call = writeCall(statement, term);
    call.id = RequestId(id);
    call.idempotent = false;
    return call;
}

StatementCall transactionCall(CallKind kind, const std::string &statement = {})
{
    StatementCall call = writeCall(statement);
    call.kind = kind;
    return call;
}

void pull(Database &replica, const Database &primary, Instant now)
{
    const auto request = replica.nextRequest();
    CPPUNIT_ASSERT(request.has_value());
    replica.receive(primary.read(*request, manyEntries), now, now);
}

std::string valueOf(const Database &database, const std::string &key)
{
    const auto cell = database.cells().find(key);
    return cell == database.cells().end() ? std::string() : cell->second.value;
}

} // namespace

class DatabaseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DatabaseTest);
    CPPUNIT_TEST(statementsReturnTheirResults);
    CPPUNIT_TEST(invalidStatementsFailWithoutEffect);
    CPPUNIT_TEST(replicaReadsWhatItPulled);
    CPPUNIT_TEST(lagDelaysReceiveAndApplySeparately);
    CPPUNIT_TEST(ageCountsFromTheLastCompleteBatch);
    CPPUNIT_TEST(lowerTermAndReplicaWritesAreRefused);
    CPPUNIT_TEST(fencedPrimaryRefusesWritesAndPulls);
    CPPUNIT_TEST(promotionRequiresItsExactTermAndLogsItsStart);
    CPPUNIT_TEST(previousPrimaryDropsItsUnreplicatedTail);
    CPPUNIT_TEST(longTailOfAnOlderTermIsNeverMoreAdvanced);
    CPPUNIT_TEST(batchOfThePreviousPrimaryIsIgnoredAfterFencing);
    CPPUNIT_TEST(duplicateIsAnsweredFromTheRecordAlsoAfterPromotion);
    CPPUNIT_TEST(droppedWriteLeavesNoRecord);
    CPPUNIT_TEST(transactionIsInvisibleUntilCommit);
    CPPUNIT_TEST(lostConnectionRollsBack);
    CPPUNIT_TEST(secondOfTwoConflictingTransactionsFails);
    CPPUNIT_TEST(duplicateTransactionIsAnsweredFromTheRecord);
    CPPUNIT_TEST(statementOutsideItsTransactionFails);
    CPPUNIT_TEST_SUITE_END();

public:
    void statementsReturnTheirResults()
    {
        Database primary = makePrimary();
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), write(primary, "set a/1 5"));
        CPPUNIT_ASSERT_EQUAL(std::string("12"), write(primary, "add a/1 7"));
        CPPUNIT_ASSERT_EQUAL(std::string("-3"), write(primary, "add a/2 -3"));
        CPPUNIT_ASSERT_EQUAL(std::string("6"), write(primary, "append b two ox"));
        CPPUNIT_ASSERT_EQUAL(std::string("9"), read(primary, "sum a/"));
        CPPUNIT_ASSERT_EQUAL(std::string("two ox"), read(primary, "work=2.5 get b"));
    }

    void invalidStatementsFailWithoutEffect()
    {
        Database primary = makePrimary();
        write(primary, "set name cow");
        const LogPoint before = primary.applied();
        for (const char *text : {"", "drop all", "get", "add name 1", "add n x", "get a b",
                                 "work=-1 get a", "work=x get a"}) {
            const auto answer = primary.execute(firstConnection, writeCall(text), m_now);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, int(CallOutcome::Failed), int(answer.outcome));
        }
        StatementCall call = writeCall("set a 1");
        call.access = Access::Read;
        const auto answer = primary.execute(firstConnection, call, m_now);
        CPPUNIT_ASSERT_EQUAL(int(CallOutcome::Failed), int(answer.outcome));
        CPPUNIT_ASSERT(before == primary.applied());
    }

    void replicaReadsWhatItPulled()
    {
        Database primary = makePrimary();
        Database replica = makeReplica("d2");
        write(primary, "set a 1");
        CPPUNIT_ASSERT_EQUAL(std::string(), read(replica, "get a"));
        pull(replica, primary, m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), read(replica, "get a"));
        CPPUNIT_ASSERT(primary.applied() == replica.status(m_now).received);
        CPPUNIT_ASSERT(primary.log().history() == replica.log().history());
    }

    void lagDelaysReceiveAndApplySeparately()
    {
        Database primary = makePrimary();
        Database replica = makeReplica("d2");
        replica.setLag({.receive = 100ms, .apply = 50ms}, m_now);
        write(primary, "set a 1");
        pull(replica, primary, m_now);
        replica.advance(m_now + 99ms);
        CPPUNIT_ASSERT(LogPoint() == replica.status(m_now).received);
        replica.advance(m_now + 100ms);
        CPPUNIT_ASSERT(primary.applied() == replica.status(m_now).received);
        CPPUNIT_ASSERT(LogPoint() == replica.applied());
        CPPUNIT_ASSERT(m_now + 150ms == *replica.nextEvent());
        replica.advance(m_now + 150ms);
        CPPUNIT_ASSERT(primary.applied() == replica.applied());
    }

    void ageCountsFromTheLastCompleteBatch()
    {
        const Database primary = makePrimary();
        Database replica = makeReplica("d2");
        CPPUNIT_ASSERT(unknownAge == replica.status(m_now).age);
        replica.setLag({.receive = 0ms, .apply = 30ms}, m_now);
        LogBatch batch = primary.read(*replica.nextRequest(), manyEntries);
        batch.waited = 5ms;
        replica.receive(std::move(batch), m_now, m_now + 6ms);
        CPPUNIT_ASSERT(unknownAge == replica.status(m_now + 35ms).age);
        replica.advance(m_now + 36ms);
        CPPUNIT_ASSERT(31ms == replica.status(m_now + 36ms).age);
        CPPUNIT_ASSERT(0ms == primary.status(m_now + 36ms).age);
    }

    void lowerTermAndReplicaWritesAreRefused()
    {
        Database replica = makeReplica("d2");
        CPPUNIT_ASSERT(CallRefusal::NotPrimary == replica.refusal(writeCall("set a 1")));
        replica.fence({Term(3)}, m_now);
        CPPUNIT_ASSERT(CallRefusal::LowerTerm == replica.refusal(writeCall("set a 1", 2)));
        const Database primary = makePrimary();
        CPPUNIT_ASSERT(CallRefusal::NotPrimary == primary.refusal(writeCall("set a 1", 2)));
    }

    void fencedPrimaryRefusesWritesAndPulls()
    {
        Database primary = makePrimary();
        Database replica = makeReplica("d2");
        primary.execute(firstConnection, transactionCall(CallKind::Begin), m_now);
        CPPUNIT_ASSERT(Role::Primary == primary.fence({Term(1)}, m_now).role);
        const DatabaseStatus status = primary.fence({Term(2)}, m_now);
        CPPUNIT_ASSERT(Role::Replica == status.role);
        CPPUNIT_ASSERT(Term(2) == status.term);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), primary.openTransactions());
        CPPUNIT_ASSERT(CallRefusal::NotPrimary == primary.refusal(writeCall("set a 1", 2)));
        CPPUNIT_ASSERT(LogOutcome::Refused
                       == primary.read(*replica.nextRequest(), manyEntries).outcome);
    }

    void promotionRequiresItsExactTermAndLogsItsStart()
    {
        Database replica = makeReplica("d2");
        replica.fence({Term(4)}, m_now);
        CPPUNIT_ASSERT(Role::Replica == replica.promote({Term(3)}, m_now).role);
        CPPUNIT_ASSERT(Role::Replica == replica.promote({Term(5)}, m_now).role);
        const DatabaseStatus first = replica.promote({Term(4)}, m_now);
        CPPUNIT_ASSERT(Role::Primary == first.role);
        CPPUNIT_ASSERT((LogPoint{Term(4), LogPosition(1)}) == first.applied);
        const DatabaseStatus again = replica.promote({Term(4)}, m_now);
        CPPUNIT_ASSERT(first.applied == again.applied);
    }

    void previousPrimaryDropsItsUnreplicatedTail()
    {
        Database previous = makePrimary();
        Database next = makeReplica("d2");
        write(previous, "set a kept");
        pull(next, previous, m_now);
        write(previous, "set a lost");
        write(previous, "set b lost");
        promoteTo(next, 2);
        next.execute(firstConnection, writeCall("set c new", 2), m_now);

        previous.follow({Term(2), {"10.0.0.2", 1}}, m_now);
        pull(previous, next, m_now);
        pull(previous, next, m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("kept"), valueOf(previous, "a"));
        CPPUNIT_ASSERT_EQUAL(std::string(), valueOf(previous, "b"));
        CPPUNIT_ASSERT_EQUAL(std::string("new"), valueOf(previous, "c"));
        CPPUNIT_ASSERT(next.log().history() == previous.log().history());
        CPPUNIT_ASSERT(next.applied() == previous.applied());
    }

    void longTailOfAnOlderTermIsNeverMoreAdvanced()
    {
        Database previous = makePrimary();
        Database next = makeReplica("d2");
        pull(next, previous, m_now);
        for (int i = 0; i < 20; ++i)
            write(previous, "add tail 1");
        promoteTo(next, 2);
        const LogPoint shortOfTerm2 = next.status(m_now).received;
        const LogPoint longOfTerm1 = previous.fence({Term(3)}, m_now).received;
        CPPUNIT_ASSERT(longOfTerm1.position > shortOfTerm2.position);
        CPPUNIT_ASSERT(longOfTerm1 < shortOfTerm2);
    }

    void batchOfThePreviousPrimaryIsIgnoredAfterFencing()
    {
        Database primary = makePrimary();
        Database replica = makeReplica("d2");
        write(primary, "set a 1");
        const LogBatch late = primary.read(*replica.nextRequest(), manyEntries);
        replica.fence({Term(2)}, m_now);
        replica.receive(late, m_now, m_now);
        CPPUNIT_ASSERT(LogPoint() == replica.status(m_now).received);
        CPPUNIT_ASSERT(!replica.nextRequest());
    }

    void duplicateIsAnsweredFromTheRecordAlsoAfterPromotion()
    {
        Database primary = makePrimary();
        Database replica = makeReplica("d2");
        const auto first = primary.execute(firstConnection, onceCall("r", "add bill 5"), m_now);
        const auto second = primary.execute(secondConnection, onceCall("r", "add bill 5"), m_now);
        CPPUNIT_ASSERT(!first.repeated && second.repeated);
        pull(replica, primary, m_now);
        promoteTo(replica, 2);
        const auto third = replica.execute(firstConnection, onceCall("r", "add bill 5", 2), m_now);
        CPPUNIT_ASSERT(third.repeated);
        CPPUNIT_ASSERT(first.point == third.point);
        CPPUNIT_ASSERT_EQUAL(first.result, third.result);
        CPPUNIT_ASSERT_EQUAL(std::string("5"), valueOf(replica, "bill"));
    }

    void droppedWriteLeavesNoRecord()
    {
        Database previous = makePrimary();
        Database next = makeReplica("d2");
        previous.execute(firstConnection, onceCall("r", "add bill 5"), m_now);
        promoteTo(next, 2);
        previous.follow({Term(2), {"10.0.0.2", 1}}, m_now);
        pull(previous, next, m_now);
        pull(previous, next, m_now);
        promoteTo(previous, 3);
        const auto again = previous.execute(firstConnection, onceCall("r", "add bill 5", 3), m_now);
        CPPUNIT_ASSERT(!again.repeated);
        CPPUNIT_ASSERT_EQUAL(std::string("5"), again.result);
    }

    void transactionIsInvisibleUntilCommit()
    {
        Database primary = makePrimary();
        primary.execute(firstConnection, transactionCall(CallKind::Begin), m_now);
        primary.execute(firstConnection, transactionCall(CallKind::Statement, "set a 1"), m_now);
        CPPUNIT_ASSERT_EQUAL(std::string(), read(primary, "get a", secondConnection));
        const auto own = primary.execute(firstConnection,
                                         transactionCall(CallKind::Statement, "get a"), m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), own.result);
        const auto done =
                primary.execute(firstConnection, transactionCall(CallKind::Commit), m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("ok\n1"), done.result);
        CPPUNIT_ASSERT(primary.applied() == done.point);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), read(primary, "get a", secondConnection));
    }

    void lostConnectionRollsBack()
    {
        Database primary = makePrimary();
        const LogPoint before = primary.applied();
        primary.execute(firstConnection, transactionCall(CallKind::Begin), m_now);
        primary.execute(firstConnection, transactionCall(CallKind::Statement, "set a 1"), m_now);
        primary.connectionLost(firstConnection);
        const auto commit =
                primary.execute(firstConnection, transactionCall(CallKind::Commit), m_now);
        CPPUNIT_ASSERT_EQUAL(int(CallOutcome::Failed), int(commit.outcome));
        CPPUNIT_ASSERT(before == primary.applied());
    }

    void secondOfTwoConflictingTransactionsFails()
    {
        Database primary = makePrimary();
        for (const auto connection : {firstConnection, secondConnection}) {
            primary.execute(connection, transactionCall(CallKind::Begin), m_now);
            primary.execute(connection, transactionCall(CallKind::Statement, "add a 1"), m_now);
        }
        const auto first =
                primary.execute(firstConnection, transactionCall(CallKind::Commit), m_now);
        const auto second =
                primary.execute(secondConnection, transactionCall(CallKind::Commit), m_now);
        CPPUNIT_ASSERT_EQUAL(int(CallOutcome::Done), int(first.outcome));
        CPPUNIT_ASSERT_EQUAL(int(CallOutcome::Failed), int(second.outcome));
        CPPUNIT_ASSERT_EQUAL(std::string("1"), valueOf(primary, "a"));
    }

    void duplicateTransactionIsAnsweredFromTheRecord()
    {
        Database primary = makePrimary();
        StatementCall begin = onceCall("t", {});
        begin.kind = CallKind::Begin;
        primary.execute(firstConnection, begin, m_now);
        primary.execute(firstConnection, transactionCall(CallKind::Statement, "add a 1"), m_now);
        const auto done =
                primary.execute(firstConnection, transactionCall(CallKind::Commit), m_now);
        const auto again = primary.execute(secondConnection, begin, m_now);
        CPPUNIT_ASSERT(again.repeated);
        CPPUNIT_ASSERT_EQUAL(done.result, again.result);
        CPPUNIT_ASSERT(done.point == again.point);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), primary.openTransactions());
    }

    void statementOutsideItsTransactionFails()
    {
        Database primary = makePrimary();
        const auto orphan = primary.execute(firstConnection,
                                            transactionCall(CallKind::Statement, "set a 1"), m_now);
        CPPUNIT_ASSERT_EQUAL(int(CallOutcome::Failed), int(orphan.outcome));
        primary.execute(firstConnection, transactionCall(CallKind::Begin), m_now);
        const auto mixed = primary.execute(firstConnection, writeCall("set a 1"), m_now);
        CPPUNIT_ASSERT_EQUAL(int(CallOutcome::Failed), int(mixed.outcome));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), primary.openTransactions());
    }

private:
    std::string write(Database &database, const std::string &statement)
    {
        return database.execute(firstConnection, writeCall(statement), m_now).result;
    }

    std::string read(Database &database, const std::string &statement,
                     DatabaseConnectionId connection = firstConnection)
    {
        StatementCall call = writeCall(statement);
        call.access = Access::Read;
        return database.execute(connection, call, m_now).result;
    }

    void promoteTo(Database &database, std::uint64_t term)
    {
        database.fence({Term(term)}, m_now);
        database.promote({Term(term)}, m_now);
    }

    const Instant m_now{1h};
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatabaseTest);
