#include "allowancesite.h"

#include <limits>

using namespace fescuespring;
using namespace std::chrono_literals;

class AllowanceVmTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AllowanceVmTest);
    CPPUNIT_TEST(usualDemandIsServed);
    CPPUNIT_TEST(usualDemandOfOneDataCentreIsServed);
    CPPUNIT_TEST(rareCustomerIsServed);
    CPPUNIT_TEST(excessIsRefused);
    CPPUNIT_TEST(loweredLimitHoldsAtOnce);
    CPPUNIT_TEST(zeroAllowanceStartsNothing);
    CPPUNIT_TEST(unlimitedCustomerTakesNoToken);
    CPPUNIT_TEST(messagesStayFew);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against refusals below the allowance.
    void usualDemandIsServed()
    {
        for (unsigned seed = 1; seed <= 5; ++seed) {
            Site site({100, 100}, seed);
            site.demandEverywhere(100 / 1.6);
            site.run(30s);
            site.assertServed("usual demand", 0.999);
            site.assertBounded("usual demand");
        }
    }

    // Guards against a customer limited to its part of one data centre.
    void usualDemandOfOneDataCentreIsServed()
    {
        Site site({100, 100});
        site.demand("a", 100 / 1.6);
        site.run(5s);
        site.assertServed("one data centre, first 5 s", 0.9);
        site.run(30s);
        site.assertServed("one data centre", 0.995);
        site.demand("a", 300);
        site.run(30s);
        site.assertServed("one data centre, excess", 0.28);
        site.assertBounded("one data centre");
    }

    // Guards against a small customer whose burst is cut into parts of less than a token.
    void rareCustomerIsServed()
    {
        for (unsigned seed = 1; seed <= 5; ++seed) {
            Site site({2, 2}, seed);
            site.demandEverywhere(2 / 1.6);
            site.run(300s);
            site.assertServed("rare customer", site.idealShare() - 0.01);
            site.assertBounded("rare customer");
        }
    }

    // Guards against an excess that is granted, and against refusals that cost messages each or
    // waste the allowance.
    void excessIsRefused()
    {
        for (const double factor : {1.1, 3.0, 7.0}) {
            Site site({100, 100});
            site.demandEverywhere(100 / 1.6);
            site.run(10s);
            site.demandEverywhere(100 * factor);
            site.run(5s);
            site.servedShare();
            site.idealShare();
            const std::uint64_t before = site.requests();
            site.run(20s);
            std::cerr << "requests per VM and second: "
                      << double(site.requests() - before) / 20 / 18 << '\n';
            site.assertServed("excess", 0.95 * site.idealShare());
            site.assertBounded("excess");
        }
    }

    // Guards against a bucket or tokens of the earlier limit.
    void loweredLimitHoldsAtOnce()
    {
        Site site({200, 200});
        site.demandEverywhere(600);
        site.run(10s);
        site.setAllowance({10, 10});
        site.run(250ms);
        site.granted.clear();
        site.run(20s);
        site.assertBounded("lowered limit");
        CPPUNIT_ASSERT(site.granted.size() > 150);
    }

    // Guards against the first tokens of buckets for a customer that may start nothing.
    void zeroAllowanceStartsNothing()
    {
        Site site({0, 0});
        site.demandEverywhere(100);
        site.run(10s);
        site.isLinked = [](const auto &, const auto &) {
            return false;
        };
        site.run(10s);
        CPPUNIT_ASSERT(site.granted.empty());
    }

    // Guards against messages for customers without a limit.
    void unlimitedCustomerTakesNoToken()
    {
        const double none = std::numeric_limits<double>::infinity();
        Site site({none, none});
        site.demandEverywhere(1000);
        site.run(5s);
        CPPUNIT_ASSERT_EQUAL(1.0, site.servedShare());
        for (const auto &[id, vm] : site.vms)
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), vm->state->statistics().tokensAsked);
        site.setAllowance({10, 10});
        site.run(1s);
        site.granted.clear();
        site.run(10s);
        site.assertBounded("limited later");
    }

    // Guards against messages that small VMs cannot afford, and against refusals because many VMs
    // share a small allowance: 88 VMs in four data centres, with the
    // largest, a middle and the median customer of the expected mix at their usual demand.
    void messagesStayFew()
    {
        for (const double demand : {0.0, 5.0, 50.0, 425.0}) {
            AllowanceNetwork network({std::max(1.0, demand * 1.6), std::max(1.0, demand)});
            for (const char *dataCentre : {"a", "b", "c", "d"}) {
                network.add(dataCentre, 22);
                network.demand(dataCentre, demand / 4);
            }
            network.run(8s);
            const std::uint64_t before = network.requests();
            network.granted.clear();
            network.servedShare();
            network.idealShare();
            network.run(60s);
            const double requests = double(network.requests() - before) / 60;
            const double served = network.servedShare();
            std::cerr << "demand " << demand << "/s: requests " << requests / 88
                      << " per VM and second, served " << served << '\n';
            CPPUNIT_ASSERT(served >= network.idealShare() - 0.02);
            // Each pair of VMs of a data centre exchanges a request within 800 ms.
            CPPUNIT_ASSERT(requests <= 88 * 21 / 1.6 + demand * 1.1 + 10);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AllowanceVmTest);
