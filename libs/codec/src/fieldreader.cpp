#include "fieldreader.h"

#include <algorithm>
#include <limits>

namespace fescuespring::detail {

namespace json = boost::json;

namespace {

// Maximum of all decoded times, to avoid overflows in microseconds.
constexpr std::chrono::milliseconds maximumTime = std::chrono::years(100);

Fault readInteger(const json::value &value, std::uint64_t maximum, std::uint64_t &target)
{
    if (!value.is_int64() && !value.is_uint64())
        return invalid("must be a whole number");
    if (value.is_int64() && value.get_int64() < 0)
        return invalid("must not be negative");
    target = value.is_uint64() ? value.get_uint64() : static_cast<std::uint64_t>(value.get_int64());
    if (target > maximum)
        return invalid("must be at most " + std::to_string(maximum));
    return {};
}

template <typename Unsigned>
Fault readUnsigned(const json::value &value, Unsigned &target)
{
    std::uint64_t number = 0;
    Fault fault = readInteger(value, std::numeric_limits<Unsigned>::max(), number);
    target = static_cast<Unsigned>(number);
    return fault;
}

} // namespace

Fault invalid(std::string message)
{
    return Error{.code = ErrorCode::InvalidField, .message = std::move(message)};
}

std::string joinPath(std::string_view outer, std::string_view inner)
{
    std::string path(outer);
    if (!inner.empty() && inner.front() != '[')
        path += '.';
    path += inner;
    return path;
}

Fault readValue(const json::value &value, bool &target)
{
    if (!value.is_bool())
        return invalid("must be true or false");
    target = value.get_bool();
    return {};
}

Fault readValue(const json::value &value, std::string &target)
{
    if (!value.is_string())
        return invalid("must be a string");
    target.assign(value.get_string().data(), value.get_string().size());
    return {};
}

Fault readValue(const json::value &value, std::uint16_t &target)
{
    return readUnsigned(value, target);
}

Fault readValue(const json::value &value, std::uint32_t &target)
{
    return readUnsigned(value, target);
}

Fault readValue(const json::value &value, std::uint64_t &target)
{
    return readUnsigned(value, target);
}

Fault readValue(const json::value &value, std::chrono::milliseconds &target)
{
    std::uint64_t number = 0;
    Fault fault = readInteger(value, maximumTime.count(), number);
    if (!fault)
        target = std::chrono::milliseconds(number);
    return fault;
}

void readFields(FieldReader &reader, LogPoint &point)
{
    reader.required("term", point.term);
    reader.required("position", point.position);
}

void readFields(FieldReader &reader, TermStart &step)
{
    reader.required("term", step.term);
    reader.required("start", step.start);
}

void readFields(FieldReader &reader, Endpoint &endpoint)
{
    reader.required("ip", endpoint.ip);
    reader.required("port", endpoint.port);
    reader.expect(!endpoint.ip.empty(), "ip", "must not be empty");
    reader.expect(endpoint.port != 0, "port", "must not be 0");
}

FieldReader::FieldReader(const json::object &object)
    : m_object(object)
{}

void FieldReader::expect(bool holds, std::string_view name, std::string message)
{
    if (!holds)
        recordFault(name, invalid(std::move(message)));
}

void FieldReader::refuseUnknownFields()
{
    if (m_fault)
        return;
    for (const json::key_value_pair &pair : m_object) {
        const std::string_view name(pair.key().data(), pair.key().size());
        if (std::find(m_knownFields.begin(), m_knownFields.end(), name) != m_knownFields.end())
            continue;
        recordFault(name,
                    Error{.code = ErrorCode::UnknownField, .message = "is not a known field"});
        return;
    }
}

const json::value *FieldReader::find(std::string_view name, bool isRequired)
{
    m_knownFields.push_back(name);
    if (m_fault)
        return nullptr;
    const json::value *value = m_object.if_contains(name);
    if (!value && isRequired)
        recordFault(name, Error{.code = ErrorCode::MissingField, .message = "is missing"});
    return value;
}

void FieldReader::recordFault(std::string_view name, Fault fault)
{
    if (!fault || m_fault)
        return;
    m_fault = std::move(fault);
    m_fault->field = joinPath(name, m_fault->field);
}

} // namespace fescuespring::detail
