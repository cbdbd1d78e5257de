#pragma once

#include "base/result.h"
#include "codec/decodelimits.h"
#include "messages/vmstatus.h"

#include <string>
#include <string_view>

namespace fescuespring {

// JSON encoding of a VM's answers to operators.
//
//     const Result<VmStatus> status = decodeVmStatus(body, {.bytes = operatorAnswerBytes});
//
// Unknown fields are ignored. A field that an older VM does not send keeps its default; a few
// fields, such as vm and group, are required. No function throws; errors are those of
// codec/requestcodec.h.

// A status lists all groups, so it may be longer than other messages.
constexpr std::size_t operatorAnswerBytes = std::size_t{4} * 1024 * 1024;

Result<VmStatus> decodeVmStatus(std::string_view text,
                                const DecodeLimits &limits = {.bytes = operatorAnswerBytes});
std::string encodeVmStatus(const VmStatus &status);

Result<RouteAnswer> decodeRouteAnswer(std::string_view text, const DecodeLimits &limits = {});
std::string encodeRouteAnswer(const RouteAnswer &answer);

} // namespace fescuespring
