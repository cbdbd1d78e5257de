#pragma once

#include <string>

#include <jsoncpp/json/json.h>

// The client of libjsonrpccpp behind a function that any standard can call; plain C++14, as the
// library's client headers compile in nothing later.
namespace fescuespring {
namespace detail {

// The text of a call of method with parameters that were parsed before. Answers are not read by the
// library: its functions promise to throw one kind of exception only, so that another kind, as of
// text that is nested too deep, would end the process.
std::string buildRequest(const std::string &method, const Json::Value &params);

} // namespace detail
} // namespace fescuespring
