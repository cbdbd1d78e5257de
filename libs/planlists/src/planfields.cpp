#include "planlists/listtext.h"

#include "base/nearestname.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <optional>
#include <string_view>

namespace fescuespring {

namespace {

// Upper bounds of a plan's fields.
constexpr std::uint64_t largestWeight = 1000;
constexpr std::uint64_t largestPriority = 9;
constexpr std::uint64_t largestConnections = 1000;
constexpr std::uint64_t largestQueue = 100000;
constexpr std::uint64_t largestAgeMs = 7ULL * 24 * 3600 * 1000;

struct NumberField
{
    const char *name;
    std::uint32_t Plan::*member;
    std::uint64_t least;
    std::uint64_t largest;
};

constexpr std::array numberFields{
        NumberField{"weight", &Plan::weight, 1, largestWeight},
        NumberField{"priority", &Plan::priority, 0, largestPriority},
        NumberField{"connections", &Plan::connections, 1, largestConnections},
        NumberField{"queue", &Plan::queue, 0, largestQueue},
        NumberField{"longStatements", &Plan::longStatements, 0, largestConnections},
};

constexpr std::string_view durabilityField = "durability";
constexpr std::string_view ageField = "maximumAgeMs";

std::optional<std::uint64_t> number(const std::string &text, std::uint64_t least,
                                    std::uint64_t largest)
{
    std::uint64_t value = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || rest != end || value < least || value > largest)
        return std::nullopt;
    return value;
}

Error invalid(const std::string &field, const std::string &message)
{
    return {ErrorCode::InvalidField, message, field};
}

Error outOfRange(const std::string &field, std::uint64_t least, std::uint64_t largest)
{
    return invalid(field, "must be a whole number from " + std::to_string(least) + " to "
                                  + std::to_string(largest));
}

std::vector<std::string> fieldNames()
{
    std::vector<std::string> names;
    names.reserve(numberFields.size() + 2);
    for (const NumberField &field : numberFields)
        names.emplace_back(field.name);
    names.emplace_back(durabilityField);
    names.emplace_back(ageField);
    return names;
}

Result<void> setDurability(Plan &plan, const std::string &value)
{
    const std::optional<Durability> durability = durabilityFromString(value);
    if (!durability)
        return invalid(std::string(durabilityField),
                       "must be replicated or primary"
                               + suggestion(value, {"replicated", "primary"}));
    plan.durability = *durability;
    return boost::outcome_v2::success();
}

Result<void> setMaximumAge(Plan &plan, const std::string &value)
{
    if (value == "none") {
        plan.maximumAge.reset();
        return boost::outcome_v2::success();
    }
    const std::optional<std::uint64_t> age = number(value, 0, largestAgeMs);
    if (!age)
        return outOfRange(std::string(ageField), 0, largestAgeMs);
    plan.maximumAge = std::chrono::milliseconds(*age);
    return boost::outcome_v2::success();
}

} // namespace

Result<void> setPlanField(Plan &plan, const std::string &field, const std::string &value)
{
    if (field == durabilityField)
        return setDurability(plan, value);
    if (field == ageField)
        return setMaximumAge(plan, value);
    const auto *const known =
            std::find_if(numberFields.begin(), numberFields.end(),
                         [&field](const NumberField &entry) { return field == entry.name; });
    if (known == numberFields.end())
        return Error{ErrorCode::UnknownField, "unknown field" + suggestion(field, fieldNames()),
                     field};
    const std::optional<std::uint64_t> parsed = number(value, known->least, known->largest);
    if (!parsed)
        return outOfRange(field, known->least, known->largest);
    plan.*known->member = static_cast<std::uint32_t>(*parsed);
    return boost::outcome_v2::success();
}

std::vector<PlanField> planFields(const Plan &plan)
{
    std::vector<PlanField> fields;
    fields.reserve(numberFields.size() + 2);
    for (const NumberField &field : numberFields)
        fields.push_back({field.name, std::to_string(plan.*field.member)});
    fields.push_back({std::string(durabilityField), toString(plan.durability)});
    if (plan.maximumAge)
        fields.push_back({std::string(ageField), std::to_string(plan.maximumAge->count())});
    return fields;
}

} // namespace fescuespring
