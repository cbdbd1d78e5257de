#include "planlists/listset.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

const std::string plansText = "customerParts: 2\n"
                              "plans:\n"
                              "  basic: {weight: 1}\n"
                              "  gold:\n"
                              "    weight: 10\n"
                              "    maximumAgeMs: 5000\n";

StoredObject object(const std::string &key, std::uint64_t version, const std::string &text)
{
    return {key, ObjectVersion(version), text};
}

} // namespace

class ListSetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ListSetTest);
    CPPUNIT_TEST(plansAndCustomersAreParsed);
    CPPUNIT_TEST(everyErrorHasLineAndField);
    CPPUNIT_TEST(invalidObjectIsRefusedAndTheLastValidStays);
    CPPUNIT_TEST(planWithCustomersCannotBeRemoved);
    CPPUNIT_TEST(olderVersionsAreIgnored);
    CPPUNIT_TEST(partitionedSidesConverge);
    CPPUNIT_TEST(textRoundTrips);
    CPPUNIT_TEST_SUITE_END();

public:
    void plansAndCustomersAreParsed()
    {
        ListSet lists = validLists();
        CPPUNIT_ASSERT(lists.isComplete());
        const PlanLists all = lists.lists();
        CPPUNIT_ASSERT_EQUAL(10U, all.plans.at(PlanId("gold")).weight);
        CPPUNIT_ASSERT(all.plans.at(PlanId("gold")).maximumAge == 5000ms);
        CPPUNIT_ASSERT_EQUAL(std::string("gold"), all.customers.at(CustomerId("coop-7")).value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), all.version.value());
    }

    void everyErrorHasLineAndField()
    {
        ListSet lists;
        const ListErrors errors = lists.offer({object("plans", 1,
                                                      "plans:\n"
                                                      "  gold:\n"
                                                      "    wieght: 10\n"
                                                      "    priority: 12\n"
                                                      "  gold: {durability: replicatd}\n"
                                                      "  [a]: {}\n"
                                                      "extra: 1\n")});
        CPPUNIT_ASSERT_EQUAL(
                std::string("plans:3: plans.gold.wieght: unknown field, did you mean 'weight'?\n"
                            "plans:4: plans.gold.priority: must be a whole number from 0 to 9\n"
                            "plans:5: plans.gold: is a duplicate\n"
                            "plans:6: plans: must have a name of 1 to 128 printable characters\n"
                            "plans:7: extra: unknown field\n"),
                describe(errors));
        CPPUNIT_ASSERT(!lists.isComplete());
        const ListErrors syntax = lists.offer({object("plans", 1, "plans:\n  gold: {weight: 1\n")});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), syntax.size());
        CPPUNIT_ASSERT(syntax[0].error.line >= 2);
    }

    void invalidObjectIsRefusedAndTheLastValidStays()
    {
        ListSet lists = validLists();
        const ListErrors errors = lists.offer({
                object("customers/0", 3, "customers:\n  coop-7: glod\n  coop-9: basic\n"),
                object("customers/2", 2, "customers:\n  coop-8: gold\n"),
        });
        CPPUNIT_ASSERT_EQUAL(std::string("customers/0:2: customers.coop-7: unknown plan 'glod', "
                                         "did you mean 'gold'?\n"
                                         "customers/0:3: customers.coop-9: is also in customers/1, "
                                         "line 2\n"),
                             describe(errors));
        CPPUNIT_ASSERT_EQUAL(std::string("gold"),
                             lists.lists().customers.at(CustomerId("coop-7")).value());
        CPPUNIT_ASSERT(lists.lists().customers.contains(CustomerId("coop-8")));
    }

    void planWithCustomersCannotBeRemoved()
    {
        ListSet lists = validLists();
        const ListErrors errors = lists.offer({object("plans", 3, "plans:\n  basic: {}\n")});
        CPPUNIT_ASSERT_EQUAL(
                std::string("plans: plans.gold: is missing, but 1 customers have it\n"),
                describe(errors));
        // It can be removed together with the customer's change of plan.
        CPPUNIT_ASSERT(lists.offer({object("plans", 3, "plans:\n  basic: {}\n"),
                                    object("customers/0", 3, "customers:\n  coop-7: basic\n")})
                               .empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), lists.lists().plans.size());
    }

    void olderVersionsAreIgnored()
    {
        ListSet lists = validLists();
        const ListsMark before = lists.mark();
        CPPUNIT_ASSERT(lists.offer({object("customers/0", 1, "customers: {}\n")}).empty());
        CPPUNIT_ASSERT(lists.mark() == before);
        CPPUNIT_ASSERT(lists.lists().customers.contains(CustomerId("coop-7")));
    }

    void partitionedSidesConverge()
    {
        ListSet a = validLists();
        ListSet b = validLists();
        a.offer({object("customers/0", 3, "customers:\n  coop-7: basic\n")});
        b.offer({object("customers/1", 2, "customers:\n  coop-9: gold\n")});
        CPPUNIT_ASSERT_EQUAL(a.mark().version.value(), b.mark().version.value());
        CPPUNIT_ASSERT(a.mark() != b.mark());
        a.offer(b.newerThan(a.versions()));
        b.offer(a.newerThan(b.versions()));
        CPPUNIT_ASSERT(a.mark() == b.mark());
        CPPUNIT_ASSERT(a.lists() == b.lists());
        CPPUNIT_ASSERT(a.newerThan(b.versions()).empty());
    }

    void textRoundTrips()
    {
        ListErrors errors;
        PlansPart plans = parsePlans(plansText, errors);
        plans.edits = {"e 1", "-x"};
        const std::string text = toText(plans);
        const PlansPart reparsed = parsePlans(text, errors);
        CPPUNIT_ASSERT_EQUAL(std::string(), describe(errors));
        CPPUNIT_ASSERT(reparsed.plans == plans.plans);
        CPPUNIT_ASSERT(reparsed.edits == plans.edits);
        CPPUNIT_ASSERT_EQUAL(text, toText(reparsed));
        CustomersPart customers;
        customers.customers[CustomerId("a: \"b\"")] = {PlanId("null"), 0};
        const CustomersPart read = parseCustomers("customers/0", toText(customers), errors);
        CPPUNIT_ASSERT(errors.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("null"),
                             read.customers.at(CustomerId("a: \"b\"")).plan.value());
    }

private:
    static ListSet validLists()
    {
        ListSet lists;
        // Customers before their plans: the order must not matter.
        const ListErrors errors =
                lists.offer({object("customers/0", 2, "customers:\n  coop-7: gold\n"),
                             object("customers/1", 1, "customers:\n  coop-9: basic\n"),
                             object("plans", 2, plansText)});
        CPPUNIT_ASSERT_EQUAL(std::string(), describe(errors));
        return lists;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ListSetTest);
