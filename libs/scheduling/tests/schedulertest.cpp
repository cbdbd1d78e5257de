#include "scheduling/scheduler.h"

#include "virtualdatabase.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t longFingerprint = 2;

Plan plan(std::uint32_t weight, std::uint32_t priority = 0)
{
    Plan plan;
    plan.weight = weight;
    plan.priority = priority;
    plan.connections = 20;
    plan.queue = 1000;
    return plan;
}

std::map<PlanId, Plan> plans(const std::vector<std::pair<std::string, Plan>> &list)
{
    std::map<PlanId, Plan> result;
    for (const auto &[name, plan] : list)
        result.emplace(PlanId(name), plan);
    return result;
}

} // namespace

class SchedulerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SchedulerTest);
    CPPUNIT_TEST(sharesFollowWeightsInSlotTime);
    CPPUNIT_TEST(idleShareIsLentAndReclaimedAtOnce);
    CPPUNIT_TEST(higherPriorityGoesFirstAndLowerKeepsItsShare);
    CPPUNIT_TEST(everyPriorityIsServed);
    CPPUNIT_TEST(longWorkLeavesSlotsToShortWork);
    CPPUNIT_TEST(longWorkIsNotStarvedByShortWork);
    CPPUNIT_TEST(longWorkOfLowerPriorityIsNotStarved);
    CPPUNIT_TEST(longStatementsAreDetected);
    CPPUNIT_TEST(stallDoesNotTurnShortWorkIntoLong);
    CPPUNIT_TEST(oneSlowRunDoesNotMakeAStatementLong);
    CPPUNIT_TEST(estimateThatIsFarTooHighIsCorrected);
    CPPUNIT_TEST(fullQueueRefusesWithTimeToRetry);
    CPPUNIT_TEST(unattainableDeadlineIsRefusedOnArrival);
    CPPUNIT_TEST(expiredWorkIsDroppedBeforeDispatch);
    CPPUNIT_TEST(workForbiddenByPlanIsRefused);
    CPPUNIT_TEST(plansAreLimitedToTheirConnections);
    CPPUNIT_TEST(customersOfAPlanAreServedRoundRobin);
    CPPUNIT_TEST(planChangesApplyAtOnce);
    CPPUNIT_TEST(workOfARemovedPlanStillRuns);
    CPPUNIT_TEST(cancelledWorkNeverRuns);
    CPPUNIT_TEST(changedSlotsLimitDispatch);
    CPPUNIT_TEST(burstIsAcceptedAndOverloadIsNot);
    CPPUNIT_TEST(queueRecoversSoonAfterOverload);
    CPPUNIT_TEST(slowDatabaseIsKeptBusyAndRecovers);
    CPPUNIT_TEST_SUITE_END();

    // Offers up to 8 work items of the plan, until one is refused.
    static void saturate(VirtualDatabase &database, const VirtualDatabase::Offer &offer)
    {
        constexpr int burst = 8;
        for (int i = 0; i < burst; ++i) {
            if (!database.offer(offer))
                return;
        }
    }

public:
    void sharesFollowWeightsInSlotTime()
    {
        for (const unsigned seed : {1U, 2U, 3U}) {
            VirtualDatabase database(
                    plans({{"gold", plan(50)}, {"silver", plan(30)}, {"bronze", plan(20)}}));
            std::mt19937 random(seed);
            const auto service = [&random](double mean) {
                return Duration(static_cast<int>(std::exponential_distribution<>(1 / mean)(random))
                                + 100);
            };
            database.run(30s, [&] {
                saturate(database, {.plan = "gold", .service = service(2000), .fingerprint = 11});
                saturate(database, {.plan = "silver", .service = service(5000), .fingerprint = 12});
                saturate(database, {.plan = "bronze", .service = service(9000), .fingerprint = 13});
            });
            const double slotSeconds = 3 * 30;
            CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, database.used("gold") / slotSeconds, 0.5 * 0.05);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(0.3, database.used("silver") / slotSeconds, 0.3 * 0.05);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(0.2, database.used("bronze") / slotSeconds, 0.2 * 0.05);
        }
    }

    void idleShareIsLentAndReclaimedAtOnce()
    {
        VirtualDatabase database(plans({{"lender", plan(1)}, {"borrower", plan(1)}}));
        const VirtualDatabase::Offer lender{.plan = "lender", .service = 5ms};
        const VirtualDatabase::Offer borrower{.plan = "borrower", .service = 5ms};
        database.run(5s, [&] { saturate(database, borrower); });
        CPPUNIT_ASSERT_DOUBLES_EQUAL(15.0, database.used("borrower"), 0.1);

        database.run(2s, [&] {
            saturate(database, borrower);
            saturate(database, lender);
        });
        // The first work of the lender waits for at most one statement to end, and the lender gets
        // no credit for the five idle seconds.
        const auto first = std::ranges::find(database.order, "lender/customer");
        const auto ofBorrower = database.used("borrower") - 15.0;
        CPPUNIT_ASSERT(first - database.order.begin() < 3 * 1000 + 10);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, database.used("lender"), 0.15);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, ofBorrower, 0.15);
    }

    void higherPriorityGoesFirstAndLowerKeepsItsShare()
    {
        SchedulerOptions options;
        options.lowerShare = 0.1;
        VirtualDatabase database(plans({{"office", plan(1, 5)}, {"scanner", plan(1000, 0)}}),
                                 options);
        database.run(10s, [&] {
            saturate(database, {.plan = "office", .service = 3ms, .fingerprint = 11});
            saturate(database, {.plan = "scanner", .service = 6ms, .fingerprint = 12});
        });
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.9, database.used("office") / 30, 0.9 * 0.05);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, database.used("scanner") / 30, 0.1 * 0.05);
    }

    void everyPriorityIsServed()
    {
        VirtualDatabase database(
                plans({{"top", plan(1, 9)}, {"middle", plan(1, 4)}, {"bottom", plan(1, 0)}}));
        database.run(20s, [&] {
            for (const char *name : {"top", "middle", "bottom"})
                saturate(database, {.plan = name, .service = 3ms});
        });
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.9, database.used("top") / 60, 0.9 * 0.05);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.09, database.used("middle") / 60, 0.09 * 0.1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.01, database.used("bottom") / 60, 0.01 * 0.2);
    }

    void longWorkLeavesSlotsToShortWork()
    {
        VirtualDatabase database(plans({{"reports", plan(1000)}, {"calls", plan(1)}}));
        database.run(10s, [&] {
            saturate(database, {.plan = "reports",
                                .service = 500ms,
                                .fingerprint = longFingerprint,
                                .length = WorkLength::Long});
            CPPUNIT_ASSERT(database.scheduler.load().runningLong <= 1);
            saturate(database, {.plan = "calls", .service = 5ms});
        });
        CPPUNIT_ASSERT(database.used("reports") <= 10.0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(20.0, database.used("calls"), 0.2);
    }

    void longWorkIsNotStarvedByShortWork()
    {
        VirtualDatabase database(plans({{"reports", plan(1)}, {"calls", plan(3)}}));
        database.run(60s, [&] {
            saturate(database, {.plan = "reports",
                                .service = 500ms,
                                .fingerprint = longFingerprint,
                                .length = WorkLength::Long});
            saturate(database, {.plan = "calls", .service = 5ms});
        });
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, database.used("reports") / 180, 0.25 * 0.05);
    }

    void longWorkOfLowerPriorityIsNotStarved()
    {
        VirtualDatabase database(plans({{"office", plan(1, 5)}, {"planning", plan(1, 0)}}));
        database.run(60s, [&] {
            saturate(database, {.plan = "office", .service = 5ms});
            saturate(database, {.plan = "planning",
                                .service = 500ms,
                                .fingerprint = longFingerprint,
                                .length = WorkLength::Long});
        });
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, database.used("planning") / 180, 0.1 * 0.1);
    }

    void longStatementsAreDetected()
    {
        VirtualDatabase database(plans({{"calls", plan(1)}, {"vets", plan(1)}}));
        const auto calls = [&] {
            saturate(database, {.plan = "calls", .service = 5ms});
        };
        database.run(1s, calls);
        int maximumRunningLong = 0;
        database.run(10s, [&] {
            calls();
            saturate(database, {.plan = "vets", .service = 500ms, .fingerprint = longFingerprint});
            const bool isDetected = database.used("vets") > 0;
            if (isDetected)
                maximumRunningLong =
                        std::max(maximumRunningLong,
                                 static_cast<int>(database.scheduler.load().runningLong));
        });
        // Once a long statement has finished, they run one at a time, except those already running.
        CPPUNIT_ASSERT(maximumRunningLong >= 1);
        const double before = database.used("calls");
        database.run(5s, calls);
        CPPUNIT_ASSERT(database.used("calls") - before >= 10.0 - 0.2);
    }

    void stallDoesNotTurnShortWorkIntoLong()
    {
        VirtualDatabase database(plans({{"calls", plan(1)}}));
        for (int round = 0; round < 10; ++round) {
            database.run(100ms, [&] { saturate(database, {.plan = "calls", .service = 4ms}); });
            for (int i = 0; i < 3; ++i)
                (void)database.offer({.plan = "calls", .service = 400ms});
            database.run(1s);
        }
        (void)database.offer({.plan = "calls", .service = 4ms});
        const auto dispatch = database.scheduler.next(database.now);
        CPPUNIT_ASSERT(dispatch.has_value());
        CPPUNIT_ASSERT(!dispatch->isLong);
    }

    // Guards against classifying a statement as long after one slow run. Planning queries of 3 ms
    // plus an exponentially distributed time take 30 ms in one run of 200, while other work starts
    // and finishes.
    void oneSlowRunDoesNotMakeAStatementLong()
    {
        VirtualDatabase database(plans({{"planning", plan(1)}, {"scanners", plan(1)}}));
        const auto feed = [&] {
            saturate(database, {.plan = "scanners", .service = 2ms, .fingerprint = 3});
            saturate(database, {.plan = "planning", .service = 8ms, .fingerprint = 4});
        };
        database.run(500ms, feed);
        database.run(1s);
        CPPUNIT_ASSERT(database.offer({.plan = "planning", .service = 100ms, .fingerprint = 4}));
        database.run(500ms, feed);
        CPPUNIT_ASSERT_EQUAL(0U, database.scheduler.load().queuedLong);
        const double before = database.used("planning");
        database.run(1s, feed);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.5, database.used("planning") - before, 1.5 * 0.05);
    }

    void estimateThatIsFarTooHighIsCorrected()
    {
        VirtualDatabase database(plans({{"calls", plan(1)}}));
        CPPUNIT_ASSERT(database.offer({.plan = "calls", .service = 9s}));
        database.run(10s);
        int refused = 0;
        while (!database.offer({.plan = "calls", .service = 4ms, .deadline = 1s}))
            ++refused;
        CPPUNIT_ASSERT(refused > 0 && refused < 50);
    }

    void fullQueueRefusesWithTimeToRetry()
    {
        Plan small = plan(1);
        small.queue = 5;
        VirtualDatabase database(plans({{"small", small}}));
        for (int i = 0; i < 5; ++i)
            CPPUNIT_ASSERT(database.offer({.plan = "small", .service = 5ms}));
        const Admission refused = database.offer({.plan = "small", .service = 5ms});
        CPPUNIT_ASSERT(!refused);
        CPPUNIT_ASSERT(refused.error().reason == Reason::QueueFull);
        CPPUNIT_ASSERT(refused.error().retryAfter > 0ms && refused.error().retryAfter < 100ms);
    }

    void unattainableDeadlineIsRefusedOnArrival()
    {
        VirtualDatabase database(plans({{"calls", plan(1)}}));
        for (int i = 0; i < 40; ++i)
            CPPUNIT_ASSERT(database.offer({.plan = "calls", .service = 5ms}));
        const Admission refused =
                database.offer({.plan = "calls", .service = 5ms, .deadline = 20ms});
        CPPUNIT_ASSERT(refused.error().reason == Reason::DeadlineTooShort);
        CPPUNIT_ASSERT(refused.error().retryAfter > 0ms);
        CPPUNIT_ASSERT(database.offer({.plan = "calls", .service = 5ms, .deadline = 200ms}));
        const Admission passed = database.offer({.plan = "calls", .deadline = 0ms});
        CPPUNIT_ASSERT(passed.error().reason == Reason::DeadlinePassed);
    }

    void expiredWorkIsDroppedBeforeDispatch()
    {
        SchedulerOptions options;
        options.slots = 1;
        options.spare = 0;
        VirtualDatabase database(plans({{"calls", plan(1)}}), options);
        (void)database.offer({.plan = "calls", .service = 500ms});
        database.run(1ms);
        (void)database.offer({.plan = "calls", .service = 5ms, .deadline = 100ms});
        database.now += 96ms;
        database.dispatch();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), database.dropped.size());
        CPPUNIT_ASSERT(database.dropped[0].refusal.reason == Reason::DeadlineTooShort);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), database.dropped[0].context);
        database.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), database.order.size());
    }

    void workForbiddenByPlanIsRefused()
    {
        Plan noLong = plan(1);
        noLong.longStatements = 0;
        VirtualDatabase database(plans({{"calls", noLong}}));
        const Admission isLong = database.offer({.plan = "calls", .length = WorkLength::Long});
        CPPUNIT_ASSERT(isLong.error().reason == Reason::PlanForbids);
        const Admission unknown = database.offer({.plan = "other"});
        CPPUNIT_ASSERT(unknown.error().reason == Reason::PlanForbids);
        CPPUNIT_ASSERT(unknown.error().retryAfter == 0ms);
    }

    void plansAreLimitedToTheirConnections()
    {
        Plan narrow = plan(1);
        narrow.connections = 2;
        VirtualDatabase database(plans({{"narrow", narrow}}));
        for (int i = 0; i < 10; ++i)
            (void)database.offer({.plan = "narrow", .service = 5ms});
        database.dispatch();
        CPPUNIT_ASSERT_EQUAL(2U, database.scheduler.load().running);
        database.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), database.order.size());
    }

    void customersOfAPlanAreServedRoundRobin()
    {
        SchedulerOptions options;
        options.slots = 1;
        options.spare = 0;
        VirtualDatabase database(plans({{"calls", plan(1)}}), options);
        for (int i = 0; i < 30; ++i)
            (void)database.offer({.plan = "calls", .service = 5ms, .customer = "greedy"});
        (void)database.offer({.plan = "calls", .service = 5ms, .customer = "modest"});
        database.run(15ms);
        CPPUNIT_ASSERT(std::ranges::count(database.order, "calls/modest") == 1);
    }

    void planChangesApplyAtOnce()
    {
        VirtualDatabase database(plans({{"first", plan(1)}, {"second", plan(1)}}));
        const auto feed = [&] {
            saturate(database, {.plan = "first", .service = 4ms});
            saturate(database, {.plan = "second", .service = 4ms});
        };
        database.run(5s, feed);
        database.scheduler.setPlans(plans({{"first", plan(4)}, {"second", plan(1)}}));
        const double before = database.used("first");
        database.run(10s, feed);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.8, (database.used("first") - before) / 30, 0.8 * 0.05);

        database.scheduler.setPlans(plans({{"first", plan(4, 0)}, {"second", plan(1, 3)}}));
        const double beforeSecond = database.used("second");
        database.run(10s, feed);
        const double share = (database.used("second") - beforeSecond) / 30;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.9, share, 0.9 * 0.05);
    }

    void workOfARemovedPlanStillRuns()
    {
        VirtualDatabase database(plans({{"old", plan(1)}, {"kept", plan(1)}}));
        for (int i = 0; i < 10; ++i)
            (void)database.offer({.plan = "old", .service = 5ms});
        database.dispatch();
        database.scheduler.setPlans(plans({{"kept", plan(1)}}));
        CPPUNIT_ASSERT(!database.offer({.plan = "old", .service = 5ms}));
        database.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), database.order.size());
        database.scheduler.setPlans(plans({{"old", plan(2)}}));
        CPPUNIT_ASSERT(database.offer({.plan = "old", .service = 5ms}));
    }

    void cancelledWorkNeverRuns()
    {
        VirtualDatabase database(plans({{"calls", plan(1)}}));
        const Ticket cancelled = database.offer({.plan = "calls", .service = 5ms}).value();
        CPPUNIT_ASSERT(database.scheduler.cancel(cancelled) == CancelResult::Removed);
        CPPUNIT_ASSERT(database.scheduler.cancel(cancelled) == CancelResult::NotFound);
        const Ticket kept = database.offer({.plan = "calls", .service = 5ms}).value();
        CPPUNIT_ASSERT(kept != cancelled);
        CPPUNIT_ASSERT(database.scheduler.cancel(cancelled) == CancelResult::NotFound);
        database.dispatch();
        CPPUNIT_ASSERT(database.scheduler.cancel(kept) == CancelResult::Running);
        database.scheduler.abandoned(kept, database.now + 1ms);
        CPPUNIT_ASSERT(database.scheduler.cancel(kept) == CancelResult::NotFound);
        CPPUNIT_ASSERT_EQUAL(0U, database.scheduler.load().running);
    }

    void changedSlotsLimitDispatch()
    {
        SchedulerOptions options;
        options.spare = 0;
        VirtualDatabase database(plans({{"calls", plan(1)}}), options);
        for (int i = 0; i < 10; ++i)
            (void)database.offer({.plan = "calls", .service = 5ms});
        database.scheduler.setSlots(0);
        database.dispatch();
        CPPUNIT_ASSERT_EQUAL(0U, database.scheduler.load().running);
        const Admission refused = database.offer({.plan = "calls", .service = 5ms});
        CPPUNIT_ASSERT(refused.error().reason == Reason::UpstreamUnreachable);
        database.scheduler.setSlots(1);
        database.dispatch();
        CPPUNIT_ASSERT_EQUAL(1U, database.scheduler.load().running);
    }

    // 200 calls at once are 333 ms of work for the three slots, so all but the last few are
    // accepted. Once the queue has not been empty for some time, work that would wait longer than
    // 80 ms is refused.
    void burstIsAcceptedAndOverloadIsNot()
    {
        VirtualDatabase database(plans({{"calls", plan(1)}}));
        int refused = 0;
        for (int i = 0; i < 200; ++i)
            refused += database.offer({.plan = "calls", .service = 5ms}) ? 0 : 1;
        CPPUNIT_ASSERT(refused <= 10);
        database.run(2s);
        CPPUNIT_ASSERT(database.dropped.empty());

        database.run(1s, [&] { saturate(database, {.plan = "calls", .service = 5ms}); });
        const SchedulerLoad load = database.scheduler.load();
        CPPUNIT_ASSERT(load.backlog <= 3 * 85ms);
    }

    // Offers three times the capacity for 5 s. Every slot is busy throughout, and one second after
    // the overload the wait is back to normal. Dropped work is reported within 100 ms.
    void queueRecoversSoonAfterOverload()
    {
        VirtualDatabase database(plans({{"calls", plan(1)}}));
        std::mt19937 random(5);
        const auto service = [&random] {
            return Duration(3000 + random() % 4000);
        };
        const auto offerFor = [&](Duration duration, Duration gap) {
            for (Duration passed{0}; passed < duration; passed += gap) {
                (void)database.offer({.plan = "calls", .service = service(), .deadline = 2s});
                database.run(gap);
            }
        };
        offerFor(5s, 555us);
        CPPUNIT_ASSERT(database.used("calls") >= 0.95 * 15);
        offerFor(1s, 5ms);
        database.waited.clear();
        offerFor(1s, 5ms);
        CPPUNIT_ASSERT(database.waited["calls"] <= 5ms);
        CPPUNIT_ASSERT(database.longestUntilDropped <= 100ms);
    }

    // The database is ten times slower for 3 s at a load of 0.6. Its slots are kept busy with work
    // that meets its deadline, no statement is classified as long, and half a second after the
    // slowdown nothing is refused and waits are short again.
    void slowDatabaseIsKeptBusyAndRecovers()
    {
        VirtualDatabase database(plans({{"calls", plan(1)}}));
        std::mt19937 random(4);
        const auto offerFor = [&](Duration duration, unsigned slowness) {
            int refused = 0;
            for (Duration passed{0}; passed < duration; passed += 2200us) {
                const Duration service = slowness * Duration(2000 + random() % 4000);
                const VirtualDatabase::Offer offer{.plan = "calls",
                                                   .service = service,
                                                   .fingerprint = 1 + random() % 5,
                                                   .deadline = 2s};
                refused += database.offer(offer) ? 0 : 1;
                database.run(2200us);
            }
            return refused;
        };
        CPPUNIT_ASSERT_EQUAL(0, offerFor(3s, 1));
        offerFor(500ms, 10);
        const double before = database.used("calls");
        offerFor(2500ms, 10);
        CPPUNIT_ASSERT(database.used("calls") - before >= 0.95 * 3 * 2.5);
        CPPUNIT_ASSERT_EQUAL(0U, database.scheduler.load().runningLong);
        offerFor(500ms, 1);
        database.waited.clear();
        CPPUNIT_ASSERT_EQUAL(0, offerFor(1s, 1));
        CPPUNIT_ASSERT(database.waited["calls"] <= 20ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerTest);
