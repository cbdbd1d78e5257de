#include "storefeed/objectpoll.h"

#include "support/virtualtimers.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

// Answers each read after a delay, or fails it after its timeout.
class Store : public ObjectStore
{
public:
    explicit Store(VirtualTimers &timers)
        : m_timers(timers)
    {}

    void read(const std::string &key, std::chrono::milliseconds timeout, ReadDone done) override
    {
        ++reads;
        const Result<StoredObject> answer =
                isDown ? Result<StoredObject>(Error{ErrorCode::Timeout, "no answer"})
                       : Result<StoredObject>(StoredObject{key, ObjectVersion(3), "{}"});
        m_timers.after(isDown ? Duration(timeout) : delay, [answer, done] { done(answer); });
    }
    void list(const std::string &, std::chrono::milliseconds, ListDone) override
    {}
    void write(const ObjectWrite &, std::chrono::milliseconds, WriteDone) override
    {}
    void watch(const std::string &, ObjectVersion, std::chrono::milliseconds, ReadDone) override
    {}
    void vms(std::chrono::milliseconds, VmsDone) override
    {}

    int reads = 0;
    bool isDown = false;
    Duration delay = 30ms;

private:
    VirtualTimers &m_timers;
};

} // namespace

class ObjectPollTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ObjectPollTest);
    CPPUNIT_TEST(answersAreDatedByTheirRequest);
    CPPUNIT_TEST(failedReadIsRepeatedSoon);
    CPPUNIT_TEST(nothingIsReadWithoutNeed);
    CPPUNIT_TEST_SUITE_END();

    VirtualTimers m_timers;
    Store m_store{m_timers};
    std::vector<std::pair<Instant, Instant>> m_answers;
    bool m_isNeeded = true;

    ObjectPoll::Options options()
    {
        return {.timers = m_timers,
                .key = "config/main",
                .isNeeded = [this] { return m_isNeeded; },
                .onRead =
                        [this](const StoredObject &object, Instant askedAt) {
                            CPPUNIT_ASSERT_EQUAL(std::string("config/main"), object.key);
                            m_answers.emplace_back(askedAt, m_timers.now());
                        }};
    }

public:
    // Guards against a slow answer that makes a configuration appear newer than it is.
    void answersAreDatedByTheirRequest()
    {
        ObjectPoll poll(m_store, options());
        const Instant start = m_timers.now();
        poll.start();
        m_timers.advance(2500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_answers.size());
        CPPUNIT_ASSERT(m_answers[0] == std::pair(start, start + 30ms));
        CPPUNIT_ASSERT(m_answers[1] == std::pair(start + 1030ms, start + 1060ms));
        poll.stop();
        m_timers.advance(5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_answers.size());
    }

    // Guards against a bound that is missed as one answer of the store was lost.
    void failedReadIsRepeatedSoon()
    {
        ObjectPoll poll(m_store, options());
        m_store.isDown = true;
        poll.start();
        m_timers.advance(900ms);
        m_store.isDown = false;
        m_timers.advance(500ms);
        CPPUNIT_ASSERT_EQUAL(2, m_store.reads);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_answers.size());
    }

    // Guards against calls to the store that installations without customers did not make before,
    // and against callers that wait long for the first confirmation.
    void nothingIsReadWithoutNeed()
    {
        ObjectPoll poll(m_store, options());
        m_isNeeded = false;
        poll.start();
        m_timers.advance(10s);
        CPPUNIT_ASSERT_EQUAL(0, m_store.reads);
        m_isNeeded = true;
        m_timers.advance(250ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_answers.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObjectPollTest);
