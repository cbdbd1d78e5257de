#pragma once

#include "base/result.h"
#include "codec/decodelimits.h"
#include "messages/upstream.h"

#include <string>
#include <string_view>

namespace fescuespring {

// JSON of what crosses the connections to a database: calls on database connections, and status,
// fence, promote and follow on management connections.
//
//     send("/v1/fence", encodeFenceCall({.term = Term(7)}));
//     const Result<DatabaseStatus> status = decodeDatabaseStatus(answer);
//     if (status && status.value().term == Term(7))
//         countFenced(status.value().database);
//
// Unknown fields are ignored and every field must be there, but for those named below. No function
// throws; errors are those of codec/requestcodec.h.

// A history whose terms or starts do not rise strictly is refused.
Result<DatabaseStatus> decodeDatabaseStatus(std::string_view text, const DecodeLimits &limits = {});
std::string encodeDatabaseStatus(const DatabaseStatus &status);

Result<StatementCall> decodeStatementCall(std::string_view text, const DecodeLimits &limits = {});
std::string encodeStatementCall(const StatementCall &call);

// result and repeated may be left out; term and point only where the call was refused, which needs
// a refusal.
Result<StatementAnswer> decodeStatementAnswer(std::string_view text,
                                              const DecodeLimits &limits = {});
std::string encodeStatementAnswer(const StatementAnswer &answer);

// The answer to opening a database connection, of which only outcome and refusal count.
Result<StatementAnswer> decodeOpenAnswer(std::string_view text, const DecodeLimits &limits = {});
std::string encodeOpenAnswer(const StatementAnswer &answer);

Result<FenceCall> decodeFenceCall(std::string_view text, const DecodeLimits &limits = {});
std::string encodeFenceCall(const FenceCall &call);

Result<PromoteCall> decodePromoteCall(std::string_view text, const DecodeLimits &limits = {});
std::string encodePromoteCall(const PromoteCall &call);

// The endpoint needs an ip that is not empty and a port from 1 to 65535.
Result<FollowCall> decodeFollowCall(std::string_view text, const DecodeLimits &limits = {});
std::string encodeFollowCall(const FollowCall &call);

} // namespace fescuespring
