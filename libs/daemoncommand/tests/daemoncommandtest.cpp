#include "daemoncommand/daemoncommand.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sstream>

using namespace fescuespring;

class DaemonCommandTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DaemonCommandTest);
    CPPUNIT_TEST(settingsAreCheckedBeforeTheDaemonRuns);
    CPPUNIT_TEST(checkSettingsDoesNotRunTheDaemon);
    CPPUNIT_TEST(badArgumentsAreReported);
    CPPUNIT_TEST(settingsAreRequired);
    CPPUNIT_TEST_SUITE_END();

public:
    void settingsAreCheckedBeforeTheDaemonRuns()
    {
        m_settingsErrors = {
                {.code = ErrorCode::InvalidField, .message = "bad", .field = "vm", .line = 3}};
        CPPUNIT_ASSERT_EQUAL(int{ExitBadSettings}, execute({"--settings", "x.yaml"}));
        CPPUNIT_ASSERT_EQUAL(std::string("x.yaml:3: vm: bad\n"), m_errors.str());
        CPPUNIT_ASSERT_EQUAL(0, m_runs);
        m_settingsErrors.clear();
        CPPUNIT_ASSERT_EQUAL(int{ExitStopped}, execute({"-s", "x.yaml"}));
        CPPUNIT_ASSERT_EQUAL(1, m_runs);
    }

    void checkSettingsDoesNotRunTheDaemon()
    {
        CPPUNIT_ASSERT_EQUAL(int{ExitStopped}, execute({"-s", "x.yaml", "--check-settings"}));
        CPPUNIT_ASSERT_EQUAL(std::string("x.yaml: no errors\n"), m_out.str());
        CPPUNIT_ASSERT_EQUAL(0, m_runs);
    }

    void badArgumentsAreReported()
    {
        CPPUNIT_ASSERT_EQUAL(int{ExitBadArguments}, execute({"--setings", "x.yaml"}));
        CPPUNIT_ASSERT(m_errors.str().find("setings") != std::string::npos);
    }

    void settingsAreRequired()
    {
        CPPUNIT_ASSERT_EQUAL(int{ExitBadArguments}, execute({}));
        CPPUNIT_ASSERT_EQUAL(0, m_runs);
    }

private:
    int execute(const std::vector<std::string> &arguments)
    {
        return followCommandLine({.name = "daemon",
                                  .check = [this](const std::string &) { return m_settingsErrors; },
                                  .run =
                                          [this](const std::string &) {
                                              ++m_runs;
                                              return int{ExitStopped};
                                          }},
                                 arguments, m_out, m_errors);
    }

    std::vector<Error> m_settingsErrors;
    int m_runs = 0;
    std::ostringstream m_out;
    std::ostringstream m_errors;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonCommandTest);
