#include "logging/log.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>
#include <vector>

#include <unistd.h>

using namespace fescuespring;

namespace {

// A temporary file path that is unique to this process. The file is removed on destruction.
class TemporaryFile
{
public:
    TemporaryFile()
        : m_path(std::filesystem::temp_directory_path()
                 / ("fescuespring-log-" + std::to_string(::getpid())))
    {
        std::filesystem::remove(m_path);
    }
    ~TemporaryFile()
    {
        std::filesystem::remove(m_path);
    }

    std::string path() const
    {
        return m_path.string();
    }

    std::string text() const
    {
        std::ostringstream stream;
        stream << std::ifstream(m_path).rdbuf();
        return stream.str();
    }

private:
    std::filesystem::path m_path;
};

} // namespace

class LogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogTest);
    CPPUNIT_TEST(lineContainsEventAndFields);
    CPPUNIT_TEST(valuesCannotInjectLinesOrFields);
    CPPUNIT_TEST(longValuesAreTruncated);
    CPPUNIT_TEST(levelDropsLines);
    CPPUNIT_TEST(offDropsEverything);
    CPPUNIT_TEST(defaultLayoutContainsTimeAndLevel);
    CPPUNIT_TEST(unwritableFileIsAnError);
    CPPUNIT_TEST(concurrentLinesAreNotInterleaved);
    CPPUNIT_TEST_SUITE_END();

public:
    void lineContainsEventAndFields()
    {
        const std::string line = logLine("primary-changed", {{"group", GroupId("herd")},
                                                             {"term", Term(4)},
                                                             {"gap", std::chrono::seconds(2)},
                                                             {"at", Endpoint{"10.0.0.1", 80}},
                                                             {"count", 3},
                                                             {"planned", false}});
        CPPUNIT_ASSERT_EQUAL(std::string("event=primary-changed group=herd term=4 gap=2000 "
                                         "at=10.0.0.1:80 count=3 planned=no"),
                             line);
    }

    void valuesCannotInjectLinesOrFields()
    {
        CPPUNIT_ASSERT_EQUAL(
                std::string(R"(event=x a="b c" d="e=f" g="\x0ah" i="\"\\ " j="")"),
                logLine("x",
                        {{"a", "b c"}, {"d", "e=f"}, {"g", "\nh"}, {"i", "\"\\ "}, {"j", ""}}));
    }

    void longValuesAreTruncated()
    {
        const std::string longest(maximumLoggedBytes, 'a');
        CPPUNIT_ASSERT_EQUAL("event=x a=" + longest, logLine("x", {{"a", longest + "b"}}));
    }

    void levelDropsLines()
    {
        const TemporaryFile file;
        Result<Log> log =
                Log::open({.level = LogLevel::Warning, .file = file.path(), .layout = "%p %m%n"});
        log.value().debug("a");
        log.value().info("b");
        log.value().warning("c", {{"key", 1}});
        log.value().error("d");
        CPPUNIT_ASSERT_EQUAL(std::string("WARN event=c key=1\nERROR event=d\n"), file.text());
    }

    void offDropsEverything()
    {
        const TemporaryFile file;
        Result<Log> log = Log::open({.level = LogLevel::Off, .file = file.path()});
        log.value().error("d");
        CPPUNIT_ASSERT(file.text().empty());
    }

    void defaultLayoutContainsTimeAndLevel()
    {
        const TemporaryFile file;
        Result<Log> log = Log::open({.file = file.path()});
        log.value().info("started");
        int year = 0;
        int millisecond = -1;
        std::sscanf(file.text().c_str(), "%4d-%*2d-%*2dT%*2d:%*2d:%*2d.%3dZ INFO event=started",
                    &year, &millisecond);
        CPPUNIT_ASSERT(year >= 2026);
        CPPUNIT_ASSERT(millisecond >= 0);
        CPPUNIT_ASSERT(file.text().ends_with("Z INFO event=started\n"));
    }

    void unwritableFileIsAnError()
    {
        const Result<Log> log = Log::open({.file = "/nowhere/at/all.log"});
        CPPUNIT_ASSERT(log.has_error());
        CPPUNIT_ASSERT_EQUAL(std::string("logging.file"), log.error().field);
    }

    void concurrentLinesAreNotInterleaved()
    {
        const TemporaryFile file;
        Result<Log> log = Log::open({.file = file.path(), .layout = "%m%n"});
        std::vector<std::thread> threads;
        threads.reserve(4);
        for (int i = 0; i < 4; ++i) {
            threads.emplace_back([&log] {
                for (int line = 0; line < 100; ++line)
                    log.value().info("x", {{"key", "value"}});
            });
        }
        for (std::thread &thread : threads)
            thread.join();
        std::string expected;
        for (int line = 0; line < 400; ++line)
            expected += "event=x key=value\n";
        CPPUNIT_ASSERT_EQUAL(expected, file.text());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);
