#pragma once

#include <string>

#include <jsoncpp/json/json.h>

// Plain C++14, as src/clientlibrary.cpp includes it.
namespace fescuespring {
namespace detail {

// Deepest nesting that is parsed.
constexpr int maximumRpcDepth = 32;

// Parses text whole into value; false where it is no JSON or nested too deep. Does not throw.
bool parseJson(const char *begin, const char *end, Json::Value &value);

std::string writeJson(const Json::Value &value);

} // namespace detail
} // namespace fescuespring
