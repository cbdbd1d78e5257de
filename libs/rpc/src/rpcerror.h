#pragma once

#include "base/result.h"

#include <jsoncpp/json/json.h>

namespace fescuespring::detail {

// JSON-RPC code of every error returned by a method; data holds the actual error. Distinct from the
// codes for which libjsonrpccpp has its own messages.
constexpr int methodErrorCode = -32050;

// Code defined by JSON-RPC.
constexpr int methodNotFoundCode = -32601;

// Encodes the error of a method as the data of a JSON-RPC error.
Json::Value errorData(const Error &error);

// Decodes a JSON-RPC error.
Error errorFromReply(const Json::Value &error);

} // namespace fescuespring::detail
