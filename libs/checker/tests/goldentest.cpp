#include "history.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <fstream>

using namespace fescuespring;

namespace {

constexpr std::uint64_t seed = 16;
constexpr std::size_t faults = 5;

std::vector<std::string> linesOf(const std::string &path)
{
    std::vector<std::string> lines;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);)
        lines.push_back(line);
    return lines;
}

void writeLines(const std::string &path, const std::vector<std::string> &lines)
{
    std::ofstream file(path);
    for (const std::string &line : lines)
        file << line << '\n';
}

} // namespace

// Compares whole sessions of both policies under the same faults with golden files. Each line has
// the time in milliseconds, then a fault, a change of primary, or the end of a request with the VM,
// database, outcome, reason, log point and the session's count. UPDATE_GOLDEN=1 rewrites the files.
class GoldenTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GoldenTest);
    CPPUNIT_TEST(productSessions);
    CPPUNIT_TEST(naiveSessions);
    CPPUNIT_TEST_SUITE_END();

public:
    void productSessions()
    {
        assertGolden("product-sessions.txt", Policy::Product);
    }

    void naiveSessions()
    {
        assertGolden("naive-sessions.txt", Policy::Naive);
    }

private:
    void assertGolden(const std::string &name, Policy policy)
    {
        HistoryResult result = History({.policy = policy,
                                        .seed = seed,
                                        .sessions = 2,
                                        .length = std::chrono::seconds(6),
                                        .faults = faults,
                                        .keepsLines = true})
                                       .run();
        for (const Violation &violation : result.violations)
            result.lines.push_back(std::string("violated: ") + toString(violation.guarantee) + " "
                                   + violation.id.value());
        const std::string path = std::string(TEST_DATA_DIR) + "/" + name;
        if (std::getenv("UPDATE_GOLDEN"))
            writeLines(path, result.lines);
        const std::vector<std::string> golden = linesOf(path);
        for (std::size_t i = 0; i < std::min(golden.size(), result.lines.size()); ++i)
            CPPUNIT_ASSERT_EQUAL(golden[i], result.lines[i]);
        CPPUNIT_ASSERT_EQUAL(golden.size(), result.lines.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GoldenTest);
