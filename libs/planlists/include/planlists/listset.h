#pragma once

#include "messages/listsmark.h"
#include "messages/plans.h"
#include "planlists/listtext.h"
#include "store/objectstore.h"

#include <map>
#include <string>
#include <unordered_set>
#include <vector>

namespace fescuespring {

// Which version of each object a VM has in force; what one VM sends another to ask for newer ones.
struct ObjectVersions
{
    std::map<std::string, ObjectVersion> versions;

    bool operator==(const ObjectVersions &) const = default;
};

// The objects of the lists that are in force together. The version of every object only rises; an
// object that would make the lists wrong is refused, with everything wrong about it, and its last
// good text stays. Sets that took in the same objects in any order are equal, so that two sides of
// a cut that exchange their objects end up with the same lists.
//
//     ListSet lists;
//     ListErrors errors = lists.offer(objectsOfTheStore);
//     scheduler.setLists(lists.lists());
class ListSet
{
public:
    // Takes in the objects that are newer than what is in force and leave the lists right. Returns
    // what is wrong with those that do not; empty where nothing was refused.
    ListErrors offer(const std::vector<StoredObject> &objects);

    // True once the plans and every customer's plan are known.
    bool isComplete() const;

    PlanLists lists() const;
    ListsMark mark() const;
    ObjectVersions versions() const;

    // The objects in force that are newer than in known.
    std::vector<StoredObject> newerThan(const ObjectVersions &known) const;

    const PlansPart &plans() const;

    // The object in force; version 0 where there is none.
    StoredObject object(const std::string &key) const;

private:
    struct CustomersObject
    {
        StoredObject object;
        CustomersPart part;
    };

    ListErrors offerOne(const StoredObject &object);
    ListErrors offerPlans(const StoredObject &object);
    ListErrors offerCustomers(const StoredObject &object);

    // Errors of customers that stand in another part too.
    void checkElsewhere(const StoredObject &object, const CustomersPart &part,
                        ListErrors &errors) const;
    void accept(const StoredObject &object, CustomersPart part);

    StoredObject m_plansObject;
    PlansPart m_plans;
    std::map<std::string, CustomersObject> m_customers;

    // Hashes of all customers' names, so that most need not be looked for in the other parts.
    std::unordered_multiset<std::size_t> m_names;
};

} // namespace fescuespring
