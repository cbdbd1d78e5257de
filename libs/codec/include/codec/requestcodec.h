#pragma once

#include "base/result.h"
#include "codec/decodelimits.h"
#include "messages/request.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace fescuespring {

// JSON of the requests and answers of callers, on the caller's port and between VMs.
//
//     const Result<CallerRequest> request = decodeCallerRequest(body);
//     if (!request)
//         return refuse(Reason::Malformed, describe(request.error()));
//     const CallerAnswer answer = serve(request.value());
//     respond(encodeCallerAnswer(answer));
//
// Fields carry the names of the structs, times are whole milliseconds with the suffix Ms and
// enumerators are their toString names. No function throws. Errors name the field as a path, as in
// "statements[2]"; the code is Malformed for text that is no JSON object, TooLarge beyond the
// limits, else MissingField, UnknownField or InvalidField.

// Bounds of what a caller may ask for.
constexpr std::chrono::milliseconds minimumDeadline{1};
constexpr std::chrono::milliseconds maximumDeadline = std::chrono::minutes(10);
constexpr std::chrono::milliseconds maximumRequestAge = std::chrono::days(365);
constexpr std::size_t maximumStatements = 64;

// Longest customer, session, group or request id, in bytes.
constexpr std::size_t maximumNameBytes = 256;

// Strict: every field known, of the right type and in bounds; customer, session, group, access,
// statements, id and deadlineMs must be there. A write takes no maximumAgeMs.
Result<CallerRequest> decodeCallerRequest(std::string_view text, const DecodeLimits &limits = {});
std::string encodeCallerRequest(const CallerRequest &request);

// Ignores unknown fields.
Result<CallerAnswer> decodeCallerAnswer(std::string_view text, const DecodeLimits &limits = {});
std::string encodeCallerAnswer(const CallerAnswer &answer);

// A caller's request on its way from one VM to another.
struct ForwardedRequest
{
    CallerRequest request;

    // 1 on the way to the owner in the data centre of entry, 2 to an owner in another one.
    std::uint32_t hop = 1;
};

constexpr std::uint32_t maximumHops = 2;

// As decodeCallerRequest with the further field hop, but ignores unknown fields.
Result<ForwardedRequest> decodeForwardedRequest(std::string_view text,
                                                const DecodeLimits &limits = {});
std::string encodeForwardedRequest(const ForwardedRequest &forwarded);

} // namespace fescuespring
