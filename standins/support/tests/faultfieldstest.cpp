#include "standinsupport/faultfields.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>

using namespace fescuespring;
using namespace std::chrono_literals;

class FaultFieldsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FaultFieldsTest);
    CPPUNIT_TEST(namedFieldsAreSetAndOthersKept);
    CPPUNIT_TEST(wrongBodiesNameTheField);
    CPPUNIT_TEST_SUITE_END();

public:
    void namedFieldsAreSetAndOthersKept()
    {
        CPPUNIT_ASSERT(!readFaults(R"({"frozen":true,"cut":["d2"],"limit":7})", m_fields));
        CPPUNIT_ASSERT(!readFaults(R"({"lagMs":250,"slowness":1.5})", m_fields));
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"frozen":true,"slowness":1.5E0,"lagMs":250,"limit":7,)"
                                         R"("cut":["d2"]})"),
                             faultsText(m_fields));
        CPPUNIT_ASSERT(!readFaults(R"({"limit":null})", m_fields));
        CPPUNIT_ASSERT(!m_limit);
        CPPUNIT_ASSERT(m_lag == 250ms);
    }

    void wrongBodiesNameTheField()
    {
        CPPUNIT_ASSERT(ErrorCode::Malformed == readFaults("[]", m_fields)->code);
        CPPUNIT_ASSERT(ErrorCode::Malformed == readFaults("{", m_fields)->code);
        CPPUNIT_ASSERT_EQUAL(std::string("mood"), readFaults(R"({"mood":1})", m_fields)->field);
        for (const char *body : {R"({"frozen":1})", R"({"slowness":"x"})", R"({"lagMs":-1})",
                                 R"({"lagMs":1.5})", R"({"limit":5000000000})", R"({"cut":[1]})"})
            CPPUNIT_ASSERT_MESSAGE(body,
                                   ErrorCode::InvalidField == readFaults(body, m_fields)->code);
    }

private:
    bool m_frozen = false;
    double m_slowness = 1;
    Duration m_lag{0};
    std::optional<std::uint32_t> m_limit;
    std::set<std::string> m_cut;
    const std::array<FaultField, 5> m_fields{{{"frozen", &m_frozen},
                                              {"slowness", &m_slowness},
                                              {"lagMs", &m_lag},
                                              {"limit", &m_limit},
                                              {"cut", &m_cut}}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultFieldsTest);
