#include "coordination/lifecycle.h"

#include "support/virtualtimers.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

// A VM reduced to its sessions.
struct World
{
    VirtualTimers timers;
    Log log = std::move(Log::open({.level = LogLevel::Off}).value());
    bool isInitialized = true;
    bool isIsolated = false;
    bool isClosing = false;
    bool hasAborted = false;
    bool hasEndedStatements = false;
    bool isAnnounced = false;
    std::size_t sessions = 3;
    std::size_t loans = 0;
    std::optional<bool> stoppedClean;
    Lifecycle lifecycle{{.timers = timers,
                         .log = log,
                         .isInitialized = [this] { return isInitialized; },
                         .isIsolated = [this] { return isIsolated; },
                         .closeIdleSessions = [this](bool closing) { isClosing = closing; },
                         .abortIdleTransactions = [this] { hasAborted = true; },
                         .endStatements = [this] { hasEndedStatements = true; },
                         .sessionCount = [this] { return sessions; },
                         .loanCount = [this] { return loans; },
                         .announceStop = [this] { isAnnounced = true; },
                         .stopped =
                                 [this](bool isClean) {
                                     stoppedClean = isClean;
                                 }}};
};

} // namespace

class LifecycleTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LifecycleTest);
    CPPUNIT_TEST(uninitializedVmIsNotReady);
    CPPUNIT_TEST(stopClosesNothingBeforeTheBalancerReacts);
    CPPUNIT_TEST(openTransactionsMayFinishBeforeTheyAreAborted);
    CPPUNIT_TEST(stopEndsAtItsDeadline);
    CPPUNIT_TEST(lenderWaitsForTheStatementsOfOtherVms);
    CPPUNIT_TEST(runningStatementsGetAReplyBeforeTheDeadline);
    CPPUNIT_TEST(statementIsWaitedForNearlyToTheEndOfTheGracePeriod);
    CPPUNIT_TEST(isolatedVmClosesIdleSessions);
    CPPUNIT_TEST_SUITE_END();

public:
    void uninitializedVmIsNotReady()
    {
        World world;
        world.isInitialized = false;
        CPPUNIT_ASSERT(!world.lifecycle.isReady());
        world.isInitialized = true;
        CPPUNIT_ASSERT(world.lifecycle.isReady());
        world.lifecycle.stop();
        CPPUNIT_ASSERT(!world.lifecycle.isReady());
    }

    // The balancer checks once a second and removes a VM after two refusals.
    void stopClosesNothingBeforeTheBalancerReacts()
    {
        World world;
        world.sessions = 0;
        world.lifecycle.start();
        world.lifecycle.stop();
        CPPUNIT_ASSERT(world.isAnnounced);
        world.timers.advance(2000ms);
        CPPUNIT_ASSERT(!world.isClosing);
        CPPUNIT_ASSERT(!world.stoppedClean);
        world.timers.advance(400ms);
        CPPUNIT_ASSERT(world.stoppedClean == true);
    }

    // Open transactions get half of the 6 s that the platform allows for a shutdown.
    void openTransactionsMayFinishBeforeTheyAreAborted()
    {
        World world;
        world.lifecycle.stop();
        world.timers.advance(2900ms);
        CPPUNIT_ASSERT(world.isClosing);
        CPPUNIT_ASSERT(!world.hasAborted);
        world.timers.advance(200ms);
        CPPUNIT_ASSERT(world.hasAborted);
        world.sessions = 0;
        world.timers.advance(100ms);
        CPPUNIT_ASSERT(world.stoppedClean == true);
    }

    void stopEndsAtItsDeadline()
    {
        World world;
        world.lifecycle.stop();
        world.lifecycle.stop();
        world.timers.advance(5700ms);
        CPPUNIT_ASSERT(!world.stoppedClean);
        world.timers.advance(100ms);
        CPPUNIT_ASSERT(world.stoppedClean == false);
    }

    // Guards against a statement of another VM's caller that is cut while a database works on it,
    // because the VM whose connection it uses has no callers left.
    void lenderWaitsForTheStatementsOfOtherVms()
    {
        World world;
        world.sessions = 0;
        world.loans = 1;
        world.lifecycle.stop();
        world.timers.advance(5s);
        CPPUNIT_ASSERT(!world.stoppedClean);
        world.loans = 0;
        world.timers.advance(100ms);
        CPPUNIT_ASSERT(world.stoppedClean == true);
    }

    // Guards against callers whose connections close at the deadline without a reply.
    void runningStatementsGetAReplyBeforeTheDeadline()
    {
        World world;
        world.lifecycle.stop();
        world.timers.advance(5500ms);
        CPPUNIT_ASSERT(!world.hasEndedStatements);
        world.timers.advance(200ms);
        CPPUNIT_ASSERT(world.hasEndedStatements && !world.stoppedClean);
        world.sessions = 0;
        world.timers.advance(50ms);
        CPPUNIT_ASSERT(world.stoppedClean == true);
    }

    // Guards against a statement that a database works on and that the end of the process cuts,
    // though the platform leaves it another second and a half.
    void statementIsWaitedForNearlyToTheEndOfTheGracePeriod()
    {
        constexpr std::chrono::milliseconds grace{6000};
        World world;
        world.sessions = 1;
        world.lifecycle.stop();
        // The last sixth is left for the end of the process.
        world.timers.advance(grace - grace / 6);
        CPPUNIT_ASSERT(!world.stoppedClean);
        world.sessions = 0;
        world.timers.advance(100ms);
        CPPUNIT_ASSERT(world.stoppedClean == true);
    }

    void isolatedVmClosesIdleSessions()
    {
        World world;
        world.lifecycle.start();
        world.isIsolated = true;
        CPPUNIT_ASSERT(!world.lifecycle.isReady());
        world.timers.advance(1800ms);
        CPPUNIT_ASSERT(!world.isClosing);
        world.timers.advance(600ms);
        CPPUNIT_ASSERT(world.isClosing);
        world.isIsolated = false;
        world.timers.advance(300ms);
        CPPUNIT_ASSERT(!world.isClosing);
        CPPUNIT_ASSERT(world.lifecycle.isReady());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LifecycleTest);
