#include "base/latencyhistogram.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;
using namespace std::chrono_literals;

class LatencyHistogramTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LatencyHistogramTest);
    CPPUNIT_TEST(bucketsAreCumulative);
    CPPUNIT_TEST_SUITE_END();

public:
    void bucketsAreCumulative()
    {
        Counters counters;
        LatencyHistogram times(counters, "statement_ms");
        times.add(2ms);
        times.add(2001us);
        times.add(1h);
        const auto bucket = [&counters](const char *bound) {
            return counters.counter("statement_ms_bucket", "le", bound).value();
        };
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, bucket("2"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, bucket("5"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, bucket("5000"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, bucket("+Inf"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, counters.counter("statement_ms_count").value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LatencyHistogramTest);
