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
    CPPUNIT_TEST(writeWithLostReplyIsFoundByReadingBack);
    CPPUNIT_TEST(lostWriteIsResent);
    CPPUNIT_TEST(markDistinguishesOwnWriteFromAnotherWriter);
    CPPUNIT_TEST(conflictReturnsCurrentObject);
    CPPUNIT_TEST(outageCausesBackoffAndNotWritten);
    CPPUNIT_TEST(olderVersionIsNotDelivered);
    CPPUNIT_TEST(rateLimitBoundsCalls);
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

    void writeWithLostReplyIsFoundByReadingBack()
    {
        m_store.losesAnswers = 1;
        const WriteResult result = write({"a", "x", ObjectVersion(0)});
        CPPUNIT_ASSERT(result.outcome == WriteOutcome::Written);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_store.version("a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_store.writes);
    }

    void lostWriteIsResent()
    {
        m_store.losesWrites = 1;
        CPPUNIT_ASSERT(write({"a", "x", ObjectVersion(0)}).outcome == WriteOutcome::Written);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_store.version("a"));
    }

    void markDistinguishesOwnWriteFromAnotherWriter()
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

        // Without a mark the outcome cannot be decided once a later version has replaced it.
        m_store.losesAnswers = 1;
        start({"c", "mine", ObjectVersion(0)}, {});
        run(100ms);
        m_store.put("c", "theirs");
        run(5s);
        CPPUNIT_ASSERT(m_result.outcome == WriteOutcome::Unknown);
    }

    void conflictReturnsCurrentObject()
    {
        m_store.put("a", "theirs");
        const WriteResult result = write({"a", "x", ObjectVersion(0)});
        CPPUNIT_ASSERT(result.outcome == WriteOutcome::Conflict);
        CPPUNIT_ASSERT_EQUAL(std::string("theirs"), result.current.value);
    }

    void outageCausesBackoffAndNotWritten()
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

    void olderVersionIsNotDelivered()
    {
        m_store.put("a", "one");
        m_store.put("a", "two");
        CPPUNIT_ASSERT_EQUAL(std::string("two"), read("a").value().value);
        m_store.answersOld = 3;
        CPPUNIT_ASSERT_EQUAL(std::string("two"), read("a").value().value);
        CPPUNIT_ASSERT_EQUAL(0, m_store.answersOld);
        // A version received from a peer counts as delivered.
        m_client->raiseMinimumVersion("a", ObjectVersion(3));
        CPPUNIT_ASSERT(!read("a"));
    }

    void rateLimitBoundsCalls()
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
        std::vector<std::string> received;
        m_client->watch("a", ObjectVersion(0), m_now,
                        [&](const StoredObject &object) { received.push_back(object.value); });
        run(1s);
        m_store.put("a", "one");
        run(1s);
        m_store.isDown = true;
        run(30s);
        m_store.put("a", "two");
        m_store.isDown = false;
        run(5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), received.size());
        CPPUNIT_ASSERT_EQUAL(std::string("two"), received.back());
        m_client->unwatch("a");
        m_store.put("a", "three");
        run(5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), received.size());
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
        Result<StoredObject> found = Error{ErrorCode::Internal, "no reply"};
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
