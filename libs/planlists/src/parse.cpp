#include "planlists/listtext.h"

#include "base/nearestname.h"
#include "yamltext/onedocument.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <functional>
#include <optional>
#include <set>

namespace fescuespring {

namespace {

constexpr std::size_t maximumNameLength = 128;

// Parses one object; collects errors with their lines.
class Parser
{
public:
    Parser(std::string key, ListErrors &errors)
        : m_key(std::move(key))
        , m_errors(errors)
    {}

    using Entry = std::function<void(const std::string &name, const YAML::Node &key,
                                     const YAML::Node &value)>;

    // The top-level map of the text; nothing if it cannot be parsed.
    std::optional<YAML::Node> load(const std::string &text)
    {
        if (text.size() > maximumObjectSize) {
            m_errors.push_back({m_key,
                                {ErrorCode::TooLarge,
                                 "larger than " + std::to_string(maximumObjectSize) + " bytes"}});
            return std::nullopt;
        }
        if (const Result<void> checked = checkOneDocument(text); !checked) {
            m_errors.push_back({m_key, checked.error()});
            return std::nullopt;
        }
        try {
            YAML::Node top = YAML::Load(text);
            if (top.IsMap())
                return top;
            add(ErrorCode::Malformed, top, "", "must be a map");
        } catch (const YAML::Exception &exception) {
            m_errors.push_back({m_key,
                                {ErrorCode::Malformed, "is not valid YAML: " + exception.msg, "",
                                 exception.mark.line + 1}});
        }
        return std::nullopt;
    }

    // Visits a map's entries; duplicate and invalid names are errors.
    void visit(const YAML::Node &map, const std::string &field, const Entry &entry)
    {
        if (map.IsNull())
            return;
        if (!map.IsMap()) {
            add(ErrorCode::InvalidField, map, field, "must be a map");
            return;
        }
        std::set<std::string> seen;
        for (const auto &item : map) {
            const std::string name = item.first.IsScalar() ? item.first.Scalar() : "";
            std::string path = field;
            path += (field.empty() ? "" : ".") + name;
            if (!isName(name))
                add(ErrorCode::InvalidField, item.first, field,
                    "must have a name of 1 to 128 printable characters");
            else if (!seen.insert(name).second)
                add(ErrorCode::InvalidField, item.first, path, "is a duplicate");
            else
                entry(name, item.first, item.second);
        }
    }

    // The text of a scalar; adds an error and returns nothing if the node is not a scalar.
    std::optional<std::string> scalar(const YAML::Node &node, const std::string &field)
    {
        if (node.IsScalar())
            return node.Scalar();
        add(ErrorCode::InvalidField, node, field, "must be a scalar");
        return std::nullopt;
    }

    std::vector<std::string> edits(const YAML::Node &node)
    {
        std::vector<std::string> edits;
        if (!node.IsSequence()) {
            add(ErrorCode::InvalidField, node, "edits", "must be a list");
            return edits;
        }
        for (const YAML::Node &item : node) {
            if (const std::optional<std::string> edit = scalar(item, "edits"))
                edits.push_back(*edit);
        }
        return edits;
    }

    void unknownField(const YAML::Node &node, const std::string &name,
                      const std::vector<std::string> &known)
    {
        add(ErrorCode::UnknownField, node, name, "unknown field" + suggestion(name, known));
    }

    void add(ErrorCode code, const YAML::Node &node, const std::string &field,
             const std::string &message)
    {
        m_errors.push_back({m_key, {code, message, field, lineOf(node)}});
    }

    void add(const YAML::Node &node, const std::string &path, Error error)
    {
        error.field = path.empty() ? error.field : path + "." + error.field;
        error.line = lineOf(node);
        m_errors.push_back({m_key, std::move(error)});
    }

    static int lineOf(const YAML::Node &node)
    {
        return node.Mark().line + 1;
    }

private:
    static bool isName(const std::string &name)
    {
        const auto isPrintable = [](char c) {
            return static_cast<unsigned char>(c) >= ' ';
        };
        return !name.empty() && name.size() <= maximumNameLength
               && std::all_of(name.begin(), name.end(), isPrintable);
    }

    std::string m_key;
    ListErrors &m_errors;
};

void parsePlan(Parser &parser, const std::string &path, const YAML::Node &node, Plan &plan)
{
    parser.visit(node, path,
                 [&](const std::string &name, const YAML::Node &key, const YAML::Node &value) {
                     const std::optional<std::string> text =
                             parser.scalar(value, path + "." + name);
                     if (!text)
                         return;
                     const Result<void> set = setPlanField(plan, name, *text);
                     if (!set)
                         parser.add(key, path, set.error());
                 });
}

std::uint32_t parseParts(Parser &parser, const YAML::Node &node)
{
    const std::string text = node.IsScalar() ? node.Scalar() : "";
    std::uint32_t parts = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, parts);
    if (error == std::errc() && rest == end && parts >= 1 && parts <= maximumCustomerParts)
        return parts;
    parser.add(ErrorCode::InvalidField, node, "customerParts",
               "must be a whole number from 1 to " + std::to_string(maximumCustomerParts));
    return 1;
}

} // namespace

PlansPart parsePlans(const std::string &text, ListErrors &errors)
{
    PlansPart part;
    Parser parser{std::string(plansKey), errors};
    const std::optional<YAML::Node> top = parser.load(text);
    if (!top)
        return part;
    bool hasPlans = false;
    parser.visit(
            *top, "", [&](const std::string &name, const YAML::Node &key, const YAML::Node &value) {
                if (name == "plans") {
                    hasPlans = true;
                    parser.visit(
                            value, "plans",
                            [&](const std::string &id, const YAML::Node &, const YAML::Node &plan) {
                                parsePlan(parser, "plans." + id, plan, part.plans[PlanId(id)]);
                            });
                } else if (name == "customerParts") {
                    part.customerParts = parseParts(parser, value);
                } else if (name == "edits") {
                    part.edits = parser.edits(value);
                } else {
                    parser.unknownField(key, name, {"plans", "customerParts", "edits"});
                }
            });
    if (!hasPlans)
        parser.add(ErrorCode::MissingField, *top, "plans", "is missing");
    return part;
}

CustomersPart parseCustomers(const std::string &key, const std::string &text, ListErrors &errors)
{
    CustomersPart part;
    Parser parser(key, errors);
    const std::optional<YAML::Node> top = parser.load(text);
    if (!top)
        return part;
    bool hasCustomers = false;
    const auto addCustomer = [&](const std::string &id, const YAML::Node &node,
                                 const YAML::Node &value) {
        if (const std::optional<std::string> plan = parser.scalar(value, "customers." + id))
            part.customers[CustomerId(id)] = {PlanId(*plan), Parser::lineOf(node)};
    };
    parser.visit(*top, "",
                 [&](const std::string &name, const YAML::Node &node, const YAML::Node &value) {
                     if (name == "customers") {
                         hasCustomers = true;
                         parser.visit(value, "customers", addCustomer);
                     } else if (name == "edits") {
                         part.edits = parser.edits(value);
                     } else {
                         parser.unknownField(node, name, {"customers", "edits"});
                     }
                 });
    if (!hasCustomers)
        parser.add(ErrorCode::MissingField, *top, "customers", "is missing");
    return part;
}

} // namespace fescuespring
