#include "net/eventloop.h"
#include "operatortool/operatortool.h"
#include "standinplatform/platformstandin.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <future>
#include <iterator>
#include <optional>
#include <sstream>
#include <thread>

#include <unistd.h>

using namespace fescuespring;

namespace {

// Runs the stand-in of the platform on its own thread.
class PlatformThread
{
public:
    PlatformThread()
    {
        std::promise<Endpoint> ready;
        std::future<Endpoint> endpoint = ready.get_future();
        m_thread = std::thread([this, &ready] { serve(ready); });
        m_endpoint = endpoint.get();
    }
    ~PlatformThread()
    {
        m_loop.stop();
        m_thread.join();
    }
    PlatformThread(const PlatformThread &) = delete;
    PlatformThread &operator=(const PlatformThread &) = delete;

    std::string endpoint() const
    {
        return m_endpoint.ip + ':' + std::to_string(m_endpoint.port);
    }

private:
    void serve(std::promise<Endpoint> &ready)
    {
        const Endpoint anyPort{.ip = "127.0.0.1", .port = 0};
        const auto standin = std::move(PlatformStandin::start(m_loop, {.dataEndpoint = anyPort,
                                                                       .controlEndpoint = anyPort}))
                                     .value();
        ready.set_value(standin->dataEndpoint());
        m_loop.run();
    }

    EventLoop m_loop;
    Endpoint m_endpoint;
    std::thread m_thread;
};

// A temporary folder, removed on destruction.
class TemporaryFolder
{
public:
    TemporaryFolder()
        : m_path(std::filesystem::temp_directory_path()
                 / ("fescuespring-lists-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directory(m_path);
    }
    ~TemporaryFolder()
    {
        std::filesystem::remove_all(m_path);
    }

    std::string file(const std::string &name) const
    {
        return (m_path / name).string();
    }

private:
    std::filesystem::path m_path;
};

struct Run
{
    ToolOutcome outcome = ToolOutcome::Done;
    std::string out;
    std::string error;
};

std::string textOf(const std::string &path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

void write(const std::string &path, const std::string &text)
{
    std::ofstream(path) << text;
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    CPPUNIT_ASSERT_MESSAGE(text, text.find(from) != std::string::npos);
    return text.replace(text.find(from), from.size(), to);
}

void assertOutcome(ToolOutcome expected, const Run &result)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.out + result.error, static_cast<int>(expected),
                                 static_cast<int>(result.outcome));
}

void assertContains(const std::string &text, const std::string &part)
{
    CPPUNIT_ASSERT_MESSAGE(text, text.find(part) != std::string::npos);
}

} // namespace

class ListsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ListsTest);
    CPPUNIT_TEST(emptyListsAreShown);
    CPPUNIT_TEST(plansAreAddedSetAndRemoved);
    CPPUNIT_TEST(plansAreShownAsJsonAndText);
    CPPUNIT_TEST(invalidPlansAreRefused);
    CPPUNIT_TEST(customersAreSetMovedAndRemoved);
    CPPUNIT_TEST(planInUseCannotBeRemoved);
    CPPUNIT_TEST(filesAreChecked);
    CPPUNIT_TEST(editedFileIsApplied);
    CPPUNIT_TEST(concurrentEditIsAConflict);
    CPPUNIT_TEST(editWithoutItsBaseIsRefused);
    CPPUNIT_TEST(missingArgumentsAreUsageErrors);
    CPPUNIT_TEST(everyCommandHasHelp);
    CPPUNIT_TEST(unresponsivePlatformIsUnreachable);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_platform.emplace();
        m_folder.emplace();
    }

    void tearDown() override
    {
        m_folder.reset();
        m_platform.reset();
    }

    void emptyListsAreShown()
    {
        const Run plans = run({"plans", "show"});
        assertContains(plans.out + plans.error, "plans at version 0, 0 in all\n");
    }

    void plansAreAddedSetAndRemoved()
    {
        const Run added = run({"plans", "add", "gold", "weight=10", "priority=3"});
        assertOutcome(ToolOutcome::Done, added);
        CPPUNIT_ASSERT_EQUAL(
                std::string("done: plans is at version 1; VMs apply it within seconds\n"),
                added.out);
        assertOutcome(ToolOutcome::Done, run({"plans", "set", "gold", "maximumAgeMs", "500"}));
        const Run shown = run({"plans", "show"});
        assertOutcome(ToolOutcome::Done, shown);
        CPPUNIT_ASSERT_EQUAL(std::string("plans at version 2, 1 in all\n"
                                         "PLAN  WEIGHT  PRIORITY  CONNECTIONS  QUEUE  LONG "
                                         "STATEMENTS  DURABILITY  MAXIMUM AGE MS\n"
                                         "gold  10      3         1            100    1           "
                                         "     replicated  500\n"),
                             shown.out);
        assertOutcome(ToolOutcome::Done, run({"plans", "remove", "gold"}));
        assertContains(run({"plans", "show"}).out, "0 in all");
    }

    void plansAreShownAsJsonAndText()
    {
        assertOutcome(ToolOutcome::Done, run({"plans", "add", "gold", "weight=10", "--json"}));
        CPPUNIT_ASSERT_EQUAL(
                std::string("{\"version\":1,\"plans\":{\"gold\":{\"weight\":\"10\",\"priority\":"
                            "\"0\",\"connections\":\"1\",\"queue\":\"100\",\"longStatements\":"
                            "\"1\",\"durability\":\"replicated\"}}}\n"),
                run({"plans", "show", "--json"}).out);
        assertContains(run({"plans", "show", "--text"}).out, "gold:");
    }

    void invalidPlansAreRefused()
    {
        assertOutcome(ToolOutcome::Done, run({"plans", "add", "gold"}));
        const Run range = run({"plans", "set", "gold", "weight", "0"});
        assertOutcome(ToolOutcome::Refused, range);
        assertContains(range.error, "plans.gold.weight: must be a whole number from 1 to 1000");
        const Run field = run({"plans", "set", "gold", "wieght", "1"});
        assertOutcome(ToolOutcome::Refused, field);
        assertContains(field.error, "did you mean 'weight'?");
        assertOutcome(ToolOutcome::Refused, run({"plans", "set", "silver", "weight", "1"}));
        assertOutcome(ToolOutcome::Refused, run({"plans", "add", "gold"}));
        assertContains(run({"plans", "show"}).out, "plans at version 1,");
    }

    void customersAreSetMovedAndRemoved()
    {
        assertOutcome(ToolOutcome::Done, run({"plans", "add", "gold"}));
        assertOutcome(ToolOutcome::Done, run({"plans", "add", "basic"}));
        assertOutcome(ToolOutcome::Done, run({"customers", "set", "coop-7", "gold"}));
        assertOutcome(ToolOutcome::Done, run({"customers", "set", "coop-9", "basic"}));
        assertOutcome(ToolOutcome::Done, run({"customers", "set", "coop-7", "basic"}));
        CPPUNIT_ASSERT_EQUAL(std::string("CUSTOMER  PLAN\ncoop-7    basic\ncoop-9    basic\n"),
                             run({"customers", "show"}).out);
        CPPUNIT_ASSERT_EQUAL(std::string("{\"coop-9\":\"basic\"}\n"),
                             run({"customers", "show", "coop-9", "--json"}).out);
        assertOutcome(ToolOutcome::Done, run({"customers", "remove", "coop-7"}));
        const Run removed = run({"customers", "show", "coop-7"});
        assertOutcome(ToolOutcome::Refused, removed);
        assertContains(removed.error, "unknown customer 'coop-7'");
        assertOutcome(ToolOutcome::Refused, run({"customers", "remove", "coop-7"}));
    }

    void planInUseCannotBeRemoved()
    {
        assertOutcome(ToolOutcome::Done, run({"plans", "add", "gold"}));
        assertOutcome(ToolOutcome::Done, run({"customers", "set", "coop-7", "gold"}));
        assertOutcome(ToolOutcome::Refused, run({"customers", "set", "coop-8", "glod"}));
        assertOutcome(ToolOutcome::Refused, run({"plans", "remove", "gold"}));
    }

    void filesAreChecked()
    {
        const std::string file = m_folder->file("plans.yaml");
        write(file, "plans:\n  gold: {weight: 10}\n");
        const std::vector<std::string> check{"plans", "check", file};
        assertOutcome(ToolOutcome::Done, runWithoutPlatform(check));
        write(file, "plans:\n  gold: {weight: 0}\n  basic: {wieght: 1}\n");
        const Run invalid = runWithoutPlatform(check);
        assertOutcome(ToolOutcome::Refused, invalid);
        assertContains(invalid.error, file + ":2: ");
        assertContains(invalid.error, file + ":3: ");
        assertOutcome(ToolOutcome::Usage,
                      runWithoutPlatform({"plans", "check", m_folder->file("none")}));

        assertOutcome(ToolOutcome::Done, run({"plans", "add", "gold"}));
        assertOutcome(ToolOutcome::Done, run({"customers", "set", "coop-7", "gold"}));
        write(file, "plans:\n  basic: {weight: 10}\n");
        assertOutcome(ToolOutcome::Done, runWithoutPlatform(check));
        assertOutcome(ToolOutcome::Refused, run(check));
    }

    void editedFileIsApplied()
    {
        const std::string file = startEdit();
        write(file, replaced(textOf(file), "gold", "silver"));
        assertOutcome(ToolOutcome::Done, run({"plans", "edit", file}));
        assertContains(run({"plans", "show"}).out, "silver");
    }

    void concurrentEditIsAConflict()
    {
        const std::string file = startEdit();
        assertOutcome(ToolOutcome::Done, run({"plans", "set", "gold", "weight", "5"}));
        write(file, replaced(textOf(file), "gold", "silver"));
        const Run conflict = run({"plans", "edit", file});
        assertOutcome(ToolOutcome::Conflict, conflict);
        assertContains(conflict.error, "changed by another operator");
        CPPUNIT_ASSERT(run({"plans", "show"}).out.find("silver") == std::string::npos);
    }

    void editWithoutItsBaseIsRefused()
    {
        const std::string file = m_folder->file("plans.yaml");
        write(file, "plans:\n  gold: {weight: 10}\n");
        for (const char *base : {"", "x\n", "1", "99999999999999999999\n"}) {
            write(file + ".base", base);
            const Run result = run({"plans", "edit", file});
            assertOutcome(ToolOutcome::Usage, result);
            assertContains(result.error, "plans edit --start");
        }
    }

    void missingArgumentsAreUsageErrors()
    {
        for (const std::vector<std::string> &words : {std::vector<std::string>{"plans"},
                                                      {"plans", "sohw"},
                                                      {"plans", "set", "gold", "weight"},
                                                      {"plans", "add", "gold", "weight"},
                                                      {"plans", "remove"},
                                                      {"plans", "remove", "a", "b"},
                                                      {"customers", "set", "coop-7"},
                                                      {"customers", "remove"}})
            assertOutcome(ToolOutcome::Usage, run(words));
        assertOutcome(ToolOutcome::Usage, runWithoutPlatform({"plans", "show"}));
    }

    void everyCommandHasHelp()
    {
        for (const std::vector<std::string> &words : {std::vector<std::string>{"plans", "show"},
                                                      {"plans", "check"},
                                                      {"plans", "edit"},
                                                      {"plans", "set"},
                                                      {"plans", "add"},
                                                      {"plans", "remove"},
                                                      {"customers", "show"},
                                                      {"customers", "set"},
                                                      {"customers", "remove"}}) {
            const Run help = runWithoutPlatform({words[0], words[1], "--help"});
            assertOutcome(ToolOutcome::Done, help);
            assertContains(help.out, "Usage: fescuectl " + words[0] + ' ' + words[1]);
            assertContains(runWithoutPlatform({words[0], "--help"}).out, "\n  " + words[1]);
        }
    }

    void unresponsivePlatformIsUnreachable()
    {
        const std::string unusedEndpoint = "127.0.0.1:1";
        const Run shown = runWithoutPlatform(
                {"plans", "show", "--platform", unusedEndpoint, "--timeout-ms", "200"});
        assertOutcome(ToolOutcome::Unreachable, shown);
        assertContains(shown.error, "Check --platform");
        assertOutcome(ToolOutcome::Unreachable,
                      runWithoutPlatform({"plans", "remove", "gold", "--platform", unusedEndpoint,
                                          "--timeout-ms", "200"}));
    }

private:
    Run runWithoutPlatform(const std::vector<std::string> &arguments) const
    {
        std::ostringstream out;
        std::ostringstream error;
        const ToolOutcome outcome = runOperatorTool(arguments, {out, error});
        return {.outcome = outcome, .out = out.str(), .error = error.str()};
    }

    Run run(std::vector<std::string> arguments) const
    {
        arguments.emplace_back("--platform");
        arguments.push_back(m_platform->endpoint());
        return runWithoutPlatform(arguments);
    }

    // Adds the plan gold and starts an edit; returns the path of the file.
    std::string startEdit() const
    {
        assertOutcome(ToolOutcome::Done, run({"plans", "add", "gold", "weight=10"}));
        std::string file = m_folder->file("plans.yaml");
        assertOutcome(ToolOutcome::Done, run({"plans", "edit", "--start", file}));
        return file;
    }

    std::optional<PlatformThread> m_platform;
    std::optional<TemporaryFolder> m_folder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ListsTest);
