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

// Version of each object that a VM has in force. A VM sends it to another to request newer objects.
struct ObjectVersions
{
    std::map<std::string, ObjectVersion> versions;

    bool operator==(const ObjectVersions &) const = default;
};

// The objects of the lists in force. The version of an object never decreases; an object that would
// make the lists invalid is refused with all its errors, and its last valid text stays in force.
// The order of accepted objects does not matter, so that two sides of a partition that exchange
// their objects converge to equal lists.
//
//     ListSet lists;
//     ListErrors errors = lists.offer(objectsOfTheStore);
//     scheduler.setLists(lists.lists());
class ListSet
{
public:
    // Accepts the objects that are newer than those in force and keep the lists valid. Returns the
    // errors of the refused objects; empty if none was refused.
    ListErrors offer(const std::vector<StoredObject> &objects);

    // True once the plans have been accepted; every accepted customer has one of them.
    bool isComplete() const;

    PlanLists lists() const;
    ListsMark mark() const;
    ObjectVersions versions() const;

    // The objects in force that are newer than their versions in known.
    std::vector<StoredObject> newerThan(const ObjectVersions &known) const;

    const PlansPart &plans() const;

    // The object in force; version 0 if there is none.
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

    // Adds an error for each customer that is also in another part.
    void checkOtherParts(const StoredObject &object, const CustomersPart &part,
                         ListErrors &errors) const;
    void accept(const StoredObject &object, CustomersPart part);

    StoredObject m_plansObject;
    PlansPart m_plans;
    std::map<std::string, CustomersObject> m_customers;

    // Hashes of all customers' names; avoids searching the other parts for most customers.
    std::unordered_multiset<std::size_t> m_names;
};

} // namespace fescuespring
