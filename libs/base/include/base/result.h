#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

#include <string>

namespace fescuespring {

// Category of an error, for code that reacts differently to different errors.
enum class ErrorCode {
    Malformed,
    MissingField,
    UnknownField,
    InvalidField,
    TooLarge,
    Conflict,
    NotFound,
    Timeout,
    Unreachable,
    ConnectionLost,
    Refused,
    Unavailable,
    Internal,
};

// An error as a value. Field and line are set if the error concerns one place of an input; lines
// count from 1, 0 means unknown.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string message;
    std::string field = {};
    int line = 0;
};

// Short lower-case name of a code, for logs and counters.
const char *toString(ErrorCode code);

// Formats "file:line: field: message", omitting the parts that are not set.
std::string describe(const Error &error, const std::string &file = {});

// A value or an Error. Accessing the one that is not present terminates the process.
template <typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

} // namespace fescuespring
