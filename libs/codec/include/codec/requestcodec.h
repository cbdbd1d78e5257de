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

// JSON encoding of the requests and answers of callers, on the callers' port and between VMs.
//
//     const Result<CallerRequest> request = decodeCallerRequest(body);
//     if (!request)
//         return refuse(Reason::Malformed, describe(request.error()));
//     const CallerAnswer answer = serve(request.value());
//     respond(encodeCallerAnswer(answer));
//
// Fields are named as in the structs, times are integer milliseconds with the suffix Ms, and
// enumerators are encoded by their toString names. No function throws. Errors contain the path of
// the field, such as "statements[2]"; the code is Malformed for text that is not a JSON object,
// TooLarge beyond the limits, otherwise MissingField, UnknownField or InvalidField.

// Limits of callers' requests.
constexpr std::chrono::milliseconds minimumDeadline{1};
constexpr std::chrono::milliseconds maximumDeadline = std::chrono::minutes(10);
constexpr std::chrono::milliseconds maximumRequestAge = std::chrono::days(365);
constexpr std::size_t maximumStatements = 64;

// Maximum length of a customer, session, group or request id.
constexpr std::size_t maximumNameBytes = 256;

// Strict: all fields must be known, of the right type and within limits. Required are customer,
// session, group, access, statements, id and deadlineMs. A write must not have maximumAgeMs.
Result<CallerRequest> decodeCallerRequest(std::string_view text, const DecodeLimits &limits = {});
std::string encodeCallerRequest(const CallerRequest &request);

// Ignores unknown fields.
Result<CallerAnswer> decodeCallerAnswer(std::string_view text, const DecodeLimits &limits = {});
std::string encodeCallerAnswer(const CallerAnswer &answer);

// A caller's request that one VM forwards to another.
struct ForwardedRequest
{
    CallerRequest request;

    // 1 when forwarded to the owner in the data centre of entry, 2 to an owner in another one.
    std::uint32_t hop = 1;
};

constexpr std::uint32_t maximumHops = 2;

// Like decodeCallerRequest, with the additional field hop, but ignores unknown fields.
Result<ForwardedRequest> decodeForwardedRequest(std::string_view text,
                                                const DecodeLimits &limits = {});
std::string encodeForwardedRequest(const ForwardedRequest &forwarded);

} // namespace fescuespring
