#include "logging/log.h"

#include "lineratelimiter.h"
#include "pipeappender.h"

#include <cppunit/extensions/HelperMacros.h>
#include <log4cplus/hierarchy.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loglevel.h>

#include <array>
#include <chrono>
#include <string>

#include <fcntl.h>
#include <unistd.h>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

struct Pipe
{
    Pipe()
    {
        CPPUNIT_ASSERT_EQUAL(0, pipe(ends.data()));
    }
    ~Pipe()
    {
        close(ends[0]);
        close(ends[1]);
    }
    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;

    // Reads everything available without blocking.
    std::string drain() const
    {
        fcntl(ends[0], F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 4096> buffer;
        for (ssize_t size = 0; (size = read(ends[0], buffer.data(), buffer.size())) > 0;)
            text.append(buffer.data(), static_cast<std::size_t>(size));
        return text;
    }

    std::array<int, 2> ends{};
};

} // namespace

class BoundedLogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BoundedLogTest);
    CPPUNIT_TEST(eventsAreLimitedSeparately);
    CPPUNIT_TEST(nextLineReportsSuppressedLines);
    CPPUNIT_TEST(zeroDisablesTheLimit);
    CPPUNIT_TEST(slowReaderDoesNotBlockWriters);
    CPPUNIT_TEST_SUITE_END();

public:
    void eventsAreLimitedSeparately()
    {
        detail::LineRateLimiter limiter(10);
        const auto now = detail::LineRateLimiter::Clock::now();
        int written = 0;
        for (int i = 0; i < 1000; ++i)
            written += limiter.admit("statement-failed", now) ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(20, written);
        CPPUNIT_ASSERT(limiter.admit("promotion-ordered", now) == std::uint64_t{0});
    }

    void nextLineReportsSuppressedLines()
    {
        detail::LineRateLimiter limiter(1);
        const auto now = detail::LineRateLimiter::Clock::now();
        for (int i = 0; i < 12; ++i)
            limiter.admit("x", now);
        CPPUNIT_ASSERT(limiter.admit("x", now + 1s) == std::uint64_t{10});
        CPPUNIT_ASSERT(limiter.admit("x", now + 2s) == std::uint64_t{0});
    }

    void zeroDisablesTheLimit()
    {
        detail::LineRateLimiter limiter(0);
        for (int i = 0; i < 1000; ++i)
            CPPUNIT_ASSERT(limiter.admit("x", {}) == std::uint64_t{0});
    }

    void slowReaderDoesNotBlockWriters()
    {
        const Pipe pipe;
        log4cplus::Hierarchy hierarchy;
        log4cplus::Logger logger = hierarchy.getRoot();
        log4cplus::SharedAppenderPtr appender(new detail::PipeAppender(pipe.ends[1]));
        appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
        logger.addAppender(appender);
        // A pipe holds 64 KiB. Nothing reads from it, so a blocking write would never return.
        for (int i = 0; i < 5000; ++i)
            logger.forcedLog(log4cplus::INFO_LOG_LEVEL, std::string(100, 'a'));
        CPPUNIT_ASSERT(pipe.drain().size() <= std::size_t{1024} * 1024);
        logger.forcedLog(log4cplus::INFO_LOG_LEVEL, "again");
        const std::string text = pipe.drain();
        CPPUNIT_ASSERT(text.starts_with("event=log-lines-lost count="));
        CPPUNIT_ASSERT(text.ends_with("again\n"));
        hierarchy.shutdown();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BoundedLogTest);
