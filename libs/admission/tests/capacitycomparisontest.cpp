#include "serverload.h"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

constexpr unsigned seeds = 10;
constexpr int owners = 5;

// Work of one owner that takes this part of the database's five slots, all owners together.
ServerLoad::Work strict(double part)
{
    return {"strict", 7ms, part * 5 / 0.007 / owners, 250ms, 0};
}

ServerLoad::Work stale(double part)
{
    return {"stale", 40ms, part * 5 / 0.040 / owners, 600ms, 1};
}

struct Scenario
{
    std::string name;
    std::vector<ServerLoad::Work> works;

    // Factors on the time of statements and on their number, for 10 s.
    double slowness = 1;
    double burst = 1;
};

// Means over all seeds.
struct Result
{
    double inTime = 0;
    double worstSecond = 0;
    double lowestSecond = 1;
    double held = 0;
};

void setBurst(ServerLoad &server, double factor)
{
    for (ServerLoad::Owner &owner : server.owners()) {
        for (ServerLoad::Work &work : owner.works)
            work.perSecond *= factor;
    }
}

Result run(const Scenario &scenario, bool isLearned)
{
    Result result;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        ServerLoad server(seed, 5);
        for (int i = 0; i < owners; ++i) {
            server.addOwner({.minimum = 1.5, .maximum = 11, .isLearned = isLearned},
                            scenario.works);
        }
        server.run(10s);
        const Instant from = server.now;
        server.run(5s);
        server.slowness = scenario.slowness;
        setBurst(server, scenario.burst);
        server.run(10s);
        server.slowness = 1;
        setBurst(server, 1 / scenario.burst);
        server.run(11s);
        const Instant to = server.now - 1s;
        const double worst = server.worstSecond(from, to);
        result.inTime += server.fractionInTime(from, to) / seeds;
        result.worstSecond += worst / seeds;
        result.lowestSecond = std::min(result.lowestSecond, worst);
        result.held += server.fractionHeldForNothing() / seeds;
    }
    std::cout << '\n'
              << scenario.name << (isLearned ? ", learned" : ", fixed") << ": in time "
              << result.inTime << ", worst second " << result.worstSecond << " ("
              << result.lowestSecond << "), held for nothing " << result.held << std::flush;
    return result;
}

} // namespace

class CapacityComparisonTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CapacityComparisonTest);
    CPPUNIT_TEST(learnedHoldsLessForNothing);
    CPPUNIT_TEST(learnedCostsLittleWithoutFault);
    CPPUNIT_TEST_SUITE_END();

public:
    // Load: a database at 0.7 of its capacity runs at a third of its speed. Guards against refusals
    // that cost more statements than they save from being held for nothing.
    void learnedHoldsLessForNothing()
    {
        const Scenario scenarios[] = {
                {"strict 0.7, a third of the speed", {strict(0.7)}, 3},
                {"stale 0.7, a third of the speed", {stale(0.7)}, 3},
                {"mixed 0.7, a third of the speed", {strict(0.3), stale(0.4)}, 3}};
        for (const Scenario &scenario : scenarios) {
            const Result fixed = run(scenario, false);
            const Result learned = run(scenario, true);
            CPPUNIT_ASSERT_MESSAGE(scenario.name, learned.held < fixed.held / 10);
            CPPUNIT_ASSERT_MESSAGE(scenario.name,
                                   fixed.inTime - learned.inTime < fixed.held - learned.held);
        }
    }

    // Load: a steady load of 0.8, and twice a load of 0.7.
    void learnedCostsLittleWithoutFault()
    {
        const Scenario scenarios[] = {
                {"mixed 0.8, steady", {strict(0.3), stale(0.5)}},
                {"mixed 0.7, twice the load", {strict(0.3), stale(0.4)}, 1, 2}};
        for (const Scenario &scenario : scenarios) {
            const Result fixed = run(scenario, false);
            const Result learned = run(scenario, true);
            CPPUNIT_ASSERT_MESSAGE(scenario.name, learned.inTime > fixed.inTime - 0.01);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CapacityComparisonTest);
