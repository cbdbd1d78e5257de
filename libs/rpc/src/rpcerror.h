#pragma once

#include "base/result.h"

#include <jsoncpp/json/json.h>

namespace fescuespring::detail {

// JSON-RPC code of every error that a method returned; data holds which one it was. None of the
// codes that libjsonrpccpp has a message of its own for.
constexpr int methodErrorCode = -32050;

// JSON-RPC's own code.
constexpr int methodNotFoundCode = -32601;

// An error of a method for the data of a JSON-RPC error.
Json::Value errorData(const Error &error);

// The Error that a JSON-RPC error stands for.
Error errorFromReply(const Json::Value &error);

} // namespace fescuespring::detail
