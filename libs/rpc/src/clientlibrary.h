#pragma once

#include <string>

#include <jsoncpp/json/json.h>

// Wraps the client of libjsonrpccpp for callers of any language standard. Must be valid C++14,
// since the library's client headers do not compile as anything later.
namespace fescuespring {
namespace detail {

// The JSON-RPC request for method with parsed parameters. Responses are not decoded by the library:
// its exception specifications allow only one type, so any other exception, such as that for text
// nested too deeply, would terminate the process.
std::string buildRequest(const std::string &method, const Json::Value &params);

} // namespace detail
} // namespace fescuespring
