#include "allowancesite.h"

using namespace fescuespring;
using namespace std::chrono_literals;

class AllowanceFailuresTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AllowanceFailuresTest);
    CPPUNIT_TEST(movedDemandIsBounded);
    CPPUNIT_TEST(cutDataCentreIsBounded);
    CPPUNIT_TEST(splitDataCentreIsBounded);
    CPPUNIT_TEST(killedCounterIsReplaced);
    CPPUNIT_TEST(restartOfAllIsBoundedAndShort);
    CPPUNIT_TEST(killedLenderIsBounded);
    CPPUNIT_TEST(isolatedVmsAreBounded);
    CPPUNIT_TEST(allIsolatedVmsAreBounded);
    CPPUNIT_TEST(addedVmsAreBounded);
    CPPUNIT_TEST(pausedCounterIsBounded);
    CPPUNIT_TEST(lostMessagesAreBounded);
    CPPUNIT_TEST(expiredListChangesNothing);
    CPPUNIT_TEST(counterThatSomeReachIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against loans that are in use at two places.
    void movedDemandIsBounded()
    {
        Site site({100, 100});
        for (int turn = 0; turn < 6; ++turn) {
            for (const char *dataCentre : {"a", "b", "c"})
                site.demand(dataCentre, 0);
            site.demand(turn % 2 == 0 ? "a" : "b", 300);
            site.run(7s);
        }
        site.assertBounded("moved demand");
    }

    // Guards against a data centre that goes on with a loan that its lender takes back.
    void cutDataCentreIsBounded()
    {
        for (const Case &one : cases) {
            Site site(one.allowance);
            site.demand("a", one.demandBefore);
            site.run(20s);
            site.isLinked = [](const auto &from, const auto &to) {
                return isIn(from, "a") == isIn(to, "a");
            };
            site.demandEverywhere(one.allowance.operationsPerSecond * 9);
            site.run(20s);
            site.assertBounded("cut data centre");
            site.isLinked = [](const auto &, const auto &) {
                return true;
            };
            site.run(20s);
            site.assertBounded("cut data centre, healed");
        }
    }

    // Guards against a counter and its deputy that both grant the whole part, as each serves half
    // of the VMs.
    void splitDataCentreIsBounded()
    {
        for (const Case &one : cases) {
            Site site(one.allowance);
            site.demandEverywhere(one.demandBefore);
            site.run(20s);
            const VmId counter = site.counter("a");
            const VmId deputy = site.counter("a", 1);
            const auto isWithDeputy = [counter, deputy](const AllowanceMember &member) {
                return isIn(member, "a") && member.vm != counter
                       && (member.vm == deputy || member.vm.value().back() % 2 == 0);
            };
            site.isLinked = [isWithDeputy](const auto &from, const auto &to) {
                return isWithDeputy(from) == isWithDeputy(to);
            };
            site.demandEverywhere(one.allowance.operationsPerSecond * 9);
            site.run(20s);
            site.assertBounded("split data centre");
        }
    }

    // Guards against a customer without service, or with a second burst, once its counter is lost.
    void killedCounterIsReplaced()
    {
        Site site({100, 100});
        site.demandEverywhere(100 / 1.6);
        site.run(10s);
        site.servedShare();
        site.kill(site.counter("a"));
        site.run(2s);
        site.assertServed("killed counter, first 2 s", 0.9);
        site.run(20s);
        site.assertServed("killed counter", 0.99);
        site.demandEverywhere(300);
        site.run(10s);
        site.kill(site.counter("b"));
        site.run(10s);
        site.assertBounded("killed counter");
    }

    // Guards against VMs that refuse everything for seconds after all of them lost power, and
    // against a second burst.
    void restartOfAllIsBoundedAndShort()
    {
        Site site({100, 100});
        site.demandEverywhere(100 / 1.6);
        site.run(10s);
        site.restartAll();
        site.run(500ms);
        site.servedShare();
        site.run(2s);
        site.assertServed("restart of all, from 0.5 to 2.5 s", 0.9);
        site.demandEverywhere(300);
        site.run(10s);
        site.restartAll();
        site.run(10s);
        site.assertBounded("restart of all");
    }

    // Guards against a deputy that grants what the counter had lent.
    void killedLenderIsBounded()
    {
        for (const Case &one : cases) {
            Site site(one.allowance);
            site.demand("a", one.demandBefore);
            site.run(20s);
            site.kill(site.counter("b"));
            site.kill(site.counter("c"));
            site.demandEverywhere(one.allowance.operationsPerSecond * 9);
            site.run(20s);
            site.assertBounded("killed lender");
        }
    }

    // Guards against isolated VMs that together grant more than their parts, and against one that
    // counts and grants its whole part to its own callers.
    void isolatedVmsAreBounded()
    {
        for (const Case &one : cases) {
            Site site(one.allowance);
            site.demandEverywhere(one.demandBefore);
            site.run(20s);
            const VmId counter = site.counter("a");
            site.isLinked = [counter](const auto &from, const auto &to) {
                return from.vm != counter && to.vm != counter;
            };
            site.demandEverywhere(one.allowance.operationsPerSecond * 9);
            site.run(20s);
            site.assertBounded("isolated counter");
        }
    }

    // The same where all VMs are isolated at once.
    void allIsolatedVmsAreBounded()
    {
        std::vector<Case> all = cases;
        all.push_back({{1, 1}, 0});
        for (const Case &one : all) {
            Site site(one.allowance);
            site.demandEverywhere(one.demandBefore);
            site.run(20s);
            site.isLinked = [](const auto &, const auto &) {
                return false;
            };
            site.demandEverywhere(one.allowance.operationsPerSecond * 9);
            site.run(20s);
            site.assertBounded("all isolated");
        }
    }

    // Guards against a new counter that grants at the same time as the one before it.
    void addedVmsAreBounded()
    {
        Site site({100, 100});
        site.demandEverywhere(300);
        site.run(10s);
        for (int i = 0; i < 4; ++i) {
            for (const char *dataCentre : {"a", "b", "c"})
                site.add(dataCentre, 3);
            site.run(2s);
        }
        site.run(10s);
        site.assertBounded("added VMs");
        site.add("d", 6);
        site.demand("d", 100);
        site.run(10s);
        site.assertBounded("added data centre");
        site.demandEverywhere(100 / 2.0);
        site.demand("d", 5);
        site.run(10s);
        site.servedShare();
        site.run(10s);
        site.assertServed("after VMs were added", 0.99);
    }

    // Guards against tokens that were granted before a pause and are used after it.
    void pausedCounterIsBounded()
    {
        for (const Case &one : cases) {
            Site site(one.allowance);
            site.demandEverywhere(one.demandBefore);
            site.run(10s);
            for (int i = 0; i < 4; ++i) {
                const VmId counter = site.counter("a");
                const VmId other = site.counter("b", 1);
                site.pause(counter);
                site.pause(other);
                site.demandEverywhere(one.allowance.operationsPerSecond * 9);
                site.run(4s);
                site.resume(counter);
                site.resume(other);
                site.run(4s);
            }
            site.assertBounded("paused counter");
        }
    }

    // Guards against tokens and loans that a lost answer multiplies.
    void lostMessagesAreBounded()
    {
        for (unsigned seed = 1; seed <= 20; ++seed) {
            Site site({100, 100}, seed);
            site.loss = seed % 2 == 0 ? 0.02 : 0.2;
            site.demand("a", 200);
            site.run(20s);
            site.demand("b", 200);
            site.run(20s);
            site.assertBounded("lost messages");
        }
    }

    // Guards against larger parts, and against refusals, while the store cannot be reached and the
    // records of all VMs expire one after the other.
    void expiredListChangesNothing()
    {
        Site site({100, 100});
        site.demandEverywhere(100 / 1.6);
        site.run(10s);
        site.servedShare();
        std::vector<AllowanceMember> members;
        for (const auto &[id, vm] : site.vms)
            members.push_back(vm->member);
        while (!members.empty()) {
            members.pop_back();
            for (const auto &[id, vm] : site.vms)
                vm->state->setVms(members);
            site.run(500ms);
        }
        site.run(700s);
        site.assertServed("expired list", 0.99);
        site.demandEverywhere(900);
        site.run(20s);
        site.assertBounded("expired list");
    }

    // Guards against a deputy that grants the parts of VMs that the counter serves: half of the
    // VMs, with the deputy, cannot reach the counter, but all reach the deputy.
    void counterThatSomeReachIsBounded()
    {
        for (const Case &one : cases) {
            Site site(one.allowance);
            site.demandEverywhere(one.demandBefore);
            site.run(20s);
            std::set<VmId> cut;
            for (const char *dataCentre : {"a", "b", "c"}) {
                cut.insert(site.counter(dataCentre, 1));
                for (const auto &[id, vm] : site.vms) {
                    if (isIn(vm->member, dataCentre) && id != site.counter(dataCentre)
                        && cut.size() % 3 != 0)
                        cut.insert(id);
                }
            }
            std::set<VmId> counters;
            for (const char *dataCentre : {"a", "b", "c"})
                counters.insert(site.counter(dataCentre));
            site.isLinked = [&](const auto &from, const auto &to) {
                return !(counters.contains(from.vm) && cut.contains(to.vm))
                       && !(cut.contains(from.vm) && counters.contains(to.vm));
            };
            site.demandEverywhere(one.allowance.operationsPerSecond * 9);
            site.run(20s);
            site.assertBounded("counter that some reach");
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AllowanceFailuresTest);
