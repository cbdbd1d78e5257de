#include "pool/databasehealth.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;
using namespace std::chrono_literals;

class DatabaseHealthTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DatabaseHealthTest);
    CPPUNIT_TEST(consecutiveFailuresTakeItOutOfUse);
    CPPUNIT_TEST(slotsReturnGradually);
    CPPUNIT_TEST(failedTrialDoublesThePause);
    CPPUNIT_TEST(lastingSlownessButNotOneSlowReplyTakesItOutOfUse);
    CPPUNIT_TEST_SUITE_END();

    DatabaseHealth m_health;
    Instant m_now{std::chrono::hours(1)};

    void answer(int count, Duration latency)
    {
        for (int i = 0; i < count; ++i)
            m_health.answered(latency, m_now);
    }
    void fail(int count)
    {
        for (int i = 0; i < count; ++i)
            m_health.failed(m_now);
    }

public:
    void consecutiveFailuresTakeItOutOfUse()
    {
        fail(2);
        answer(1, 5ms);
        fail(2);
        CPPUNIT_ASSERT_EQUAL(3U, m_health.slots(3, m_now));
        fail(1);
        CPPUNIT_ASSERT(m_health.state(m_now) == HealthState::Out);
        CPPUNIT_ASSERT_EQUAL(0U, m_health.slots(3, m_now));
    }

    void slotsReturnGradually()
    {
        fail(3);
        m_now += 500ms;
        CPPUNIT_ASSERT_EQUAL(1U, m_health.slots(3, m_now));
        answer(5, 5ms);
        CPPUNIT_ASSERT_EQUAL(2U, m_health.slots(3, m_now));
        answer(5, 5ms);
        CPPUNIT_ASSERT_EQUAL(3U, m_health.slots(3, m_now));
        answer(10, 5ms);
        CPPUNIT_ASSERT(m_health.state(m_now) == HealthState::InUse);
    }

    void failedTrialDoublesThePause()
    {
        fail(3);
        m_now += 500ms;
        fail(1);
        m_now += 999ms;
        CPPUNIT_ASSERT(m_health.state(m_now) == HealthState::Out);
        m_now += 1ms;
        CPPUNIT_ASSERT(m_health.state(m_now) == HealthState::Returning);
        for (int i = 0; i < 10; ++i) {
            fail(1);
            m_now += 15s;
            CPPUNIT_ASSERT(m_health.state(m_now) == HealthState::Returning);
        }
    }

    void lastingSlownessButNotOneSlowReplyTakesItOutOfUse()
    {
        answer(100, 5ms);
        answer(1, 3s);
        CPPUNIT_ASSERT(m_health.state(m_now) == HealthState::InUse);
        answer(100, 5ms);
        answer(60, 500ms);
        CPPUNIT_ASSERT(m_health.state(m_now) == HealthState::Out);
        m_now += 500ms;
        answer(20, 5ms);
        CPPUNIT_ASSERT(m_health.state(m_now) == HealthState::InUse);
        CPPUNIT_ASSERT(m_health.latency() < 20ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatabaseHealthTest);
