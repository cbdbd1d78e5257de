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

// The two lists as operators write them: YAML in objects of the platform's store. The plans stand
// in one object, the customers in parts of at most 1 MB, and an edit changes one object.
//
//     # plans                                   # customers/0
//     customerParts: 2                          customers:
//     plans:                                      coop-7: gold
//       gold: {weight: 10, priority: 3}           coop-9: basic
//       basic: {weight: 1}
//
// A plan's fields are those of Plan; durability is replicated or primary, maximumAgeMs is in
// milliseconds; what is left out has the default. A customer stands in any one part; the tool puts
// new ones where partOf says. Both kinds end in `edits`, the ids of the last edits made by tool.

constexpr std::string_view plansKey = "plans";
constexpr std::string_view customersPrefix = "customers/";

// Largest value that the store takes, in bytes.
constexpr std::size_t maximumObjectSize = 1'000'000;

// Ids of edits that an object remembers.
constexpr std::size_t rememberedEdits = 32;

constexpr std::uint32_t maximumCustomerParts = 256;

// An error in one object; error holds field and line.
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

// A customer's entry and the line it stands in.
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

// Parse one object; every error found is added to errors, and the part returned is of use only if
// none was.
PlansPart parsePlans(const std::string &text, ListErrors &errors);
CustomersPart parseCustomers(const std::string &key, const std::string &text, ListErrors &errors);

// The text of a part, its entries ordered by name, so that equal parts have equal texts.
std::string toText(const PlansPart &part);
std::string toText(const CustomersPart &part);

// Sets one field of a plan from text, named as in the list; an error names field and range.
Result<void> setPlanField(Plan &plan, const std::string &field, const std::string &value);

// Every field of a plan as name and value.
struct PlanField
{
    std::string name;
    std::string value;
};

std::vector<PlanField> planFields(const Plan &plan);

// Part that a new customer is put in.
std::uint32_t partOf(const CustomerId &customer, std::uint32_t parts);

// Key of a part.
std::string customersKey(std::uint32_t part);

} // namespace fescuespring
