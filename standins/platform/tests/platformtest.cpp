#include "standinplatform/platform.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;
using namespace std::chrono_literals;

class PlatformTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformTest);
    CPPUNIT_TEST(writesAreConditional);
    CPPUNIT_TEST(listHoldsThePrefixOnly);
    CPPUNIT_TEST(watchAnswersOnChangeOrAtItsEnd);
    CPPUNIT_TEST(readsAreLimited);
    CPPUNIT_TEST(waitingWatchCountsOnceASecond);
    CPPUNIT_TEST(vmListLags);
    CPPUNIT_TEST_SUITE_END();

public:
    void writesAreConditional()
    {
        Platform platform({});
        CPPUNIT_ASSERT(PlatformOutcome::Done == platform.write("a", "1", 0, m_now).outcome);
        const PlatformAnswer conflict = platform.write("a", "2", 0, m_now);
        CPPUNIT_ASSERT(PlatformOutcome::Conflict == conflict.outcome);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), conflict.objects.front().version);
        CPPUNIT_ASSERT(PlatformOutcome::Done == platform.write("a", "2", 1, m_now).outcome);
        const PlatformObject expected{"a", 2, "2"};
        CPPUNIT_ASSERT(expected == platform.read("a", m_now).objects.front());
        CPPUNIT_ASSERT(PlatformOutcome::NotFound == platform.read("b", m_now).outcome);
    }

    void listHoldsThePrefixOnly()
    {
        Platform platform({});
        for (const char *key : {"customers/0", "customers/1", "customer", "plans"})
            platform.write(key, "x", 0, m_now);
        const PlatformAnswer list = platform.list("customers/", m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), list.objects.size());
        CPPUNIT_ASSERT_EQUAL(std::string("customers/1"), list.objects[1].key);
    }

    void watchAnswersOnChangeOrAtItsEnd()
    {
        Platform platform({});
        platform.write("a", "1", 0, m_now);
        std::vector<PlatformAnswer> answers;
        const auto note = [&answers](const PlatformAnswer &answer) {
            answers.push_back(answer);
        };
        platform.watch("a", 0, m_now, m_now + 10s, note);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), answers.size());
        platform.watch("a", 1, m_now, m_now + 10s, note);
        platform.watch("b", 0, m_now, m_now + 500ms, note);
        platform.write("a", "2", 1, m_now + 100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), answers.size());
        CPPUNIT_ASSERT_EQUAL(std::string("2"), answers[1].objects.front().value);
        CPPUNIT_ASSERT(m_now + 500ms == *platform.nextEvent());
        platform.advance(m_now + 500ms);
        CPPUNIT_ASSERT(PlatformOutcome::Unchanged == answers.at(2).outcome);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), platform.watches());
    }

    void readsAreLimited()
    {
        Platform platform({.readsPerSecond = 10});
        CPPUNIT_ASSERT_EQUAL(10, readsLetThrough(platform, m_now));
        CPPUNIT_ASSERT_EQUAL(5, readsLetThrough(platform, m_now + 500ms));
        CPPUNIT_ASSERT(PlatformOutcome::Done == platform.write("a", "1", 0, m_now).outcome);
    }

    void waitingWatchCountsOnceASecond()
    {
        Platform platform({.readsPerSecond = 10});
        for (int i = 0; i < 4; ++i)
            platform.watch("a", 0, m_now, m_now + 100s, [](const PlatformAnswer &) {});
        while (*platform.nextEvent() <= m_now + 10s)
            platform.advance(*platform.nextEvent());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(40), platform.watchSeconds());
        readsLetThrough(platform, m_now + 10s);
        platform.advance(m_now + 11s);
        CPPUNIT_ASSERT_EQUAL(6, readsLetThrough(platform, m_now + 11s));
    }

    void vmListLags()
    {
        Platform platform({.vmLag = 2s});
        platform.setVms("first", m_now);
        CPPUNIT_ASSERT(R"({"vms":[]})" == *platform.vms(m_now + 1s));
        platform.setVms("second", m_now + 3s);
        CPPUNIT_ASSERT("first" == *platform.vms(m_now + 4s));
        CPPUNIT_ASSERT("second" == *platform.vms(m_now + 5s));
    }

private:
    static int readsLetThrough(Platform &platform, Instant now)
    {
        int count = 0;
        while (platform.read("a", now).outcome != PlatformOutcome::TooManyCalls)
            ++count;
        return count;
    }

    const Instant m_now{1h};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformTest);
