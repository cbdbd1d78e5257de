#include "relay/customerowners.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <set>

using namespace fescuespring;

namespace {

const DatabaseId database("i-1");

std::vector<VmRecord> owners(int count)
{
    std::vector<VmRecord> records;
    records.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        records.push_back({.vm = VmId("vm-" + std::to_string(i)),
                           .dataCentre = DataCentreId("dc-" + std::to_string(i % 3)),
                           .peers = {},
                           .relay = {}});
    return records;
}

CustomerId customer(int i)
{
    return CustomerId("customer-" + std::to_string(i));
}

std::vector<VmId> names(const std::vector<const VmRecord *> &order)
{
    std::vector<VmId> names;
    names.reserve(order.size());
    for (const VmRecord *record : order)
        names.push_back(record->vm);
    return names;
}

} // namespace

class CustomerOwnersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CustomerOwnersTest);
    CPPUNIT_TEST(statementsOfACustomerMeetAtOneOwner);
    CPPUNIT_TEST(customersAreSpreadOverOwners);
    CPPUNIT_TEST(lossOfAnOwnerMovesOnlyItsCustomers);
    CPPUNIT_TEST(largeCustomerUsesAsManyOwnersAsItFills);
    CPPUNIT_TEST(ownerOfALargeCustomerUsesItself);
    CPPUNIT_TEST(sharesFollowTheAllowances);
    CPPUNIT_TEST_SUITE_END();

public:
    // Failure: each VM uses another owner, and each opens connections for the customer.
    void statementsOfACustomerMeetAtOneOwner()
    {
        std::vector<VmRecord> reversed = owners(5);
        std::reverse(reversed.begin(), reversed.end());
        const CustomerOwners first(database, owners(5));
        const CustomerOwners second(database, reversed);
        for (int i = 0; i < 20; ++i) {
            CPPUNIT_ASSERT(names(first.order(customer(i), 0.1, VmId("vm-1")))
                           == names(second.order(customer(i), 0.1, VmId("other"))));
        }
    }

    void customersAreSpreadOverOwners()
    {
        std::map<VmId, int> each;
        for (int i = 0; i < 500; ++i)
            ++each[CustomerOwners(database, owners(5)).order(customer(i), 0, VmId("x"))[0]->vm];
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, each.size());
        for (const auto &[vm, count] : each)
            CPPUNIT_ASSERT(count > 70 && count < 130);
    }

    // Failure: with one VM lost, the connections of all customers are opened again elsewhere.
    void lossOfAnOwnerMovesOnlyItsCustomers()
    {
        std::vector<VmRecord> remaining = owners(5);
        remaining.erase(remaining.begin() + 2);
        const CustomerOwners before(database, owners(5));
        const CustomerOwners after(database, remaining);
        for (int i = 0; i < 100; ++i) {
            auto expected = names(before.order(customer(i), 0, VmId("x")));
            std::erase(expected, VmId("vm-2"));
            CPPUNIT_ASSERT(expected == names(after.order(customer(i), 0, VmId("x"))));
        }
    }

    // Failure: a quarter of all work meets at an owner that may use a fifth of the database.
    void largeCustomerUsesAsManyOwnersAsItFills()
    {
        const CustomerOwners all(database, owners(5));
        std::map<VmId, int> each;
        for (int i = 0; i < 200; ++i)
            ++each[all.order(customer(1), 0.25, VmId("asking-" + std::to_string(i)))[0]->vm];
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, each.size());
        for (const auto &[vm, count] : each)
            CPPUNIT_ASSERT(count > 60);
        std::set<VmId> allNames;
        for (const VmId &vm : names(all.order(customer(1), 0.25, VmId("asking-1"))))
            allNames.insert(vm);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, allNames.size());
    }

    void ownerOfALargeCustomerUsesItself()
    {
        const CustomerOwners all(database, owners(5));
        const std::vector<VmId> order = names(all.order(customer(1), 0.25, VmId("x")));
        for (const VmId &vm : {order[0], order[1]})
            CPPUNIT_ASSERT(all.order(customer(1), 0.25, vm)[0]->vm == vm);
        CPPUNIT_ASSERT(all.order(customer(1), 0.25, order[2])[0]->vm != order[2]);
    }

    void sharesFollowTheAllowances()
    {
        const CustomerShares shares(
                std::map<CustomerId, double>{{customer(1), 30}, {customer(2), 10}});
        CPPUNIT_ASSERT_EQUAL(0.75, shares.share(customer(1)));
        CPPUNIT_ASSERT_EQUAL(0.25, shares.share(customer(2)));
        CPPUNIT_ASSERT_EQUAL(0.0, shares.share(customer(3)));
        CPPUNIT_ASSERT_EQUAL(1.5, shares.weight(customer(1)));
        CPPUNIT_ASSERT_EQUAL(1.0, shares.weight(customer(2)));
        CPPUNIT_ASSERT_EQUAL(1.0, shares.weight(customer(3)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CustomerOwnersTest);
