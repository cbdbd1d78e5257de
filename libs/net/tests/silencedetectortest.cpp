#include "net/silencedetector.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

constexpr Instant start{};

} // namespace

class SilenceDetectorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SilenceDetectorTest);
    CPPUNIT_TEST(unansweredCallBesideAnAnsweredOneShowsSilence);
    CPPUNIT_TEST(laterAnswerShowsTheSilenceBefore);
    CPPUNIT_TEST(peerThatAnswersNothingShowsNoSilence);
    CPPUNIT_TEST(earlierAnswerIsNoEvidence);
    CPPUNIT_TEST_SUITE_END();

public:
    void unansweredCallBesideAnAnsweredOneShowsSilence()
    {
        SilenceDetector detector;
        CPPUNIT_ASSERT(!detector.answered(start + 400ms));
        CPPUNIT_ASSERT(detector.timedOut(start + 300ms) == start + 300ms);
    }

    void laterAnswerShowsTheSilenceBefore()
    {
        SilenceDetector detector;
        CPPUNIT_ASSERT(!detector.timedOut(start + 300ms));
        CPPUNIT_ASSERT(!detector.timedOut(start + 700ms));
        CPPUNIT_ASSERT(detector.answered(start + 1800ms) == start + 700ms);
        CPPUNIT_ASSERT(!detector.answered(start + 1900ms));
    }

    void peerThatAnswersNothingShowsNoSilence()
    {
        SilenceDetector detector;
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT(!detector.timedOut(start + i * 400ms));
    }

    void earlierAnswerIsNoEvidence()
    {
        SilenceDetector detector;
        CPPUNIT_ASSERT(!detector.answered(start + 200ms));
        CPPUNIT_ASSERT(!detector.timedOut(start + 300ms));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilenceDetectorTest);
