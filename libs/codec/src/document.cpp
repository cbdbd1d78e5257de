#include "document.h"

#include <boost/json/error.hpp>
#include <boost/json/monotonic_resource.hpp>
#include <boost/json/parser.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <exception>

namespace fescuespring::detail {

namespace json = boost::json;

namespace {

// Size of each stack buffer; enough to parse a typical request without heap allocations.
constexpr std::size_t stackBufferBytes = 4096;

Error parseError(const json::error_code &code, std::size_t offset, const DecodeLimits &limits)
{
    if (code == json::error::too_deep) {
        return Error{.code = ErrorCode::TooLarge,
                     .message = "nested deeper than " + std::to_string(limits.depth)};
    }
    return Error{.code = ErrorCode::Malformed,
                 .message =
                         "invalid JSON at byte " + std::to_string(offset) + ": " + code.message()};
}

Fault readParsed(const json::value &value, const std::function<Fault(const json::object &)> &read)
{
    if (!value.is_object())
        return Error{.code = ErrorCode::Malformed, .message = "must be a JSON object"};
    return read(value.get_object());
}

Fault parseAndRead(std::string_view text, const DecodeLimits &limits,
                   const std::function<Fault(const json::object &)> &read)
{
    std::array<unsigned char, stackBufferBytes> values;
    std::array<unsigned char, stackBufferBytes> scratch;
    json::monotonic_resource resource(values.data(), values.size());
    json::parse_options options;
    options.max_depth = limits.depth;
    json::parser parser(json::storage_ptr(), options, scratch.data(), scratch.size());
    parser.reset(&resource);
    json::error_code code;
    const std::size_t offset = parser.write(text.data(), text.size(), code);
    if (code)
        return parseError(code, offset, limits);
    return readParsed(parser.release(), read);
}

} // namespace

Fault readDocument(std::string_view text, const DecodeLimits &limits,
                   const std::function<Fault(const json::object &)> &read)
{
    if (text.size() > limits.bytes) {
        return Error{.code = ErrorCode::TooLarge,
                     .message = "longer than " + std::to_string(limits.bytes) + " bytes"};
    }
    try {
        return parseAndRead(text, limits, read);
    } catch (const std::exception &exception) {
        return Error{.code = ErrorCode::Internal, .message = exception.what()};
    }
}

std::string encodeDocument(const json::object &object)
{
    return json::serialize(object);
}

} // namespace fescuespring::detail
