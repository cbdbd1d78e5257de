#include "planlists/listtext.h"

#include <algorithm>

namespace fescuespring {

namespace {

// Whether YAML reads the unquoted name as a string in every position.
bool isPlain(const std::string &name)
{
    const auto isWordCharacter = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
               || c == '-' || c == '_' || c == '.';
    };
    const bool isNull = name == "null" || name == "Null" || name == "NULL";
    return !name.empty() && !isNull && name.front() != '-' && name.front() != '.'
           && std::all_of(name.begin(), name.end(), isWordCharacter);
}

// Characters that YAML folds or refuses unless escaped.
bool isControl(char c)
{
    return static_cast<unsigned char>(c) < ' ' || c == '\x7f';
}

std::string escaped(char c)
{
    constexpr std::string_view digits = "0123456789abcdef";
    const auto code = static_cast<unsigned char>(c);
    return std::string("\\x") + digits[code >> 4] + digits[code & 0xf];
}

std::string quoted(const std::string &name)
{
    if (isPlain(name))
        return name;
    std::string text = "\"";
    for (const char c : name) {
        if (c == '"' || c == '\\')
            text += '\\';
        text += isControl(c) ? escaped(c) : std::string(1, c);
    }
    return text + '"';
}

std::string editsText(const std::vector<std::string> &edits)
{
    std::string text;
    if (!edits.empty())
        text += "edits:\n";
    for (const std::string &edit : edits)
        text += "  - " + quoted(edit) + "\n";
    return text;
}

} // namespace

std::string describe(const ListErrors &errors)
{
    std::string text;
    for (const ListError &error : errors)
        text += describe(error.error, error.key) + "\n";
    return text;
}

std::string toText(const PlansPart &part)
{
    std::string text = "customerParts: " + std::to_string(part.customerParts) + "\n";
    text += part.plans.empty() ? "plans: {}\n" : "plans:\n";
    for (const auto &[id, plan] : part.plans) {
        text += "  " + quoted(id.value()) + ":\n";
        for (const PlanField &field : planFields(plan))
            text += "    " + field.name + ": " + field.value + "\n";
    }
    return text + editsText(part.edits);
}

std::string toText(const CustomersPart &part)
{
    std::string text = part.customers.empty() ? "customers: {}\n" : "customers:\n";
    for (const auto &[id, entry] : part.customers)
        text += "  " + quoted(id.value()) + ": " + quoted(entry.plan.value()) + "\n";
    return text + editsText(part.edits);
}

std::uint32_t partOf(const CustomerId &customer, std::uint32_t parts)
{
    std::uint64_t value = 14695981039346656037ULL;
    for (const char c : customer.value()) {
        value ^= static_cast<unsigned char>(c);
        value *= 1099511628211ULL;
    }
    return static_cast<std::uint32_t>((value ^ (value >> 32)) % std::max(parts, 1U));
}

std::string customersKey(std::uint32_t part)
{
    return std::string(customersPrefix) + std::to_string(part);
}

} // namespace fescuespring
