#include "relay/lenderfigures.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;
using namespace std::chrono_literals;

class LenderFiguresTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LenderFiguresTest);
    CPPUNIT_TEST(oldWaitCountsLess);
    CPPUNIT_TEST(stalledLenderIsExpectedToStayStalled);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a VM that refuses for ever because of one figure, as it gets no newer ones.
    void oldWaitCountsLess()
    {
        LenderFigures figures;
        const Instant now{std::chrono::hours(1)};
        CPPUNIT_ASSERT(!figures.expected({WorkKind("q"), 0}, now));
        figures.sent(now);
        figures.ended({WorkKind("q"), 0}, ExpectedLoad{.wait = 400ms, .service = 20ms}, now);
        CPPUNIT_ASSERT(figures.expected({WorkKind("q"), 0}, now)->wait == 400ms);
        CPPUNIT_ASSERT(figures.expected({WorkKind("q"), 0}, now + 250ms)->wait == 200ms);
        CPPUNIT_ASSERT(figures.expected({WorkKind("q"), 0}, now + 5s)->wait < 1ms);
        CPPUNIT_ASSERT(figures.expected({WorkKind("q"), 0}, now + 5s)->service == 20ms);
        CPPUNIT_ASSERT(figures.expected({WorkKind("q"), 2}, now)->wait == 0ms);
        figures.sent(now);
        figures.ended({WorkKind("long"), 0}, ExpectedLoad{.wait = 0ms, .service = 80ms}, now);
        CPPUNIT_ASSERT(figures.expected({WorkKind("q"), 0}, now)->service == 20ms);
        CPPUNIT_ASSERT(figures.expected({WorkKind("long"), 0}, now)->service == 80ms);
    }

    // Failure: a database answers status requests, but no statement ends.
    void stalledLenderIsExpectedToStayStalled()
    {
        LenderFigures figures;
        const Instant now{std::chrono::hours(1)};
        figures.sent(now);
        figures.ended({WorkKind("q"), 0}, ExpectedLoad{.service = 20ms}, now);
        figures.sent(now);
        CPPUNIT_ASSERT(figures.expected({WorkKind("q"), 0}, now + 80ms)->wait == 0ms);
        CPPUNIT_ASSERT(figures.expected({WorkKind("q"), 0}, now + 400ms)->wait == 400ms);
        figures.ended({WorkKind("q"), 0}, std::nullopt, now + 400ms);
        CPPUNIT_ASSERT(figures.expected({WorkKind("q"), 0}, now + 800ms)->wait == 0ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LenderFiguresTest);
