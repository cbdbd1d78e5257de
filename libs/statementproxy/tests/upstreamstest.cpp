#include "statementproxy/upstreams.h"
#include "support/fakegroup.h"

#include <cppunit/extensions/HelperMacros.h>
#include <memory>

using namespace fescuespring;
using namespace std::chrono_literals;

class UpstreamsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamsTest);
    CPPUNIT_TEST(runningStatementEndsWithUpstreams);
    CPPUNIT_TEST_SUITE_END();

public:
    // A running statement owns its connection, and the connection holds a callback of the
    // statement; a reference cycle would leak both.
    void runningStatementEndsWithUpstreams()
    {
        const auto callbackCount = std::make_shared<int>(0);
        {
            VirtualTimers timers;
            Log log = std::move(Log::open({.level = LogLevel::Off}).value());
            Counters counters;
            FakeGroup databases(timers);
            databases["a"];
            Upstreams upstreams({.timers = timers,
                                 .log = log,
                                 .counters = counters,
                                 .connect = databases.connector()});
            upstreams.directory().update({.target = {GroupId("herd"), DatabaseId("a"), {}}});
            upstreams.requestStatus(DatabaseId("a"),
                                    [callbackCount](const auto &) { ++*callbackCount; });
            timers.advance(50ms);
            CPPUNIT_ASSERT_EQUAL(1, *callbackCount);
            databases["a"].isSilent = true;
            upstreams.requestStatus(DatabaseId("a"),
                                    [callbackCount](const auto &) { ++*callbackCount; });
            timers.advance(50ms);
        }
        CPPUNIT_ASSERT_EQUAL(1, *callbackCount);
        CPPUNIT_ASSERT_EQUAL(1L, callbackCount.use_count());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamsTest);
