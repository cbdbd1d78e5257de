#include "messages/request.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <iterator>

using namespace fescuespring;

// docs/CALLERS.md must document all outcomes and reasons that a caller may receive.
class CallersPageTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallersPageTest);
    CPPUNIT_TEST(everyReasonIsExplained);
    CPPUNIT_TEST(everyOutcomeIsExplained);
    CPPUNIT_TEST_SUITE_END();

public:
    void everyReasonIsExplained()
    {
        for (int reason = 1; reason < reasonCount; ++reason) {
            const std::string name = toString(static_cast<Reason>(reason));
            CPPUNIT_ASSERT_MESSAGE(name, m_page.find("| `" + name + "` |") != std::string::npos);
        }
    }

    void everyOutcomeIsExplained()
    {
        for (const Outcome outcome : {Outcome::Done, Outcome::NotRun, Outcome::Unknown}) {
            const std::string name = toString(outcome);
            CPPUNIT_ASSERT_MESSAGE(name, m_page.find("- **`" + name + "`**") != std::string::npos);
        }
    }

private:
    static std::string readPage()
    {
        std::ifstream file(PROJECT_DIR "/docs/CALLERS.md");
        return {std::istreambuf_iterator<char>(file), {}};
    }

    const std::string m_page = readPage();
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallersPageTest);
