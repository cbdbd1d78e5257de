#include "relay/ownership.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <set>

using namespace fescuespring;

namespace {

std::vector<VmRecord> vms(std::size_t dataCentres, std::size_t each)
{
    std::vector<VmRecord> all;
    for (std::size_t dataCentre = 0; dataCentre < dataCentres; ++dataCentre) {
        for (std::size_t i = 0; i < each; ++i) {
            all.push_back({.vm = VmId("vm-" + std::to_string(dataCentre) + '-' + std::to_string(i)),
                           .dataCentre = DataCentreId("dc-" + std::to_string(dataCentre))});
        }
    }
    return all;
}

std::set<VmId> names(const std::vector<VmRecord> &records)
{
    std::set<VmId> names;
    for (const VmRecord &record : records)
        names.insert(record.vm);
    return names;
}

} // namespace

class OwnershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OwnershipTest);
    CPPUNIT_TEST(allOwnersStayWithinTheConnectionLimit);
    CPPUNIT_TEST(fewConnectionsMeanFewOwners);
    CPPUNIT_TEST(manyDatabasesMeanFewOwners);
    CPPUNIT_TEST(fewConnectionsAreKeptOpen);
    CPPUNIT_TEST(allVmsComputeTheSameOwners);
    CPPUNIT_TEST(ownersAreSpreadOverDataCentres);
    CPPUNIT_TEST(ownDataCentreIsTriedFirst);
    CPPUNIT_TEST(databaseHasAnOwnerInItsDataCentre);
    CPPUNIT_TEST(lossOfAVmMovesOnlyItsOwnShare);
    CPPUNIT_TEST_SUITE_END();

public:
    void allOwnersStayWithinTheConnectionLimit()
    {
        for (std::uint32_t connections = 6; connections < 200; connections += 5) {
            for (std::size_t count = 1; count < 400; count += 7) {
                const ConnectionShares shares = shareOut({connections, 3, count, connections});
                CPPUNIT_ASSERT(shares.owners >= 1 && shares.owners <= count);
                CPPUNIT_ASSERT(shares.owners * shares.maximum <= connections);
                CPPUNIT_ASSERT(shares.kept <= shares.maximum && shares.kept >= 1);
                CPPUNIT_ASSERT(shares.minimumStatements >= 1);
            }
        }
    }

    void fewConnectionsMeanFewOwners()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, shareOut({23, 3, 9}).owners);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, shareOut({38, 3, 6}).owners);
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, shareOut({46, 4, 70}).owners);
    }

    // Pattern: a few hundred VMs and thousands of databases with little work each.
    void manyDatabasesMeanFewOwners()
    {
        const std::size_t vms = 300;
        const std::size_t databases = 3750;
        const ConnectionShares shares = shareOut({161, 4, vms, databases});
        CPPUNIT_ASSERT(shares.owners * databases / vms <= 64);
        // A majority of the owners remains after the loss of two.
        CPPUNIT_ASSERT((shares.owners - 2) * 2 > shares.owners);
        CPPUNIT_ASSERT_EQUAL(std::size_t{25}, shareOut({161, 4, 74, 24}).owners);
    }

    void fewConnectionsAreKeptOpen()
    {
        const ConnectionShares shares = shareOut({161, 4, 300, 3750});
        CPPUNIT_ASSERT(shares.kept <= 3);
        CPPUNIT_ASSERT(shares.maximum > 6);
    }

    void allVmsComputeTheSameOwners()
    {
        std::vector<VmRecord> all = vms(3, 10);
        const DatabaseId database("i-1");
        const auto first = OwnerPlan(all).owners({database, {}}, 7, all[0].vm, all[0].dataCentre);
        std::reverse(all.begin(), all.end());
        const auto second = OwnerPlan(all).owners({database, {}}, 7, all[0].vm, all[0].dataCentre);
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, first.size());
        CPPUNIT_ASSERT(names(first) == names(second));
    }

    void ownersAreSpreadOverDataCentres()
    {
        const auto owners =
                OwnerPlan(vms(3, 10))
                        .owners({DatabaseId("i-1"), {}}, 7, VmId("x"), DataCentreId("dc-1"));
        std::map<DataCentreId, int> each;
        for (const VmRecord &record : owners)
            ++each[record.dataCentre];
        for (const auto &[dataCentre, count] : each)
            CPPUNIT_ASSERT(count == 2 || count == 3);
    }

    void ownDataCentreIsTriedFirst()
    {
        const auto owners =
                OwnerPlan(vms(3, 10))
                        .owners({DatabaseId("i-1"), {}}, 7, VmId("x"), DataCentreId("dc-1"));
        CPPUNIT_ASSERT(owners.front().dataCentre == DataCentreId("dc-1"));
        CPPUNIT_ASSERT(owners.back().dataCentre != DataCentreId("dc-1"));
    }

    // Pattern: few connections, so a database has two owners; then a data centre is cut off.
    void databaseHasAnOwnerInItsDataCentre()
    {
        const OwnerPlan plan(vms(3, 3));
        std::map<DataCentreId, int> others;
        for (int i = 0; i < 60; ++i) {
            const DataCentreId home("dc-" + std::to_string(i % 3));
            const auto owners =
                    plan.owners({DatabaseId("i-" + std::to_string(i)), home}, 2, VmId("x"), home);
            CPPUNIT_ASSERT(owners.front().dataCentre == home);
            CPPUNIT_ASSERT(owners.back().dataCentre != home);
            ++others[owners.back().dataCentre];
        }
        for (const auto &[dataCentre, count] : others)
            CPPUNIT_ASSERT(count >= 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, others.size());
    }

    void lossOfAVmMovesOnlyItsOwnShare()
    {
        std::vector<VmRecord> all = vms(3, 10);
        const VmId lost = all[4].vm;
        std::vector<VmRecord> remaining = all;
        std::erase_if(remaining, [&lost](const VmRecord &record) { return record.vm == lost; });
        for (int i = 0; i < 50; ++i) {
            const DatabaseId database("i-" + std::to_string(i));
            const auto before = names(OwnerPlan(all).owners({database, {}}, 6, VmId("x"), {}));
            const auto after = names(OwnerPlan(remaining).owners({database, {}}, 6, VmId("x"), {}));
            if (!before.contains(lost))
                CPPUNIT_ASSERT(before == after);
            std::vector<VmId> kept;
            std::set_intersection(before.begin(), before.end(), after.begin(), after.end(),
                                  std::back_inserter(kept));
            CPPUNIT_ASSERT(kept.size() >= 5);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnershipTest);
