#pragma once

#include "base/result.h"
#include "codec/decodelimits.h"
#include "fieldreader.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/string_view.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuespring::detail {

// Parses text and passes its outermost object to read; the object is valid during that call only.
// Catches the exceptions of Boost.JSON.
Fault readDocument(std::string_view text, const DecodeLimits &limits,
                   const std::function<Fault(const boost::json::object &)> &read);

// Decodes text into a T; read sets its members from the fields.
template <typename T, typename Read>
Result<T> decodeDocument(std::string_view text, const DecodeLimits &limits, Read read)
{
    T target;
    Fault fault = readDocument(text, limits, [&](const boost::json::object &object) {
        FieldReader reader(object);
        read(reader, target);
        return reader.fault();
    });
    if (fault)
        return std::move(*fault);
    return target;
}

std::string encodeDocument(const boost::json::object &object);

// Converts a name to the string view of Boost.JSON.
template <typename Tag>
boost::json::string_view text(const Name<Tag> &name)
{
    return {name.value().data(), name.value().size()};
}

inline boost::json::string_view text(const std::string &value)
{
    return {value.data(), value.size()};
}

inline boost::json::array textArray(const std::vector<std::string> &values)
{
    boost::json::array array;
    array.reserve(values.size());
    for (const std::string &value : values)
        array.emplace_back(text(value));
    return array;
}

inline boost::json::object endpointObject(const Endpoint &endpoint)
{
    return {{"ip", text(endpoint.ip)}, {"port", std::uint64_t{endpoint.port}}};
}

// Returns an array of the objectArray that toObject makes of values.
template <typename T, typename ToObject>
boost::json::array objectArray(const std::vector<T> &values, ToObject toObject)
{
    boost::json::array array;
    array.reserve(values.size());
    for (const T &value : values)
        array.emplace_back(toObject(value));
    return array;
}

} // namespace fescuespring::detail
