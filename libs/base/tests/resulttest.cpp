#include "base/result.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;

class ResultTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ResultTest);
    CPPUNIT_TEST(describeIncludesFileLineAndField);
    CPPUNIT_TEST(describeOmitsUnsetParts);
    CPPUNIT_TEST_SUITE_END();

public:
    void describeIncludesFileLineAndField()
    {
        const Error error{ErrorCode::InvalidField, "must be positive", "plans.gold.weight", 7};
        CPPUNIT_ASSERT_EQUAL(std::string("plans.yaml:7: plans.gold.weight: must be positive"),
                             describe(error, "plans.yaml"));
    }

    void describeOmitsUnsetParts()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("timed out"),
                             describe(Error{ErrorCode::Timeout, "timed out"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResultTest);
