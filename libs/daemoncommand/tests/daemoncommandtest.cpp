#include "daemoncommand/daemoncommand.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sstream>

using namespace fescuespring;

class DaemonCommandTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DaemonCommandTest);
    CPPUNIT_TEST(settingsAreCheckedBeforeAnythingRuns);
    CPPUNIT_TEST(checkAloneRunsNothing);
    CPPUNIT_TEST(badArgumentsAreNamed);
    CPPUNIT_TEST(settingsAreNeeded);
    CPPUNIT_TEST_SUITE_END();

public:
    void settingsAreCheckedBeforeAnythingRuns()
    {
        m_faults = {{.code = ErrorCode::InvalidField, .message = "bad", .field = "vm", .line = 3}};
        CPPUNIT_ASSERT_EQUAL(int{ExitBadSettings}, follow({"--settings", "x.yaml"}));
        CPPUNIT_ASSERT_EQUAL(std::string("x.yaml:3: vm: bad\n"), m_errors.str());
        CPPUNIT_ASSERT_EQUAL(0, m_runs);
        m_faults.clear();
        CPPUNIT_ASSERT_EQUAL(int{ExitStopped}, follow({"-s", "x.yaml"}));
        CPPUNIT_ASSERT_EQUAL(1, m_runs);
    }

    void checkAloneRunsNothing()
    {
        CPPUNIT_ASSERT_EQUAL(int{ExitStopped}, follow({"-s", "x.yaml", "--check-settings"}));
        CPPUNIT_ASSERT_EQUAL(std::string("x.yaml: no errors\n"), m_out.str());
        CPPUNIT_ASSERT_EQUAL(0, m_runs);
    }

    void badArgumentsAreNamed()
    {
        CPPUNIT_ASSERT_EQUAL(int{ExitBadArguments}, follow({"--setings", "x.yaml"}));
        CPPUNIT_ASSERT(m_errors.str().find("setings") != std::string::npos);
    }

    void settingsAreNeeded()
    {
        CPPUNIT_ASSERT_EQUAL(int{ExitBadArguments}, follow({}));
        CPPUNIT_ASSERT_EQUAL(0, m_runs);
    }

private:
    int follow(const std::vector<std::string> &arguments)
    {
        return followCommandLine({.name = "daemon",
                                  .check = [this](const std::string &) { return m_faults; },
                                  .run =
                                          [this](const std::string &) {
                                              ++m_runs;
                                              return int{ExitStopped};
                                          }},
                                 arguments, m_out, m_errors);
    }

    std::vector<Error> m_faults;
    int m_runs = 0;
    std::ostringstream m_out;
    std::ostringstream m_errors;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonCommandTest);
