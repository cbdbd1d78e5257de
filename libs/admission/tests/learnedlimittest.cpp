#include "admission/learnedlimit.h"

#include "admission/pausedetector.h"
#include "serverload.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

constexpr unsigned seeds = 10;

ConcurrencyLimitOptions options(double minimum, double maximum)
{
    return {.minimum = minimum, .maximum = maximum, .isLearned = true};
}

// The only owner of a database with five slots.
ServerLoad::Owner &loadOnlyOwner(ServerLoad &server, double perSecond)
{
    return server.addOwner(options(5, 24), {{"q", 20ms, perSecond}});
}

std::string text(unsigned seed, double value)
{
    return "seed " + std::to_string(seed) + ": " + std::to_string(value);
}

} // namespace

class LearnedLimitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LearnedLimitTest);
    CPPUNIT_TEST(stepToAThirdIsFollowed);
    CPPUNIT_TEST(recoveryIsFollowed);
    CPPUNIT_TEST(slowDriftIsFollowed);
    CPPUNIT_TEST(noiseAloneChangesLittle);
    CPPUNIT_TEST(longStatementsAreNoSlowDatabase);
    CPPUNIT_TEST(hiddenLoadLowersTheLimit);
    CPPUNIT_TEST(timesAcrossAPauseAreDropped);
    CPPUNIT_TEST(waitFollowsQueueAndLimit);
    CPPUNIT_TEST(stallIsExpectedToGoOn);
    CPPUNIT_TEST_SUITE_END();

public:
    // Load: low, 20 statements per second of exponentially distributed work. Guards against a
    // database that is slow for long before its owner notices, as few answers arrive.
    void stepToAThirdIsFollowed()
    {
        double sum = 0;
        int followed = 0;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            ServerLoad server(seed, 5);
            const ServerLoad::Owner &owner =
                    server.addOwner(options(1.5, 11), {{"q", 20ms, 14}, {"long", 40ms, 6}});
            server.run(30s);
            const double before = owner.limit.limit();
            server.slowness = 3;
            // In two seconds, about 30 answers arrive.
            server.run(2s);
            followed += owner.limit.limit() <= 0.7 * before ? 1 : 0;
            sum += owner.limit.learned()->slowdown();
        }
        // With some 30 samples of this spread, one seed in ten takes a little longer.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(followed), followed >= 9);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(sum / seeds), sum / seeds > 2.2);
    }

    // Load: saturation. Guards against a limit that stays low when the database is fast again.
    void recoveryIsFollowed()
    {
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            ServerLoad server(seed, 5);
            const ServerLoad::Owner &owner = server.addOwner(options(1.5, 11), {{"q", 20ms, 300}});
            server.run(10s);
            const double before = owner.limit.limit();
            server.slowness = 3;
            server.run(2s);
            const double slow = owner.limit.limit();
            server.run(18s);
            server.slowness = 1;
            server.run(5s);
            CPPUNIT_ASSERT_MESSAGE(text(seed, slow), slow <= 0.7 * before);
            CPPUNIT_ASSERT_MESSAGE(text(seed, owner.limit.limit()),
                                   owner.limit.limit() >= 0.8 * before);
        }
    }

    // Load: the database loses two thirds of its speed over a minute. Guards against a base time
    // that follows the drift, so that it is never noticed.
    void slowDriftIsFollowed()
    {
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            ServerLoad server(seed, 5);
            const ServerLoad::Owner &owner = server.addOwner(options(1.5, 11), {{"q", 20ms, 30}});
            server.run(20s);
            for (int i = 0; i < 60; ++i) {
                server.slowness += 2.0 / 60;
                server.run(1s);
            }
            CPPUNIT_ASSERT_MESSAGE(text(seed, owner.limit.learned()->slowdown()),
                                   owner.limit.learned()->slowdown() > 1.5);
            CPPUNIT_ASSERT(owner.limit.learned()->serviceTime(WorkKind("q")) > 35ms);
        }
    }

    // Load: half of the slots, exponentially distributed work. Guards against a limit that falls
    // with a few long statements.
    void noiseAloneChangesLittle()
    {
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            ServerLoad server(seed, 5);
            const ServerLoad::Owner &owner = loadOnlyOwner(server, 125);
            server.run(60s);
            const double before = owner.limit.limit();
            double lowest = before;
            double highest = before;
            for (int i = 0; i < 300; ++i) {
                server.run(100ms);
                lowest = std::min(lowest, owner.limit.limit());
                highest = std::max(highest, owner.limit.limit());
            }
            CPPUNIT_ASSERT_MESSAGE(text(seed, lowest / before), lowest >= 0.9 * before);
            CPPUNIT_ASSERT_MESSAGE(text(seed, highest / before), highest <= 1.1 * before);
        }
    }

    // Load: short statements, then long ones beside them. Guards against a limit that takes long
    // statements for a slow database, as a fixed target does.
    void longStatementsAreNoSlowDatabase()
    {
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            ServerLoad server(seed, 5);
            server.isNoisy = false;
            const ServerLoad::Owner &owner =
                    server.addOwner(options(5, 24), {{"q", 7ms, 300}, {"report", 120ms, 0}});
            server.run(10s);
            server.owners().front().works[1].perSecond = 10;
            server.owners().front().works[0].perSecond = 100;
            server.run(10s);
            CPPUNIT_ASSERT_MESSAGE(text(seed, owner.limit.learned()->slowdown()),
                                   owner.limit.learned()->slowdown() < 1.7);
            CPPUNIT_ASSERT(owner.limit.learned()->serviceTime(WorkKind("q")) < 15ms);
            CPPUNIT_ASSERT(owner.limit.learned()->serviceTime(WorkKind("report")) > 100ms);
        }
    }

    // Load: four other owners saturate the database. Guards against owners that hold a high limit
    // each, which together fill the database's unordered queue.
    void hiddenLoadLowersTheLimit()
    {
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            ServerLoad server(seed, 5);
            for (int i = 0; i < 5; ++i)
                server.addOwner(options(1.5, 11), {{"q", 20ms, i == 0 ? 30.0 : 10.0}});
            server.run(10s);
            for (ServerLoad::Owner &owner : server.owners())
                owner.works.front().perSecond = 80;
            server.run(5s);
            double total = 0;
            for (const ServerLoad::Owner &owner : server.owners())
                total += owner.limit.limit();
            CPPUNIT_ASSERT_MESSAGE(text(seed, total), total <= 20);
        }
    }

    // Failure: this VM does not run for 300 ms. Guards against a fast database that counts as slow
    // because the VM was paused.
    void timesAcrossAPauseAreDropped()
    {
        PauseDetector pauses;
        LearnedLimit limit(
                {.minimum = 1, .maximum = 8, .wasPaused = [&pauses](Instant from, Instant to) {
                     return pauses.wasPaused(from, to);
                 }});
        Instant now{std::chrono::hours(1)};
        const auto run = [&](int count, Duration time) {
            for (int i = 0; i < count; ++i) {
                limit.begin(now);
                now += time;
                // The reply is read before the overdue timer runs.
                limit.end(WorkKind("q"), time, now);
                pauses.tick(now);
            }
        };
        pauses.tick(now);
        run(100, 10ms);
        const double before = limit.slowdown();
        run(100, 300ms);
        CPPUNIT_ASSERT_EQUAL(before, limit.slowdown());
        CPPUNIT_ASSERT(limit.serviceTime(WorkKind("q")) < 12ms);
        CPPUNIT_ASSERT(pauses.wasPaused(now - 10ms, now));
        CPPUNIT_ASSERT(!pauses.wasPaused(now, now + 10ms));
    }

    // Guards against figures on which nothing is refused although the queue is long.
    void waitFollowsQueueAndLimit()
    {
        LearnedLimit limit({.minimum = 2, .maximum = 2});
        Instant now{std::chrono::hours(1)};
        for (int i = 0; i < 50; ++i) {
            limit.begin(now);
            now += 20ms;
            limit.end(WorkKind("q"), 20ms, now);
        }
        CPPUNIT_ASSERT(limit.expectedWait(0, now) == 0ms);
        limit.begin(now);
        limit.begin(now);
        CPPUNIT_ASSERT(limit.expectedWait(0, now) == 10ms);
        CPPUNIT_ASSERT(limit.expectedWait(9, now) == 100ms);
    }

    // Failure: the database answers status requests, but no statement ends. Guards against figures
    // that stay as good as before because only ended statements change them.
    void stallIsExpectedToGoOn()
    {
        LearnedLimit limit({.minimum = 2, .maximum = 8});
        Instant now{std::chrono::hours(1)};
        for (int i = 0; i < 50; ++i) {
            limit.begin(now);
            now += 20ms;
            limit.end(WorkKind("q"), 20ms, now);
        }
        now += 10s;
        limit.begin(now);
        CPPUNIT_ASSERT(limit.expectedWait(0, now + 60ms) == 0ms);
        CPPUNIT_ASSERT(limit.expectedWait(0, now + 90ms) == 90ms);
        CPPUNIT_ASSERT(limit.expectedWait(0, now + 400ms) == 400ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LearnedLimitTest);
