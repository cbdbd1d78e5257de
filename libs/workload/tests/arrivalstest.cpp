#include "workload/arrivals.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

// Five customers of 1000 sessions each.
constexpr std::size_t sessionsOfAll = 5000;

} // namespace

class ArrivalsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ArrivalsTest);
    CPPUNIT_TEST(sameSeedGivesTheSamePlan);
    CPPUNIT_TEST(rateFollowsTheSteps);
    CPPUNIT_TEST(mixFollowsTheShares);
    CPPUNIT_TEST(sessionsRoamWithTheConfiguredProbability);
    CPPUNIT_TEST(noSessionIsSharedByCustomers);
    CPPUNIT_TEST(writesToOwnKeysAreNumbered);
    CPPUNIT_TEST(everyCustomerHasAKnownPlan);
    CPPUNIT_TEST(capacityIsLimitedByPrimarySlotsOrAllSlots);
    CPPUNIT_TEST_SUITE_END();

public:
    void sameSeedGivesTheSamePlan()
    {
        const auto first = planOf(7);
        const auto second = planOf(7);
        const auto other = planOf(8);
        CPPUNIT_ASSERT_EQUAL(first.size(), second.size());
        for (std::size_t i = 0; i < first.size(); ++i) {
            CPPUNIT_ASSERT(first[i].at == second[i].at);
            CPPUNIT_ASSERT(first[i].request.statements == second[i].request.statements);
        }
        CPPUNIT_ASSERT(first[0].at != other[0].at);
    }

    void rateFollowsTheSteps()
    {
        const auto plan = planArrivals(
                dvorakLoad(),
                {.seed = 3, .length = 30s, .steps = {{0s, 100}, {10s, 1000}, {20s, 0}}});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1000, countBetween(plan, 0s, 10s), 100);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10000, countBetween(plan, 10s, 20s), 400);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, countBetween(plan, 20s, 30s), 0);
        const auto byTime = [](const Arrival &left, const Arrival &right) {
            return left.at < right.at;
        };
        CPPUNIT_ASSERT(std::is_sorted(plan.begin(), plan.end(), byTime));
    }

    void mixFollowsTheShares()
    {
        const LoadWorkload workload = herdviewLoad();
        const auto plan = planOf(5);
        double shares = 0;
        for (const RequestClass &requestClass : workload.classes)
            shares += requestClass.share;
        for (std::size_t i = 0; i < workload.classes.size(); ++i) {
            const auto count = std::count_if(plan.begin(), plan.end(), [i](const Arrival &arrival) {
                return arrival.requestClass == i;
            });
            const double expected = workload.classes[i].share / shares;
            const double share = static_cast<double>(count) / static_cast<double>(plan.size());
            CPPUNIT_ASSERT_DOUBLES_EQUAL(expected, share, 0.02);
        }
    }

    void sessionsRoamWithTheConfiguredProbability()
    {
        ArrivalOptions options{.length = 5s, .steps = {{0s, 1000}}, .entries = 3, .roaming = 0};
        CPPUNIT_ASSERT_EQUAL(0, entryChanges(planArrivals(herdviewLoad(), options)));
        options.roaming = 1;
        CPPUNIT_ASSERT(entryChanges(planArrivals(herdviewLoad(), options)) > 1000);
    }

    void noSessionIsSharedByCustomers()
    {
        std::map<std::uint32_t, CustomerId> owners;
        for (const Arrival &arrival : planOf(4)) {
            const auto owner = owners.try_emplace(arrival.session, arrival.request.customer).first;
            CPPUNIT_ASSERT(owner->second == arrival.request.customer);
        }
        CPPUNIT_ASSERT(owners.size() > 1000);
    }

    void writesToOwnKeysAreNumbered()
    {
        LoadWorkload workload = herdviewLoad();
        for (RequestClass &requestClass : workload.classes)
            requestClass.ownKey = true;
        std::vector<std::uint64_t> written(sessionsOfAll);
        for (const Arrival &arrival :
             planArrivals(workload, {.length = 5s, .steps = {{0s, 1000}}})) {
            if (arrival.request.access == Access::Write)
                ++written[arrival.session];
            CPPUNIT_ASSERT_EQUAL(written[arrival.session], arrival.ownSequence);
        }
    }

    void everyCustomerHasAKnownPlan()
    {
        for (const LoadWorkload &workload : {herdviewLoad(), dvorakLoad()}) {
            CPPUNIT_ASSERT_EQUAL(workload.classes.size(), workload.lists.customers.size());
            for (const auto &[customer, plan] : workload.lists.customers)
                CPPUNIT_ASSERT(workload.lists.plans.contains(plan));
        }
    }

    void capacityIsLimitedByPrimarySlotsOrAllSlots()
    {
        LoadWorkload workload = herdviewLoad();
        workload.classes.resize(1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(13500, slotCapacity(workload), 1);
        workload.classes[0].access = Access::Write;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4500, slotCapacity(workload), 1);
    }

private:
    static std::vector<Arrival> planOf(std::uint64_t seed)
    {
        return planArrivals(herdviewLoad(),
                            {.seed = seed, .length = 10s, .steps = {{0s, 1000}}, .entries = 3});
    }

    static double countBetween(const std::vector<Arrival> &plan, Duration from, Duration to)
    {
        const auto count =
                std::count_if(plan.begin(), plan.end(), [from, to](const Arrival &arrival) {
                    return arrival.at >= from && arrival.at < to;
                });
        return static_cast<double>(count);
    }

    static int entryChanges(const std::vector<Arrival> &plan)
    {
        std::vector<std::optional<std::uint32_t>> last(sessionsOfAll);
        int changes = 0;
        for (const Arrival &arrival : plan) {
            auto &entry = last[arrival.session];
            changes += entry && *entry != arrival.entry ? 1 : 0;
            entry = arrival.entry;
        }
        return changes;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ArrivalsTest);
