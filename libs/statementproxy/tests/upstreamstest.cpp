#include "statementproxy/upstreams.h"
#include "support/fakegroup.h"

#include <cppunit/extensions/HelperMacros.h>
#include <memory>

using namespace fescuespring;
using namespace std::chrono_literals;

class UpstreamsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamsTest);
    CPPUNIT_TEST(statementUnderWayEndsWithItsVm);
    CPPUNIT_TEST_SUITE_END();

public:
    // The statement holds its connection, and the connection whom to tell of the answer.
    void statementUnderWayEndsWithItsVm()
    {
        const auto told = std::make_shared<int>(0);
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
            upstreams.requestStatus(DatabaseId("a"), [told](const auto &) { ++*told; });
            timers.advance(50ms);
            CPPUNIT_ASSERT_EQUAL(1, *told);
            databases["a"].isSilent = true;
            upstreams.requestStatus(DatabaseId("a"), [told](const auto &) { ++*told; });
            timers.advance(50ms);
        }
        CPPUNIT_ASSERT_EQUAL(1, *told);
        CPPUNIT_ASSERT_EQUAL(1L, told.use_count());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamsTest);
