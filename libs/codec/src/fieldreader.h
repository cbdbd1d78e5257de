#pragma once

#include "base/result.h"
#include "base/types.h"
#include "messages/upstream.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuespring::detail {

class FieldReader;

// The error in a value; nullopt if the value is valid. The field of the error is relative to the
// value.
using Fault = std::optional<Error>;

Fault invalid(std::string message);

// Returns "outer.inner", or "outer[2]" if inner is an index.
std::string joinPath(std::string_view outer, std::string_view inner);

Fault readValue(const boost::json::value &value, bool &target);
Fault readValue(const boost::json::value &value, std::string &target);
Fault readValue(const boost::json::value &value, std::uint16_t &target);
Fault readValue(const boost::json::value &value, std::uint32_t &target);
Fault readValue(const boost::json::value &value, std::uint64_t &target);
Fault readValue(const boost::json::value &value, std::chrono::milliseconds &target);

// Nested structs. Other types need an overload of readFields in this namespace.
void readFields(FieldReader &reader, LogPoint &point);
void readFields(FieldReader &reader, TermStart &step);
void readFields(FieldReader &reader, Endpoint &endpoint);

template <typename T>
requires requires(FieldReader &reader, T &target)
{
    readFields(reader, target);
}
Fault readValue(const boost::json::value &value, T &target);

template <typename Tag>
Fault readValue(const boost::json::value &value, Name<Tag> &target)
{
    std::string text;
    Fault fault = readValue(value, text);
    target = Name<Tag>(std::move(text));
    return fault;
}

template <typename Tag>
Fault readValue(const boost::json::value &value, Number<Tag> &target)
{
    std::uint64_t number = 0;
    Fault fault = readValue(value, number);
    target = Number<Tag>(number);
    return fault;
}

template <typename T>
Fault readValue(const boost::json::value &value, std::optional<T> &target)
{
    return readValue(value, target.emplace());
}

template <typename T>
Fault readValue(const boost::json::value &value, std::vector<T> &target)
{
    if (!value.is_array())
        return invalid("must be an array");
    target.reserve(value.get_array().size());
    for (const boost::json::value &element : value.get_array()) {
        Fault fault = readValue(element, target.emplace_back());
        if (!fault)
            continue;
        fault->field = joinPath("[" + std::to_string(target.size() - 1) + "]", fault->field);
        return fault;
    }
    return {};
}

// Reads the fields of one JSON object into the members of a struct. Reading stops at the first
// fault.
//
//     FieldReader reader(object);
//     reader.required("term", call.term);
//     reader.optional("token", call.token);
//     return reader.fault();
class FieldReader
{
public:
    // The object must outlive the reader.
    explicit FieldReader(const boost::json::object &object);

    template <typename T>
    void required(std::string_view name, T &target)
    {
        if (const boost::json::value *value = find(name, true))
            recordFault(name, readValue(*value, target));
    }

    template <typename T>
    void optional(std::string_view name, T &target)
    {
        if (const boost::json::value *value = find(name, false))
            recordFault(name, readValue(*value, target));
    }

    // The same for enumerators; fromString finds one by its name.
    template <typename Enum>
    void required(std::string_view name, Enum &target,
                  std::optional<Enum> (*fromString)(std::string_view))
    {
        if (const boost::json::value *value = find(name, true))
            recordFault(name, readEnum(*value, target, fromString));
    }

    template <typename Enum>
    void optional(std::string_view name, Enum &target,
                  std::optional<Enum> (*fromString)(std::string_view))
    {
        if (const boost::json::value *value = find(name, false))
            recordFault(name, readEnum(*value, target, fromString));
    }

    // Records a fault of the field with this message if holds is false.
    void expect(bool holds, std::string_view name, std::string message);

    // Records a fault for the first field that was neither required nor optional.
    void refuseUnknownFields();

    Fault fault() const
    {
        return m_fault;
    }

private:
    const boost::json::value *find(std::string_view name, bool isRequired);
    void recordFault(std::string_view name, Fault fault);

    template <typename Enum>
    static Fault readEnum(const boost::json::value &value, Enum &target,
                          std::optional<Enum> (*fromString)(std::string_view))
    {
        std::string text;
        if (Fault fault = readValue(value, text))
            return fault;
        const std::optional<Enum> found = fromString(text);
        if (!found)
            return invalid("is not a known value");
        target = *found;
        return {};
    }

    const boost::json::object &m_object;
    std::vector<std::string_view> m_knownFields;
    Fault m_fault;
};

template <typename T>
requires requires(FieldReader &reader, T &target)
{
    readFields(reader, target);
}
Fault readValue(const boost::json::value &value, T &target)
{
    if (!value.is_object())
        return invalid("must be an object");
    FieldReader reader(value.get_object());
    readFields(reader, target);
    return reader.fault();
}

} // namespace fescuespring::detail
