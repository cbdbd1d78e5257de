#include "planlists/listset.h"

#include "base/nearestname.h"

#include <algorithm>
#include <utility>

namespace fescuespring {

namespace {

bool isCustomersKey(const std::string &key)
{
    return key.starts_with(customersPrefix);
}

std::uint32_t addToDigest(std::uint32_t digest, const StoredObject &object)
{
    // FNV-1a of key and version.
    constexpr std::uint32_t prime = 16777619;
    for (const char c : object.key)
        digest = (digest ^ static_cast<unsigned char>(c)) * prime;
    for (std::uint64_t version = object.version.value(); version != 0; version >>= 8)
        digest = (digest ^ static_cast<unsigned char>(version)) * prime;
    return digest;
}

} // namespace

ListErrors ListSet::offer(const std::vector<StoredObject> &objects)
{
    std::vector<const StoredObject *> pending;
    pending.reserve(objects.size());
    for (const StoredObject &object : objects)
        pending.push_back(&object);
    ListErrors errors;
    bool hasProgressed = true;
    while (hasProgressed) {
        // One object may be valid only together with another, such as a new plan with its first
        // customer, or both parts when a customer moves. Therefore repeats until none is accepted.
        errors.clear();
        const std::size_t before = pending.size();
        std::erase_if(pending, [&](const StoredObject *object) {
            if (object->version.value() <= this->object(object->key).version.value())
                return true;
            const ListErrors objectErrors = offerOne(*object);
            errors.insert(errors.end(), objectErrors.begin(), objectErrors.end());
            return objectErrors.empty();
        });
        hasProgressed = pending.size() != before && !pending.empty();
    }
    return errors;
}

ListErrors ListSet::offerOne(const StoredObject &object)
{
    if (object.key == plansKey)
        return offerPlans(object);
    if (isCustomersKey(object.key))
        return offerCustomers(object);
    return {{object.key, {ErrorCode::InvalidField, "is not an object of the lists"}}};
}

ListErrors ListSet::offerPlans(const StoredObject &object)
{
    ListErrors errors;
    PlansPart part = parsePlans(object.value, errors);
    std::map<PlanId, std::size_t> missing;
    for (const auto &[key, customers] : m_customers) {
        for (const auto &[id, entry] : customers.part.customers) {
            if (!part.plans.contains(entry.plan))
                ++missing[entry.plan];
        }
    }
    for (const auto &[plan, count] : missing)
        errors.push_back({object.key,
                          {ErrorCode::MissingField,
                           "is missing, but " + std::to_string(count) + " customers have it",
                           "plans." + plan.value()}});
    if (errors.empty()) {
        m_plansObject = object;
        m_plans = std::move(part);
    }
    return errors;
}

ListErrors ListSet::offerCustomers(const StoredObject &object)
{
    ListErrors errors;
    CustomersPart part = parseCustomers(object.key, object.value, errors);
    std::vector<std::string> planNames;
    for (const auto &[id, plan] : m_plans.plans)
        planNames.push_back(id.value());
    for (const auto &[id, entry] : part.customers) {
        const std::string field = "customers." + id.value();
        if (!m_plans.plans.contains(entry.plan))
            errors.push_back({object.key,
                              {ErrorCode::InvalidField,
                               "unknown plan '" + entry.plan.value() + "'"
                                       + suggestion(entry.plan.value(), planNames),
                               field, entry.line}});
    }
    checkOtherParts(object, part, errors);
    if (errors.empty())
        accept(object, std::move(part));
    return errors;
}

void ListSet::checkOtherParts(const StoredObject &object, const CustomersPart &part,
                              ListErrors &errors) const
{
    const auto last = m_customers.find(object.key);
    for (const auto &[id, entry] : part.customers) {
        const bool isOld = last != m_customers.end() && last->second.part.customers.contains(id);
        if (isOld || !m_names.contains(std::hash<CustomerId>()(id)))
            continue;
        for (const auto &[key, other] : m_customers) {
            const auto found = other.part.customers.find(id);
            if (key != object.key && found != other.part.customers.end())
                errors.push_back(
                        {object.key,
                         {ErrorCode::InvalidField,
                          "is also in " + key + ", line " + std::to_string(found->second.line),
                          "customers." + id.value(), entry.line}});
        }
    }
}

void ListSet::accept(const StoredObject &object, CustomersPart part)
{
    CustomersObject &kept = m_customers[object.key];
    for (const auto &[id, entry] : kept.part.customers)
        m_names.erase(m_names.find(std::hash<CustomerId>()(id)));
    for (const auto &[id, entry] : part.customers)
        m_names.insert(std::hash<CustomerId>()(id));
    kept = {object, std::move(part)};
}

bool ListSet::isComplete() const
{
    return m_plansObject.version.value() > 0;
}

PlanLists ListSet::lists() const
{
    PlanLists lists;
    lists.version = mark().version;
    lists.plans = m_plans.plans;
    for (const auto &[key, customers] : m_customers) {
        for (const auto &[id, entry] : customers.part.customers)
            lists.customers.emplace(id, entry.plan);
    }
    return lists;
}

ListsMark ListSet::mark() const
{
    if (!isComplete() && m_customers.empty())
        return {};
    std::uint64_t sum = m_plansObject.version.value();
    std::uint32_t digest = addToDigest(2166136261U, m_plansObject);
    for (const auto &[key, customers] : m_customers) {
        sum += customers.object.version.value();
        digest = addToDigest(digest, customers.object);
    }
    return {ObjectVersion(sum), digest};
}

ObjectVersions ListSet::versions() const
{
    ObjectVersions known;
    if (isComplete())
        known.versions[m_plansObject.key] = m_plansObject.version;
    for (const auto &[key, customers] : m_customers)
        known.versions[key] = customers.object.version;
    return known;
}

std::vector<StoredObject> ListSet::newerThan(const ObjectVersions &known) const
{
    std::vector<StoredObject> newer;
    const auto add = [&](const StoredObject &object) {
        const auto found = known.versions.find(object.key);
        const std::uint64_t version = found == known.versions.end() ? 0 : found->second.value();
        if (object.version.value() > version)
            newer.push_back(object);
    };
    add(m_plansObject);
    for (const auto &[key, customers] : m_customers)
        add(customers.object);
    return newer;
}

const PlansPart &ListSet::plans() const
{
    return m_plans;
}

StoredObject ListSet::object(const std::string &key) const
{
    if (key == plansKey)
        return m_plansObject;
    const auto found = m_customers.find(key);
    return found == m_customers.end() ? StoredObject{key, ObjectVersion(0), ""}
                                      : found->second.object;
}

} // namespace fescuespring
