#pragma once

#include <string>

#include <jsoncpp/json/json.h>

// Must be valid C++14, since src/clientlibrary.cpp includes it.
namespace fescuespring {
namespace detail {

// Maximum nesting depth that is parsed.
constexpr int maximumRpcDepth = 32;

// Parses the whole text into value; false if it is not JSON or nested too deeply. Does not throw.
bool parseJson(const char *begin, const char *end, Json::Value &value);

std::string writeJson(const Json::Value &value);

} // namespace detail
} // namespace fescuespring
