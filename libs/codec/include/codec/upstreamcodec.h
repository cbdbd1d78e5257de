#pragma once

#include "base/result.h"
#include "codec/decodelimits.h"
#include "messages/upstream.h"

#include <string>
#include <string_view>

namespace fescuespring {

// JSON encoding of the messages exchanged with a database: calls on database connections, and
// status, fence, promote and follow on management connections.
//
//     send("/v1/fence", encodeFenceCall({.term = Term(7)}));
//     const Result<DatabaseStatus> status = decodeDatabaseStatus(answer);
//     if (status && status.value().term == Term(7))
//         countFenced(status.value().database);
//
// Unknown fields are ignored; all fields are required except those named below. No function throws;
// errors are those of codec/requestcodec.h.

// Refuses a history whose terms or starts do not increase strictly.
Result<DatabaseStatus> decodeDatabaseStatus(std::string_view text, const DecodeLimits &limits = {});
std::string encodeDatabaseStatus(const DatabaseStatus &status);

Result<StatementCall> decodeStatementCall(std::string_view text, const DecodeLimits &limits = {});
std::string encodeStatementCall(const StatementCall &call);

// result and repeated are optional. An answer with the outcome refused requires refusal, and only
// there are term and point optional.
Result<StatementAnswer> decodeStatementAnswer(std::string_view text,
                                              const DecodeLimits &limits = {});
std::string encodeStatementAnswer(const StatementAnswer &answer);

// The answer to opening a database connection; only outcome and refusal are read.
Result<StatementAnswer> decodeOpenAnswer(std::string_view text, const DecodeLimits &limits = {});
std::string encodeOpenAnswer(const StatementAnswer &answer);

Result<FenceCall> decodeFenceCall(std::string_view text, const DecodeLimits &limits = {});
std::string encodeFenceCall(const FenceCall &call);

Result<PromoteCall> decodePromoteCall(std::string_view text, const DecodeLimits &limits = {});
std::string encodePromoteCall(const PromoteCall &call);

// The endpoint must have a non-empty ip and a port from 1 to 65535.
Result<FollowCall> decodeFollowCall(std::string_view text, const DecodeLimits &limits = {});
std::string encodeFollowCall(const FollowCall &call);

} // namespace fescuespring
