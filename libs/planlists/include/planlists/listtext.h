#pragma once

#include "base/result.h"
#include "base/types.h"
#include "messages/plans.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fescuespring {

// The two lists as operators write them: YAML in objects of the platform's store. One object holds
// the plans, the customers are split into parts of at most 1 MB, and an edit changes one object.
//
//     # plans                                   # customers/0
//     customerParts: 2                          customers:
//     plans:                                      coop-7: gold
//       gold: {weight: 10, priority: 3}           coop-9: basic
//       basic: {weight: 1}
//
// A plan's fields are those of Plan; durability is replicated or primary, maximumAgeMs is in
// milliseconds, omitted fields have their defaults. A customer may be in any one part; the tool
// adds new customers to the part given by partOf. Both kinds end with `edits`, the ids of the last
// edits made with the tool.

constexpr std::string_view plansKey = "plans";
constexpr std::string_view customersPrefix = "customers/";

// Largest value that the store accepts, in bytes.
constexpr std::size_t maximumObjectSize = 1'000'000;

// Number of edit ids that an object keeps.
constexpr std::size_t maximumEditIds = 32;

constexpr std::uint32_t maximumCustomerParts = 256;

// An error in one object; error contains the field and line.
struct ListError
{
    std::string key;
    Error error;
};

using ListErrors = std::vector<ListError>;

// One line per error: "plans:7: gold.weight: must be 1 to 1000".
std::string describe(const ListErrors &errors);

// The plans object, parsed.
struct PlansPart
{
    std::uint32_t customerParts = 1;
    std::map<PlanId, Plan> plans;
    std::vector<std::string> edits;
};

// A customer's entry and its line in the text.
struct CustomerEntry
{
    PlanId plan;
    int line = 0;
};

// One customers object, parsed.
struct CustomersPart
{
    std::map<CustomerId, CustomerEntry> customers;
    std::vector<std::string> edits;
};

// Parse one object and add every error found to errors. The result is valid only if no error was
// added.
PlansPart parsePlans(const std::string &text, ListErrors &errors);
CustomersPart parseCustomers(const std::string &key, const std::string &text, ListErrors &errors);

// Formats a part with its entries ordered by name, so that equal parts have equal texts.
std::string toText(const PlansPart &part);
std::string toText(const CustomersPart &part);

// Sets a field of a plan, named as in the list, from text; errors contain the field and its range.
Result<void> setPlanField(Plan &plan, const std::string &field, const std::string &value);

// A field of a plan as name and value, as in the list.
struct PlanField
{
    std::string name;
    std::string value;
};

std::vector<PlanField> planFields(const Plan &plan);

// Part to which a new customer is added.
std::uint32_t partOf(const CustomerId &customer, std::uint32_t parts);

// Key of a part.
std::string customersKey(std::uint32_t part);

} // namespace fescuespring
