#include "operatortool/operatortool.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace fescuespring;

// Merges the logs of two VMs around a write with an unknown outcome.
class ExplainTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExplainTest);
    CPPUNIT_TEST(timelineIsMergedInOrder);
    CPPUNIT_TEST(vmIsReadFromBenchLines);
    CPPUNIT_TEST(unknownIdIsReported);
    CPPUNIT_TEST(invalidArgumentsAreRefused);
    CPPUNIT_TEST_SUITE_END();

    std::filesystem::path m_folder;

    std::string write(const std::string &name, const std::string &text)
    {
        const std::filesystem::path path = m_folder / name;
        std::ofstream(path) << text;
        return path.string();
    }

    static ToolOutcome run(const std::vector<std::string> &words, std::string &out,
                           std::string &error)
    {
        std::ostringstream outStream;
        std::ostringstream errorStream;
        const ToolOutcome outcome = runOperatorTool(words, {outStream, errorStream});
        out = outStream.str();
        error = errorStream.str();
        return outcome;
    }

    static constexpr const char *failed =
            "2026-12-04T10:00:05.900Z WARN event=statement-failed id=abc kind=write group=herd "
            "reason=in-doubt message=\"no answer within the timeout\" database=db-1 tries=1 "
            "transaction=no primary=db-1 term=1 moving=no records-age=3407 age=800\n";

public:
    void setUp() override
    {
        m_folder = std::filesystem::temp_directory_path()
                   / ("fescue-explain-" + std::to_string(getpid()));
        std::filesystem::create_directories(m_folder);
    }
    void tearDown() override
    {
        std::filesystem::remove_all(m_folder);
    }

    void timelineIsMergedInOrder()
    {
        const std::string one = write(
                "vm-1.log",
                std::string("2026-12-04T10:00:03.000Z INFO event=store-lost reason=\"reset\"\n")
                        + failed
                        + "2026-12-04T10:00:05.950Z WARN event=statement-failed id=other "
                          "group=herd reason=busy message=\"x\" database=db-1 tries=1\n");
        const std::string two = write(
                "vm-2.log",
                "2026-12-04T10:00:04.000Z INFO event=store-lost reason=\"reset\"\n"
                "2026-12-04T10:00:06.500Z INFO event=promotion-ordered group=herd database=db-2\n"
                "2026-12-04T10:00:06.600Z INFO event=promotion-ordered group=salt database=db-7\n"
                "2026-12-04T10:02:00.000Z INFO event=database-gone group=herd database=db-1\n"
                "not a log line\n");
        std::string out;
        std::string error;
        CPPUNIT_ASSERT(run({"explain", "--request", "abc", two, one}, out, error)
                       == ToolOutcome::Done);
        const std::size_t storeLost = out.find("-2900 ms  vm-1  event=store-lost");
        const std::size_t failure = out.find("> 0 ms  vm-1  event=statement-failed id=abc");
        const std::size_t promotion = out.find("600 ms  vm-2  event=promotion-ordered group=herd");
        CPPUNIT_ASSERT(storeLost != std::string::npos && storeLost < failure
                       && failure < promotion);
        CPPUNIT_ASSERT(promotion != std::string::npos);
        // Excluded: another VM's view of the store, other statements, other groups, distant times.
        CPPUNIT_ASSERT(out.find("vm-2  event=store-lost") == std::string::npos);
        CPPUNIT_ASSERT(out.find("id=other") == std::string::npos);
        CPPUNIT_ASSERT(out.find("salt") == std::string::npos);
        CPPUNIT_ASSERT(out.find("database-gone") == std::string::npos);
        CPPUNIT_ASSERT(out.find("At vm-1, in-doubt: no answer within the timeout.")
                       != std::string::npos);
        CPPUNIT_ASSERT(out.find("3407 ms old, so it had no lease") != std::string::npos);
    }

    void vmIsReadFromBenchLines()
    {
        const std::string all = write("day.log", std::string("  6.2113 front-2 ") + failed);
        std::string out;
        std::string error;
        CPPUNIT_ASSERT(run({"explain", "--request", "abc", all}, out, error) == ToolOutcome::Done);
        CPPUNIT_ASSERT(out.find("At front-2, in-doubt") != std::string::npos);
    }

    void unknownIdIsReported()
    {
        const std::string one = write("vm-1.log", failed);
        std::string out;
        std::string error;
        CPPUNIT_ASSERT(run({"explain", "--request", "xyz", one}, out, error)
                       == ToolOutcome::Refused);
        CPPUNIT_ASSERT(error.find("no log line has the id xyz") != std::string::npos);
    }

    void invalidArgumentsAreRefused()
    {
        std::string out;
        std::string error;
        CPPUNIT_ASSERT(run({"explain", "--request", "xyz"}, out, error) == ToolOutcome::Usage);
        CPPUNIT_ASSERT(run({"explain", "--request", "xyz", "/nowhere/vm.log"}, out, error)
                       == ToolOutcome::Usage);
        CPPUNIT_ASSERT(error.find("cannot read '/nowhere/vm.log'") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExplainTest);
