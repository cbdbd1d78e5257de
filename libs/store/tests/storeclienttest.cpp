#include "store/storeclient.h"

#include "support/fakestore.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

using namespace fescuespring;
using namespace std::chrono_literals;
using test::FakeStore;

class StoreClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreClientTest);
    CPPUNIT_TEST(readsAndWrites);
    CPPUNIT_TEST(writeWhoseAnswerIsLostIsFoundByReadingBack);
    CPPUNIT_TEST(writeThatIsLostIsSentAgain);
    CPPUNIT_TEST(lostAnswerAndAnotherWriterAreToldApartByTheMark);
    CPPUNIT_TEST(conflictBringsWhatStandsThere);
    CPPUNIT_TEST(outageEndsInBackoffAndNotWritten);
    CPPUNIT_TEST(olderAnswerIsNotPassedOn);
    CPPUNIT_TEST(budgetBoundsTheCalls);
    CPPUNIT_TEST(watchResumesAfterAnOutage);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_store = FakeStore();
        m_counters = std::make_unique<Counters>();
        m_client = std::make_unique<StoreClient>(m_store, StoreClientOptions(), *m_counters);
        m_now = Instant(1h);
        run(0s);
    }

    void readsAndWrites()
    {
        CPPUNIT_ASSERT(write({"a", "x", ObjectVersion(0)}).outcome == WriteOutcome::Written);
        const Result<StoredObject> object = read("a");
        CPPUNIT_ASSERT_EQUAL(std::string("x"), object.value().value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), object.value().version.value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), read("none").value().version.value());
    }

    void writeWhoseAnswerIsLostIsFoundByReadingBack()
    {
        m_store.losesAnswers = 1;
        const WriteResult result = write({"a", "x", ObjectVersion(0)});
        CPPUNIT_ASSERT(result.outcome == WriteOutcome::Written);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_store.version("a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_store.writes);
    }

    void writeThatIsLostIsSentAgain()
    {
        m_store.losesWrites = 1;
        CPPUNIT_ASSERT(write({"a", "x", ObjectVersion(0)}).outcome == WriteOutcome::Written);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_store.version("a"));
    }

    void lostAnswerAndAnotherWriterAreToldApartByTheMark()
    {
        const WriteMark mark = [](const StoredObject &object) -> std::optional<bool> {
            return object.value.find("mine") != std::string::npos;
        };
        m_store.losesAnswers = 1;
        start({"a", "mine", ObjectVersion(0)}, mark);
        run(100ms);
        m_store.put("a", "mine and theirs");
        run(5s);
        CPPUNIT_ASSERT(m_result.outcome == WriteOutcome::Written);

        m_store.losesWrites = 1;
        start({"b", "mine", ObjectVersion(0)}, mark);
        m_store.put("b", "theirs");
        run(5s);
        CPPUNIT_ASSERT(m_result.outcome == WriteOutcome::Conflict);
        CPPUNIT_ASSERT_EQUAL(std::string("theirs"), m_result.current.value);

        // Without a mark it cannot be told once a third version stands there.
        m_store.losesAnswers = 1;
        start({"c", "mine", ObjectVersion(0)}, {});
        run(100ms);
        m_store.put("c", "theirs");
        run(5s);
        CPPUNIT_ASSERT(m_result.outcome == WriteOutcome::Unknown);
    }

    void conflictBringsWhatStandsThere()
    {
        m_store.put("a", "theirs");
        const WriteResult result = write({"a", "x", ObjectVersion(0)});
        CPPUNIT_ASSERT(result.outcome == WriteOutcome::Conflict);
        CPPUNIT_ASSERT_EQUAL(std::string("theirs"), result.current.value);
    }

    void outageEndsInBackoffAndNotWritten()
    {
        m_store.isDown = true;
        m_client->write({"a", "x", ObjectVersion(0)}, m_now, m_now + 60s,
                        [this](const WriteResult &result) { m_result = result; });
        run(61s);
        CPPUNIT_ASSERT(m_result.outcome == WriteOutcome::NotWritten);
        CPPUNIT_ASSERT(m_store.calls > 20);
        CPPUNIT_ASSERT(m_store.calls < 120);
        CPPUNIT_ASSERT(!m_client->isReachable());
        m_store.isDown = false;
        CPPUNIT_ASSERT(write({"a", "x", ObjectVersion(0)}).outcome == WriteOutcome::Written);
    }

    void olderAnswerIsNotPassedOn()
    {
        m_store.put("a", "one");
        m_store.put("a", "two");
        CPPUNIT_ASSERT_EQUAL(std::string("two"), read("a").value().value);
        m_store.answersOld = 3;
        CPPUNIT_ASSERT_EQUAL(std::string("two"), read("a").value().value);
        CPPUNIT_ASSERT_EQUAL(0, m_store.answersOld);
        // What a peer has told of counts as seen.
        m_client->raiseFloor("a", ObjectVersion(3));
        CPPUNIT_ASSERT(!read("a"));
    }

    void budgetBoundsTheCalls()
    {
        int answered = 0;
        for (int i = 0; i < 100; ++i)
            m_client->read("a", m_now, m_now + 5s,
                           [&](const Result<StoredObject> &result) { answered += result ? 1 : 0; });
        run(1s);
        CPPUNIT_ASSERT(m_store.calls >= 29);
        CPPUNIT_ASSERT(m_store.calls <= 31);
        run(10s);
        CPPUNIT_ASSERT(answered >= 65);
        CPPUNIT_ASSERT(answered <= 72);
    }

    void watchResumesAfterAnOutage()
    {
        std::vector<std::string> seen;
        m_client->watch("a", ObjectVersion(0), m_now,
                        [&](const StoredObject &object) { seen.push_back(object.value); });
        run(1s);
        m_store.put("a", "one");
        run(1s);
        m_store.isDown = true;
        run(30s);
        m_store.put("a", "two");
        m_store.isDown = false;
        run(5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), seen.size());
        CPPUNIT_ASSERT_EQUAL(std::string("two"), seen.back());
        m_client->unwatch("a");
        m_store.put("a", "three");
        run(5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), seen.size());
    }

private:
    void run(Duration duration)
    {
        const Instant end = m_now + duration;
        for (; m_now <= end; m_now += 10ms) {
            m_store.run(m_now);
            m_client->tick(m_now);
        }
    }

    void start(const ObjectWrite &write, const WriteMark &mark)
    {
        m_client->write(
                write, m_now, m_now + 4s, [this](const WriteResult &result) { m_result = result; },
                mark);
    }

    WriteResult write(const ObjectWrite &write)
    {
        start(write, {});
        run(5s);
        return m_result;
    }

    Result<StoredObject> read(const std::string &key)
    {
        Result<StoredObject> found = Error{ErrorCode::Internal, "not answered"};
        m_client->read(key, m_now, m_now + 4s,
                       [&found](const Result<StoredObject> &result) { found = result; });
        run(5s);
        return found;
    }

    FakeStore m_store;
    std::unique_ptr<Counters> m_counters;
    std::unique_ptr<StoreClient> m_client;
    WriteResult m_result;
    Instant m_now;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreClientTest);
