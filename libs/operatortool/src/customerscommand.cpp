#include "commands.h"

#include "listcall.h"
#include "table.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <map>
#include <ostream>

namespace fescuespring {

namespace {

using Customers = std::map<CustomerId, PlanId>;

Customers customersOf(const std::vector<StoredObject> &lists, ListErrors &errors)
{
    Customers customers;
    for (const StoredObject &object : lists) {
        if (object.key == plansKey)
            continue;
        const CustomersPart part = parseCustomers(object.key, object.value, errors);
        for (const auto &[id, entry] : part.customers)
            customers.emplace(id, entry.plan);
    }
    return customers;
}

void printJson(const Customers &customers, std::ostream &out)
{
    boost::json::object object;
    for (const auto &[id, plan] : customers)
        object[id.value()] = plan.value();
    out << boost::json::serialize(object) << '\n';
}

void printTable(const Customers &customers, std::ostream &out)
{
    Table table({"CUSTOMER", "PLAN"});
    for (const auto &[id, plan] : customers)
        table.add({id.value(), plan.value()});
    table.print(out);
}

ToolOutcome reportUnknownCustomer(const std::string &customer, ToolStreams streams)
{
    streams.error << "fescuectl: unknown customer '" << customer
                  << "'; fescuectl customers show lists all customers\n";
    return ToolOutcome::Refused;
}

ToolOutcome runShow(const Arguments &arguments, const PlatformTarget &platform, ToolStreams streams)
{
    const Result<std::vector<StoredObject>> lists = readLists(platform);
    if (!lists)
        return reportUnreachable(platform, lists.error(), streams);
    ListErrors errors;
    Customers customers = customersOf(lists.value(), errors);
    const std::string wanted = arguments.value("CUSTOMER");
    if (!wanted.empty())
        std::erase_if(customers, [&](const auto &entry) { return entry.first.value() != wanted; });
    if (!wanted.empty() && customers.empty())
        return reportUnknownCustomer(wanted, streams);
    if (arguments.has("json"))
        printJson(customers, streams.out);
    else
        printTable(customers, streams.out);
    streams.error << describe(errors);
    return errors.empty() ? ToolOutcome::Done : ToolOutcome::Refused;
}

ToolOutcome runSet(const Arguments &arguments, const PlatformTarget &platform, ToolStreams streams)
{
    const CustomerId customer(arguments.value("CUSTOMER"));
    const PlanId plan(arguments.value("PLAN"));
    const Result<std::vector<StoredObject>> lists = readLists(platform);
    if (!lists)
        return reportUnreachable(platform, lists.error(), streams);
    ListErrors errors;
    ListEdit edit{.id = newEditId(), .operation = AddCustomer{.customer = customer, .plan = plan}};
    if (customersOf(lists.value(), errors).contains(customer))
        edit.operation = MoveCustomer{.customer = customer, .plan = plan};
    return makeEdit(platform, edit, arguments.has("json"), streams);
}

ToolOutcome runRemove(const Arguments &arguments, const PlatformTarget &platform,
                      ToolStreams streams)
{
    const RemoveCustomer operation{.customer = CustomerId(arguments.value("CUSTOMER"))};
    return makeEdit(platform, {.id = newEditId(), .operation = operation}, arguments.has("json"),
                    streams);
}

ToolOutcome customersShow(const std::vector<std::string> &words, ToolStreams streams)
{
    Arguments arguments("customers show", "Shows the plans of customers.");
    arguments.optionalPositional("CUSTOMER", "shows only this customer");
    return runListCommand(arguments, words, streams, runShow);
}

ToolOutcome customersSet(const std::vector<std::string> &words, ToolStreams streams)
{
    Arguments arguments("customers set",
                        "Sets the plan of a customer; adds the customer if it is new.");
    arguments.positional("CUSTOMER", "name of the customer");
    arguments.positional("PLAN", "name of the plan");
    return runListCommand(arguments, words, streams, runSet);
}

ToolOutcome customersRemove(const std::vector<std::string> &words, ToolStreams streams)
{
    Arguments arguments("customers remove", "Removes a customer.");
    arguments.positional("CUSTOMER", "name of the customer");
    return runListCommand(arguments, words, streams, runRemove);
}

constexpr std::array customersCommands{
        Command{"show", "shows the plans of customers", customersShow},
        Command{"set", "sets the plan of a customer", customersSet},
        Command{"remove", "removes a customer", customersRemove},
};

} // namespace

ToolOutcome runCustomers(const std::vector<std::string> &words, ToolStreams streams)
{
    return runSubcommand("customers", customersCommands, words, streams);
}

} // namespace fescuespring
