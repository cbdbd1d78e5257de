#include "planlists/listeditor.h"

#include <algorithm>
#include <optional>

namespace fescuespring {

namespace {

constexpr const char *noValue = "(none)";

template <typename... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

std::string textOf(const Plan &plan)
{
    std::string text;
    for (const PlanField &field : planFields(plan))
        text += (text.empty() ? "" : ", ") + field.name + ": " + field.value;
    return text;
}

// The objects of the lists, parsed for an edit. Existing errors in them are ignored.
class ParsedLists
{
public:
    explicit ParsedLists(const std::vector<StoredObject> &objects)
        : m_objects(objects)
    {
        ListErrors errors;
        m_plans = parsePlans(find(std::string(plansKey)).value, errors);
    }

    PlansPart &plans()
    {
        return m_plans;
    }
    StoredObject find(const std::string &key) const
    {
        const auto found =
                std::find_if(m_objects.begin(), m_objects.end(),
                             [&key](const StoredObject &object) { return object.key == key; });
        return found == m_objects.end() ? StoredObject{key, ObjectVersion(0), ""} : *found;
    }
    CustomersPart customers(const std::string &key) const
    {
        ListErrors errors;
        return parseCustomers(key, find(key).value, errors);
    }

    // Key of the part with the customer; nothing if there is none.
    std::optional<std::string> partWith(const CustomerId &customer) const
    {
        for (const StoredObject &object : m_objects) {
            if (object.key.starts_with(customersPrefix)
                && customers(object.key).customers.contains(customer))
                return object.key;
        }
        return std::nullopt;
    }

private:
    const std::vector<StoredObject> &m_objects;
    PlansPart m_plans;
};

void recordEdit(std::vector<std::string> &edits, const std::string &id)
{
    edits.push_back(id);
    if (edits.size() > maximumEditIds)
        edits.erase(edits.begin());
}

// Applies the operation to the parsed objects; returns the changed object and its new text.
class EditApplier
{
public:
    EditApplier(ParsedLists &lists, const std::string &id, ListErrors &errors)
        : m_lists(lists)
        , m_id(id)
        , m_errors(errors)
    {}

    EditedObject operator()(const SetPlanField &operation)
    {
        Plan *plan = findPlan(operation.plan);
        return plan && set(*plan, operation.plan, {operation.field, operation.value})
                       ? plans()
                       : EditedObject();
    }
    EditedObject operator()(const AddPlan &operation)
    {
        const auto [entry, isNew] = m_lists.plans().plans.try_emplace(operation.plan);
        if (!isNew)
            return fail(std::string(plansKey), "plans." + operation.plan.value(), "already exists");
        bool isValid = true;
        for (const PlanField &field : operation.fields)
            isValid = set(entry->second, operation.plan, field) && isValid;
        return isValid ? plans() : EditedObject();
    }
    EditedObject operator()(const RemovePlan &operation)
    {
        if (!findPlan(operation.plan))
            return {};
        m_lists.plans().plans.erase(operation.plan);
        return plans();
    }
    EditedObject operator()(const AddCustomer &operation)
    {
        const std::string key =
                customersKey(partOf(operation.customer, m_lists.plans().customerParts));
        const std::optional<std::string> part = m_lists.partWith(operation.customer);
        if (part)
            return fail(*part, "customers." + operation.customer.value(), "already exists");
        return put(key, operation.customer, operation.plan);
    }
    EditedObject operator()(const MoveCustomer &operation)
    {
        const std::optional<std::string> part = m_lists.partWith(operation.customer);
        if (!part)
            return fail("customers", operation.customer.value(), "no such customer");
        return put(*part, operation.customer, operation.plan);
    }
    EditedObject operator()(const RemoveCustomer &operation)
    {
        const std::optional<std::string> key = m_lists.partWith(operation.customer);
        if (!key)
            return fail("customers", operation.customer.value(), "no such customer");
        CustomersPart part = m_lists.customers(*key);
        part.customers.erase(operation.customer);
        return customers(*key, part);
    }
    EditedObject operator()(const ReplaceObject &operation)
    {
        if (operation.key == plansKey) {
            const std::vector<std::string> edits = m_lists.plans().edits;
            m_lists.plans() = parsePlans(operation.text, m_errors);
            m_lists.plans().edits = edits;
            return plans();
        }
        CustomersPart part = parseCustomers(operation.key, operation.text, m_errors);
        part.edits = m_lists.customers(operation.key).edits;
        return customers(operation.key, part);
    }

private:
    EditedObject fail(const std::string &key, const std::string &field, const std::string &message)
    {
        m_errors.push_back({key, {ErrorCode::InvalidField, message, field}});
        return {};
    }
    Plan *findPlan(const PlanId &id)
    {
        const auto found = m_lists.plans().plans.find(id);
        if (found != m_lists.plans().plans.end())
            return &found->second;
        fail(std::string(plansKey), "plans." + id.value(), "no such plan");
        return nullptr;
    }
    bool set(Plan &plan, const PlanId &id, const PlanField &field)
    {
        const Result<void> result = setPlanField(plan, field.name, field.value);
        if (!result)
            fail(std::string(plansKey), "plans." + id.value() + "." + result.error().field,
                 result.error().message);
        return result.has_value();
    }
    EditedObject put(const std::string &key, const CustomerId &customer, const PlanId &plan)
    {
        CustomersPart part = m_lists.customers(key);
        part.customers[customer] = {plan, 0};
        return customers(key, part);
    }
    EditedObject plans()
    {
        recordEdit(m_lists.plans().edits, m_id);
        return {m_lists.find(std::string(plansKey)), toText(m_lists.plans())};
    }
    EditedObject customers(const std::string &key, CustomersPart &part)
    {
        recordEdit(part.edits, m_id);
        return {m_lists.find(key), toText(part)};
    }

    ParsedLists &m_lists;
    const std::string &m_id;
    ListErrors &m_errors;
};

// Errors that the edit introduces; errors that other objects had before are left out.
ListErrors check(std::vector<StoredObject> objects, const EditedObject &edited)
{
    const ListErrors before = ListSet().offer(objects);
    std::erase_if(objects,
                  [&](const StoredObject &object) { return object.key == edited.before.key; });
    objects.push_back({edited.before.key, edited.before.version.next(), edited.text});
    ListErrors errors = ListSet().offer(objects);
    std::erase_if(errors, [&](const ListError &error) {
        const std::string text = describe({error});
        return error.key != edited.before.key
               && std::any_of(before.begin(), before.end(),
                              [&](const ListError &old) { return describe({old}) == text; });
    });
    return errors;
}

} // namespace

EditedObject applyEdit(const std::vector<StoredObject> &objects, const ListEdit &edit,
                       ListErrors &errors)
{
    ParsedLists lists(objects);
    EditedObject edited = std::visit(EditApplier(lists, edit.id, errors), edit.operation);
    if (!errors.empty())
        return {};
    errors = check(objects, edited);
    return edited;
}

std::string currentValue(const std::vector<StoredObject> &objects, const ListEdit &edit)
{
    ParsedLists lists(objects);
    const auto planText = [&](const PlanId &id) {
        const auto found = lists.plans().plans.find(id);
        return found == lists.plans().plans.end() ? noValue : textOf(found->second);
    };
    const auto customerText = [&](const CustomerId &id) -> std::string {
        const std::optional<std::string> part = lists.partWith(id);
        return part ? lists.customers(*part).customers[id].plan.value() : noValue;
    };
    const auto fieldText = [&](const SetPlanField &operation) -> std::string {
        const auto found = lists.plans().plans.find(operation.plan);
        if (found == lists.plans().plans.end())
            return noValue;
        for (const PlanField &field : planFields(found->second)) {
            if (field.name == operation.field)
                return field.value;
        }
        return noValue;
    };
    return std::visit(
            Overloaded{
                    fieldText,
                    [&](const AddPlan &operation) { return planText(operation.plan); },
                    [&](const RemovePlan &operation) { return planText(operation.plan); },
                    [&](const AddCustomer &operation) { return customerText(operation.customer); },
                    [&](const MoveCustomer &operation) { return customerText(operation.customer); },
                    [&](const RemoveCustomer &operation) {
                        return customerText(operation.customer);
                    },
                    [&](const ReplaceObject &operation) { return lists.find(operation.key).value; },
            },
            edit.operation);
}

std::string requestedValue(const ListEdit &edit)
{
    const auto planText = [](const AddPlan &operation) {
        Plan plan;
        for (const PlanField &field : operation.fields)
            (void)setPlanField(plan, field.name, field.value);
        return textOf(plan);
    };
    return std::visit(Overloaded{
                              [](const SetPlanField &operation) { return operation.value; },
                              planText,
                              [](const RemovePlan &) { return std::string(noValue); },
                              [](const AddCustomer &operation) { return operation.plan.value(); },
                              [](const MoveCustomer &operation) { return operation.plan.value(); },
                              [](const RemoveCustomer &) { return std::string(noValue); },
                              [](const ReplaceObject &operation) { return operation.text; },
                      },
                      edit.operation);
}

} // namespace fescuespring
