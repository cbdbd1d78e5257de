#include "coordination/ownobject.h"

#include "support/virtualtimers.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

// One object, whose writes are answered, lost on their way, or done without an answer.
class OneObject : public ObjectStore
{
public:
    enum class Fate {
        Answered,
        Lost,
        AnswerLost,
    };

    explicit OneObject(VirtualTimers &timers)
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
        const Fate fate = fates.empty() ? Fate::Answered : fates.front();
        if (!fates.empty())
            fates.pop_front();
        const bool isDone = fate != Fate::Lost && object.version == write.ifVersion;
        if (isDone)
            object = {write.key, object.version.next(), write.value};
        if (fate != Fate::Answered) {
            m_timers.after(timeout, [done] { done(Error{ErrorCode::Timeout, "no answer"}); });
            return;
        }
        m_timers.after(4ms, [done, isDone, version = object.version] {
            done(WriteAnswer{isDone, version});
        });
    }

    StoredObject object;
    std::deque<Fate> fates;
    int calls = 0;

private:
    VirtualTimers &m_timers;
};

} // namespace

class OwnObjectTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OwnObjectTest);
    CPPUNIT_TEST(earlierLifeIsWrittenOver);
    CPPUNIT_TEST(lostWritesAreTriedUntilTheyStand);
    CPPUNIT_TEST(lastValueWins);
    CPPUNIT_TEST(nothingIsWrittenTwice);
    CPPUNIT_TEST_SUITE_END();

public:
    void earlierLifeIsWrittenOver()
    {
        VirtualTimers timers;
        OneObject store(timers);
        store.object = {"vms/one", ObjectVersion(7), "old"};
        OwnObject own(store, timers, "vms/one");
        own.write("new");
        timers.advance(100ms);
        CPPUNIT_ASSERT_EQUAL(std::string("new"), store.object.value);
    }

    void lostWritesAreTriedUntilTheyStand()
    {
        VirtualTimers timers;
        OneObject store(timers);
        store.fates = {OneObject::Fate::Lost, OneObject::Fate::AnswerLost, OneObject::Fate::Lost};
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
        OneObject store(timers);
        store.fates = {OneObject::Fate::AnswerLost};
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
        OneObject store(timers);
        OwnObject own(store, timers, "vms/one");
        own.write("one");
        timers.advance(5s);
        CPPUNIT_ASSERT_EQUAL(1, store.calls);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnObjectTest);
