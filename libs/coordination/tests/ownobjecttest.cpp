#include "coordination/ownobject.h"

#include "support/virtualtimers.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

// A single object whose writes are answered, lost, or stored without a reply.
class SingleObjectStore : public ObjectStore
{
public:
    enum class Outcome {
        Answered,
        Lost,
        AnswerLost,
    };

    explicit SingleObjectStore(VirtualTimers &timers)
        : m_timers(timers)
    {}

    void read(const std::string &, std::chrono::milliseconds, ReadDone) override
    {}
    void list(const std::string &, std::chrono::milliseconds, ListDone) override
    {}
    void watch(const std::string &, ObjectVersion, std::chrono::milliseconds, ReadDone) override
    {}
    void vms(std::chrono::milliseconds, VmsDone) override
    {}

    void write(const ObjectWrite &write, std::chrono::milliseconds timeout, WriteDone done) override
    {
        ++calls;
        const Outcome outcome = outcomes.empty() ? Outcome::Answered : outcomes.front();
        if (!outcomes.empty())
            outcomes.pop_front();
        const bool isStored = outcome != Outcome::Lost && object.version == write.ifVersion;
        if (isStored)
            object = {write.key, object.version.next(), write.value};
        if (outcome != Outcome::Answered) {
            m_timers.after(timeout, [done] { done(Error{ErrorCode::Timeout, "no answer"}); });
            return;
        }
        m_timers.after(4ms, [done, isStored, version = object.version] {
            done(WriteAnswer{isStored, version});
        });
    }

    StoredObject object;
    std::deque<Outcome> outcomes;
    int calls = 0;

private:
    VirtualTimers &m_timers;
};

} // namespace

class OwnObjectTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OwnObjectTest);
    CPPUNIT_TEST(valueOfAPreviousIncarnationIsOverwritten);
    CPPUNIT_TEST(lostWritesAreRetriedUntilStored);
    CPPUNIT_TEST(lastValueWins);
    CPPUNIT_TEST(nothingIsWrittenTwice);
    CPPUNIT_TEST_SUITE_END();

public:
    void valueOfAPreviousIncarnationIsOverwritten()
    {
        VirtualTimers timers;
        SingleObjectStore store(timers);
        store.object = {"vms/one", ObjectVersion(7), "old"};
        OwnObject own(store, timers, "vms/one");
        own.write("new");
        timers.advance(100ms);
        CPPUNIT_ASSERT_EQUAL(std::string("new"), store.object.value);
    }

    void lostWritesAreRetriedUntilStored()
    {
        VirtualTimers timers;
        SingleObjectStore store(timers);
        store.outcomes = {SingleObjectStore::Outcome::Lost, SingleObjectStore::Outcome::AnswerLost,
                          SingleObjectStore::Outcome::Lost};
        OwnObject own(store, timers, "vms/one");
        own.write("one");
        timers.advance(10s);
        CPPUNIT_ASSERT_EQUAL(std::string("one"), store.object.value);
        own.write("two");
        timers.advance(100ms);
        CPPUNIT_ASSERT_EQUAL(std::string("two"), store.object.value);
    }

    void lastValueWins()
    {
        VirtualTimers timers;
        SingleObjectStore store(timers);
        store.outcomes = {SingleObjectStore::Outcome::AnswerLost};
        OwnObject own(store, timers, "vms/one");
        own.write("one");
        own.write("two");
        own.write("three");
        timers.advance(10s);
        CPPUNIT_ASSERT_EQUAL(std::string("three"), store.object.value);
    }

    void nothingIsWrittenTwice()
    {
        VirtualTimers timers;
        SingleObjectStore store(timers);
        OwnObject own(store, timers, "vms/one");
        own.write("one");
        timers.advance(5s);
        CPPUNIT_ASSERT_EQUAL(1, store.calls);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnObjectTest);
