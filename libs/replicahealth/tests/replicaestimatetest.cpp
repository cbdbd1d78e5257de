#include "replicahealth/replicaestimate.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;
using namespace std::chrono_literals;

class ReplicaEstimateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReplicaEstimateTest);
    CPPUNIT_TEST(noEstimateBeforeTheFirstProbe);
    CPPUNIT_TEST(ageGrowsAfterTheProbeUntilItExpires);
    CPPUNIT_TEST(timeToReachFollowsRateAndLag);
    CPPUNIT_TEST(positionsOfAnotherTermAreNotCompared);
    CPPUNIT_TEST(trafficReducesProbes);
    CPPUNIT_TEST_SUITE_END();

    ReplicaEstimate m_estimate;
    Instant m_now{std::chrono::hours(1)};

    static LogPoint point(std::uint64_t position, std::uint64_t term = 1)
    {
        return {Term(term), LogPosition(position)};
    }
    void probe(std::uint64_t position, std::chrono::milliseconds age, std::uint64_t term = 1)
    {
        DatabaseStatus status;
        status.applied = point(position, term);
        status.age = age;
        m_estimate.probeSent(m_now);
        m_estimate.probed(status, 1ms, m_now);
    }

public:
    void noEstimateBeforeTheFirstProbe()
    {
        CPPUNIT_ASSERT(m_estimate.isProbeDue(m_now));
        CPPUNIT_ASSERT(!m_estimate.figures(m_now));
        CPPUNIT_ASSERT(!m_estimate.timeToReach(point(1), m_now));
    }

    void ageGrowsAfterTheProbeUntilItExpires()
    {
        probe(10, 100ms);
        CPPUNIT_ASSERT(m_estimate.figures(m_now)->age == 101ms);
        CPPUNIT_ASSERT(m_estimate.figures(m_now + 2s)->age == 2101ms);
        CPPUNIT_ASSERT(!m_estimate.figures(m_now + 4s));
    }

    void timeToReachFollowsRateAndLag()
    {
        for (std::uint64_t position = 0; position <= 1000; position += 100) {
            probe(position, 400ms);
            m_now += 100ms;
        }
        CPPUNIT_ASSERT(*m_estimate.timeToReach(point(1000), m_now) == 0ms);
        const Duration soon = *m_estimate.timeToReach(point(1200), m_now);
        CPPUNIT_ASSERT(soon >= 80ms && soon <= 120ms);
        CPPUNIT_ASSERT(*m_estimate.timeToReach(point(1001), m_now) >= 1ms);
        // The point is in the primary's log, so the lag bounds the wait regardless of the distance.
        CPPUNIT_ASSERT(*m_estimate.timeToReach(point(100000), m_now) == 400ms);
    }

    void positionsOfAnotherTermAreNotCompared()
    {
        probe(1000, 0ms, 1);
        CPPUNIT_ASSERT(!m_estimate.timeToReach(point(5, 2), m_now));
        m_estimate.answered(point(900, 2), 3ms, m_now);
        CPPUNIT_ASSERT(!m_estimate.timeToReach(point(5, 1), m_now));
        CPPUNIT_ASSERT(*m_estimate.timeToReach(point(900, 2), m_now) == 0ms);
        m_estimate.answered(point(2000, 1), 3ms, m_now);
        CPPUNIT_ASSERT(m_estimate.figures(m_now)->applied == point(900, 2));
    }

    void trafficReducesProbes()
    {
        int probesIdle = 0;
        int probesBusy = 0;
        for (int i = 0; i < 1000; ++i, m_now += 10ms) {
            if (m_estimate.isProbeDue(m_now)) {
                ++(i < 500 ? probesIdle : probesBusy);
                probe(1, 0ms);
            }
            if (i >= 500)
                m_estimate.answered(point(1), 2ms, m_now);
        }
        CPPUNIT_ASSERT_EQUAL(25, probesIdle);
        CPPUNIT_ASSERT(probesBusy <= 6);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaEstimateTest);
