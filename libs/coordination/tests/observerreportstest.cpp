#include "coordination/observerreports.h"

#include "relay/ownership.h"

#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <string>
#include <vector>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

// Time in which the reports of all VMs that reach the store have arrived: detection of an
// unresponsive database takes 0.6 s of the 2.5 s from a cut to the first write at the new primary.
constexpr Duration reportingTime = 500ms;

std::vector<VmRecord> fleet(std::size_t count, std::size_t dataCentres)
{
    std::vector<VmRecord> vms;
    for (std::size_t i = 0; i < count; ++i) {
        vms.push_back({.vm = VmId("vm-" + std::to_string(i)),
                       .dataCentre = DataCentreId("dc-" + std::to_string(i % dataCentres))});
    }
    return vms;
}

// Counts the votes of the observers of a database. A VM that is cut off from the store reports
// nothing; the others report or confirm, depending on whether they reach the database.
ObserverReports votes(const std::vector<VmRecord> &vms, const PlacedDatabase &database,
                      std::size_t owners, const std::function<bool(const VmRecord &)> &reachesStore,
                      const std::function<bool(const VmRecord &)> &reachesDatabase)
{
    const OwnerPlan plan(vms);
    ObserverReports reports{.observers = plan.observerCount(owners),
                            .sinceFirstReport = reportingTime};
    for (const VmRecord &vm : vms) {
        const bool isObserver = plan.rank(database, reports.observers, vm.vm) < reports.observers;
        if (!isObserver || !reachesStore(vm))
            continue;
        ++(reachesDatabase(vm) ? reports.confirming : reports.unresponsive);
    }
    return reports;
}

// Calls visit for each small fleet, number of owners, and one of several databases.
void forEachPlacement(
        const std::function<void(const std::vector<VmRecord> &, std::size_t dataCentres,
                                 std::size_t owners, const DatabaseId &database)> &visit)
{
    constexpr int databases = 12;
    for (std::size_t count = 6; count <= 9; ++count) {
        for (std::size_t dataCentres = 2; dataCentres <= 5; ++dataCentres) {
            for (std::size_t owners = 1; owners <= 5; ++owners) {
                for (int i = 0; i < databases; ++i)
                    visit(fleet(count, dataCentres), dataCentres, owners,
                          DatabaseId("i-" + std::to_string(i)));
            }
        }
    }
}

} // namespace

// Pattern: a data centre is cut off from the others and from the store, together with a primary and
// none, some or all of the VMs that own connections to it.
class ObserverReportsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ObserverReportsTest);
    CPPUNIT_TEST(majorityDecidesAtOnce);
    CPPUNIT_TEST(singleReportWaitsForConfirmations);
    CPPUNIT_TEST(primaryInACutDataCentreIsLost);
    CPPUNIT_TEST(primaryOutsideACutDataCentreIsKept);
    CPPUNIT_TEST(primaryInACutDataCentreIsLostAfterARollingStop);
    CPPUNIT_TEST(primaryThatOneVmDoesNotReachIsKept);
    CPPUNIT_TEST_SUITE_END();

public:
    void majorityDecidesAtOnce()
    {
        CPPUNIT_ASSERT(isLost({.observers = 3, .unresponsive = 2}));
        CPPUNIT_ASSERT(!isLost({.observers = 4, .unresponsive = 2}));
        CPPUNIT_ASSERT(!isLost({.observers = 3}));
    }

    void singleReportWaitsForConfirmations()
    {
        ObserverReports reports{.observers = 3, .unresponsive = 1, .sinceFirstReport = 100ms};
        CPPUNIT_ASSERT(!isLost(reports));
        reports.sinceFirstReport = reportingTime;
        CPPUNIT_ASSERT(isLost(reports));
        reports.confirming = 1;
        CPPUNIT_ASSERT(!isLost(reports));
    }

    void primaryInACutDataCentreIsLost()
    {
        forEachPlacement([](const auto &vms, std::size_t dataCentres, std::size_t owners,
                            const DatabaseId &database) {
            for (std::size_t i = 0; i < dataCentres; ++i) {
                const DataCentreId cut("dc-" + std::to_string(i));
                const auto isOutside = [&cut](const VmRecord &vm) {
                    return vm.dataCentre != cut;
                };
                const auto isInside = [&cut](const VmRecord &vm) {
                    return vm.dataCentre == cut;
                };
                CPPUNIT_ASSERT(isLost(votes(vms, {database, cut}, owners, isOutside, isInside)));
            }
        });
    }

    void primaryOutsideACutDataCentreIsKept()
    {
        forEachPlacement([](const auto &vms, std::size_t dataCentres, std::size_t owners,
                            const DatabaseId &database) {
            for (std::size_t i = 0; i < dataCentres; ++i) {
                const DataCentreId cut("dc-" + std::to_string(i));
                const auto isOutside = [&cut](const VmRecord &vm) {
                    return vm.dataCentre != cut;
                };
                CPPUNIT_ASSERT(!isLost(votes(vms, {database, {}}, owners, isOutside, isOutside)));
            }
        });
    }

    // Stopped VMs are no longer listed; each one restarted a second ago observes nothing yet.
    void primaryInACutDataCentreIsLostAfterARollingStop()
    {
        forEachPlacement([](const auto &vms, std::size_t dataCentres, std::size_t owners,
                            const DatabaseId &database) {
            for (std::size_t i = 0; i < dataCentres; ++i) {
                const DataCentreId cut("dc-" + std::to_string(i));
                for (const VmRecord &restarted : vms) {
                    const auto reports = votes(
                            vms, {database, cut}, owners,
                            [&](const VmRecord &vm) {
                                return vm.dataCentre != cut && vm.vm != restarted.vm;
                            },
                            [&](const VmRecord &vm) { return vm.dataCentre == cut; });
                    CPPUNIT_ASSERT(isLost(reports));
                }
            }
        });
    }

    void primaryThatOneVmDoesNotReachIsKept()
    {
        forEachPlacement(
                [](const auto &vms, std::size_t, std::size_t owners, const DatabaseId &database) {
                    for (const VmRecord &partitioned : vms) {
                        const auto reports = votes(
                                vms, {database, {}}, owners, [](const VmRecord &) { return true; },
                                [&](const VmRecord &vm) { return vm.vm != partitioned.vm; });
                        CPPUNIT_ASSERT(!isLost(reports));
                    }
                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObserverReportsTest);
