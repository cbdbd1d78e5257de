#include "databasemodel/server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace fescuespring;
using namespace std::chrono_literals;

class DatabaseServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DatabaseServerTest);
    CPPUNIT_TEST(connectionsCostTimeAndAreLimited);
    CPPUNIT_TEST(statementWithoutWorkIsAnsweredImmediately);
    CPPUNIT_TEST(statementsBeyondTheSlotsWaitInOrder);
    CPPUNIT_TEST(callsWithoutAFreeConnectionAreRefused);
    CPPUNIT_TEST(statementOfALostConnectionKeepsItsSlot);
    CPPUNIT_TEST(waitingStatementOfALostConnectionIsDropped);
    CPPUNIT_TEST(fenceRefusesRunningStatements);
    CPPUNIT_TEST(thawedServerResumesInOrder);
    CPPUNIT_TEST(slownessMultipliesWork);
    CPPUNIT_TEST_SUITE_END();

public:
    void connectionsCostTimeAndAreLimited()
    {
        DatabaseServer server = makeServer({.connections = 2});
        std::vector<OpenAnswer> answers;
        for (std::uint64_t i = 1; i <= 3; ++i)
            server.open(DatabaseConnectionId(i), at(0ms),
                        [&answers](const OpenAnswer &answer) { answers.push_back(answer); });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), answers.size());
        CPPUNIT_ASSERT(CallRefusal::ConnectionLimit == answers[0].refusal);
        server.advance(at(10ms));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), answers.size());
        server.close(DatabaseConnectionId(1), at(11ms));
        open(server, 4, at(11ms));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), server.connections());
    }

    void statementWithoutWorkIsAnsweredImmediately()
    {
        DatabaseServer server = makeServer({});
        open(server, 1, at(0ms));
        call(server, 1, "set a 1", at(20ms));
        CPPUNIT_ASSERT_EQUAL(std::string("ok@20"), m_answers.at(0));
    }

    void statementsBeyondTheSlotsWaitInOrder()
    {
        DatabaseServer server = makeServer({.slots = 2});
        for (std::uint64_t i = 1; i <= 4; ++i)
            open(server, i, at(0ms));
        for (std::uint64_t i = 1; i <= 4; ++i)
            call(server, i, "work=10 add a 1", at(20ms));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), server.waiting());
        runTo(server, at(39ms));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_answers.size());
        runTo(server, at(40ms));
        CPPUNIT_ASSERT_EQUAL(std::string("4@40"), m_answers.at(3));
    }

    void callsWithoutAFreeConnectionAreRefused()
    {
        DatabaseServer server = makeServer({});
        call(server, 1, "get a", at(0ms));
        CPPUNIT_ASSERT_EQUAL(std::string("not-open@0"), m_answers.at(0));
        open(server, 1, at(0ms));
        call(server, 1, "work=5 get a", at(20ms));
        call(server, 1, "get a", at(20ms));
        CPPUNIT_ASSERT_EQUAL(std::string("busy@20"), m_answers.at(1));
    }

    void statementOfALostConnectionKeepsItsSlot()
    {
        DatabaseServer server = makeServer({});
        open(server, 1, at(0ms));
        call(server, 1, "work=10 set a 1", at(20ms));
        server.close(DatabaseConnectionId(1), at(21ms));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.connections());
        runTo(server, at(30ms));
        CPPUNIT_ASSERT(m_answers.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), server.connections());
        CPPUNIT_ASSERT(server.database().cells().contains("a"));
    }

    void waitingStatementOfALostConnectionIsDropped()
    {
        DatabaseServer server = makeServer({.slots = 1});
        open(server, 1, at(0ms));
        open(server, 2, at(0ms));
        call(server, 1, "work=10 set a 1", at(20ms));
        call(server, 2, "set b 1", at(20ms));
        server.close(DatabaseConnectionId(2), at(21ms));
        runTo(server, at(40ms));
        CPPUNIT_ASSERT(!server.database().cells().contains("b"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_answers.size());
    }

    void fenceRefusesRunningStatements()
    {
        DatabaseServer server = makeServer({});
        open(server, 1, at(0ms));
        call(server, 1, "work=10 set a 1", at(20ms));
        server.perform(at(25ms),
                       [](Database &database, Instant now) { database.fence({Term(2)}, now); });
        runTo(server, at(30ms));
        CPPUNIT_ASSERT_EQUAL(std::string("lower-term@30"), m_answers.at(0));
        CPPUNIT_ASSERT(!server.database().cells().contains("a"));
    }

    void thawedServerResumesInOrder()
    {
        DatabaseServer server = makeServer({.slots = 1});
        open(server, 1, at(0ms));
        open(server, 2, at(0ms));
        call(server, 1, "work=10 set a 1", at(20ms));
        server.setFaults({.frozen = true}, at(25ms));
        call(server, 2, "set a 2", at(26ms));
        server.close(DatabaseConnectionId(2), at(27ms));
        server.perform(at(28ms),
                       [](Database &database, Instant now) { database.fence({Term(2)}, now); });
        runTo(server, at(90ms));
        CPPUNIT_ASSERT(m_answers.empty());
        runTo(server, at(100ms));
        m_now = at(100ms);
        server.setFaults({}, at(100ms));
        CPPUNIT_ASSERT_EQUAL(std::string("ok@100"), m_answers.at(0));
        CPPUNIT_ASSERT_EQUAL(std::string("2"), server.database().cells().at("a").value);
        CPPUNIT_ASSERT(Term(2) == server.database().term());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.connections());
    }

    void slownessMultipliesWork()
    {
        DatabaseServer server = makeServer({});
        open(server, 1, at(0ms));
        server.setFaults({.slowness = 3}, at(20ms));
        call(server, 1, "work=10 set a 1", at(20ms));
        CPPUNIT_ASSERT(at(50ms) == *server.nextEvent());
    }

private:
    static Instant at(Duration time)
    {
        return Instant(time);
    }

    static DatabaseServer makeServer(const DatabaseServerOptions &options)
    {
        return DatabaseServer(
                {.database = DatabaseId("d1"), .group = GroupId("herd"), .initialPrimary = true},
                options);
    }

    void open(DatabaseServer &server, std::uint64_t connection, Instant now)
    {
        server.open(DatabaseConnectionId(connection), now, [](const OpenAnswer &) {});
        runTo(server, now + 10ms);
    }

    void call(DatabaseServer &server, std::uint64_t connection, const std::string &statement,
              Instant now)
    {
        m_now = now;
        const StatementCall call{
                .access = Access::Write, .term = Term(1), .id = {}, .statement = statement};
        server.call(DatabaseConnectionId(connection), call, now,
                    [this](const StatementAnswer &answer) { recordAnswer(answer); });
    }

    void recordAnswer(const StatementAnswer &answer)
    {
        const bool refused = answer.outcome == CallOutcome::Refused;
        const std::string text = refused ? toString(answer.refusal) : answer.result;
        const auto time =
                std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch());
        m_answers.push_back(text + "@" + std::to_string(time.count()));
    }

    // Advances from event to event up to end.
    void runTo(DatabaseServer &server, Instant end)
    {
        while (server.nextEvent() && *server.nextEvent() <= end) {
            m_now = *server.nextEvent();
            server.advance(m_now);
        }
    }

    Instant m_now;
    std::vector<std::string> m_answers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatabaseServerTest);
