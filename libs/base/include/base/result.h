#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

#include <string>

namespace fescuespring {

// What went wrong, for code that has to choose what to do next.
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

// An error as a value. Field and line are set where the error is about one place of an input; line
// counts from 1, 0 means unknown.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string message;
    std::string field = {};
    int line = 0;
};

// Short lower-case name of a code, for logs and counters.
const char *toString(ErrorCode code);

// "file:line: field: message", as much of it as the error holds.
std::string describe(const Error &error, const std::string &file = {});

// A value or an Error. Reading the side that is not there is a broken invariant and terminates.
template <typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

} // namespace fescuespring
