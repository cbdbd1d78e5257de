#include "standinsupport/faultfields.h"

#include <boost/json.hpp>

#include <algorithm>
#include <limits>

namespace json = boost::json;

namespace fescuespring {

namespace {

std::optional<std::uint64_t> wholeNumber(const json::value &value)
{
    boost::system::error_code error;
    const auto number = value.to_number<std::uint64_t>(error);
    if (error || value.is_double())
        return std::nullopt;
    return number;
}

// Puts a JSON value into the target at hand; false where its type is wrong.
struct Setter
{
    const json::value &value;

    bool operator()(bool *target) const
    {
        if (value.is_bool())
            *target = value.get_bool();
        return value.is_bool();
    }

    bool operator()(double *target) const
    {
        boost::system::error_code error;
        const auto number = value.to_number<double>(error);
        if (error || number < 0)
            return false;
        *target = number;
        return true;
    }

    bool operator()(Duration *target) const
    {
        constexpr std::uint64_t maximumMs = 86'400'000;
        const auto number = wholeNumber(value);
        if (!number || *number > maximumMs)
            return false;
        *target = std::chrono::milliseconds(*number);
        return true;
    }

    bool operator()(std::uint64_t *target) const
    {
        const auto number = wholeNumber(value);
        *target = number.value_or(*target);
        return number.has_value();
    }

    bool operator()(std::optional<std::uint32_t> *target) const
    {
        target->reset();
        if (value.is_null())
            return true;
        const auto number = wholeNumber(value);
        if (!number || *number > std::numeric_limits<std::uint32_t>::max())
            return false;
        *target = static_cast<std::uint32_t>(*number);
        return true;
    }

    bool operator()(std::set<std::string> *target) const
    {
        if (!value.is_array())
            return false;
        std::set<std::string> names;
        for (const json::value &name : value.get_array()) {
            if (!name.is_string())
                return false;
            names.emplace(name.get_string());
        }
        *target = std::move(names);
        return true;
    }
};

// The JSON value of the target at hand.
struct Printer
{
    json::value operator()(const bool *target) const
    {
        return *target;
    }

    json::value operator()(const double *target) const
    {
        return *target;
    }

    json::value operator()(const Duration *target) const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(*target).count();
    }

    json::value operator()(const std::uint64_t *target) const
    {
        return *target;
    }

    json::value operator()(const std::optional<std::uint32_t> *target) const
    {
        return *target ? json::value(**target) : json::value();
    }

    json::value operator()(const std::set<std::string> *target) const
    {
        json::array names;
        for (const std::string &name : *target)
            names.emplace_back(name);
        return names;
    }
};

std::string nameOf(json::string_view key)
{
    return {key.data(), key.size()};
}

} // namespace

std::optional<Error> readFaults(std::string_view body, std::span<const FaultField> fields)
{
    boost::system::error_code error;
    const json::value document = json::parse({body.data(), body.size()}, error);
    if (error || !document.is_object())
        return Error{ErrorCode::Malformed, "body is no JSON object"};
    for (const auto &member : document.get_object()) {
        const std::string name = nameOf(member.key());
        const auto field =
                std::find_if(fields.begin(), fields.end(), [&name](const FaultField &candidate) {
                    return candidate.name == name;
                });
        if (field == fields.end())
            return Error{ErrorCode::UnknownField, "unknown fault", name};
        if (!std::visit(Setter{member.value()}, field->target))
            return Error{ErrorCode::InvalidField, "wrong type or out of range", name};
    }
    return std::nullopt;
}

std::string faultsText(std::span<const FaultField> fields)
{
    json::object document;
    for (const FaultField &field : fields)
        document[json::string_view(field.name.data(), field.name.size())] =
                std::visit(Printer{}, field.target);
    return json::serialize(document);
}

} // namespace fescuespring
