#include "scheduling/fingerprint.h"
#include "scheduling/servicetimes.h"

#include <cppunit/extensions/HelperMacros.h>
#include <vector>

using namespace fescuespring;
using namespace std::chrono_literals;

class FingerprintTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FingerprintTest);
    CPPUNIT_TEST(literalsAreFolded);
    CPPUNIT_TEST(differentStatementsDiffer);
    CPPUNIT_TEST(transactionIncludesAllItsStatements);
    CPPUNIT_TEST(tableIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void literalsAreFolded()
    {
        const auto same = [](std::string_view left, std::string_view right) {
            return statementFingerprint(left) == statementFingerprint(right);
        };
        CPPUNIT_ASSERT(same("set cow-12 stall-3", "set cow-7 stall-11"));
        CPPUNIT_ASSERT(same("where name = 'Bessie'", "where name = 'O''Hara'"));
        CPPUNIT_ASSERT(same("get  550e8400-e29b", "get\n9f3b12cc-a017"));
        CPPUNIT_ASSERT(same("'never closed", "'neither 12"));
    }

    void differentStatementsDiffer()
    {
        CPPUNIT_ASSERT(statementFingerprint("get cow-1") != statementFingerprint("set cow-1"));
        CPPUNIT_ASSERT(statementFingerprint("get 'a' b") != statementFingerprint("get 'a' c"));
        const std::string longText(1000, 'x');
        CPPUNIT_ASSERT(statementFingerprint(longText + "a")
                       != statementFingerprint(longText + "b"));
    }

    void transactionIncludesAllItsStatements()
    {
        const std::vector<std::string> one{"get a"};
        const std::vector<std::string> two{"get a", "set a"};
        CPPUNIT_ASSERT(requestFingerprint(one) == statementFingerprint("get a"));
        CPPUNIT_ASSERT(requestFingerprint(one) != requestFingerprint(two));
    }

    void tableIsBounded()
    {
        ServiceTimes times(64);
        for (std::uint64_t i = 0; i < 10000; ++i) {
            times.record(i * 7919, 5ms);
            times.record(1, 3ms);
        }
        // The entry in constant use is kept; of the others, at most the capacity.
        CPPUNIT_ASSERT(times.estimate(1) == Duration(3ms));
        int kept = 0;
        for (std::uint64_t i = 0; i < 10000; ++i)
            kept += times.estimate(i * 7919).has_value();
        CPPUNIT_ASSERT(kept <= 64);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FingerprintTest);
