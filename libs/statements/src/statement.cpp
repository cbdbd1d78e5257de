#include "statements/statement.h"

#include <array>
#include <cstddef>

namespace fescuespring {

namespace {

constexpr std::array kindNames{"begin", "begin-read-only", "commit",  "rollback", "read",
                               "write", "set-value",       "prepare", "execute",  "deallocate",
                               "reset", "status",          "pause",   "resume",   "demote"};

constexpr std::array failureNames{"none",      "busy",           "aborted",  "lagging",
                                  "read-only", "wrong-database", "overload", "unknown-prepared",
                                  "malformed", "unknown-route",  "failed",   "timeout",
                                  "in-doubt",  "unauthorized"};

} // namespace

const char *toString(StatementKind kind)
{
    return kindNames[static_cast<std::size_t>(kind)];
}

const char *toString(StatementFailure failure)
{
    return failureNames[static_cast<std::size_t>(failure)];
}

bool meansNotRun(StatementFailure failure)
{
    switch (failure) {
    case StatementFailure::Busy:
    case StatementFailure::Lagging:
    case StatementFailure::ReadOnly:
    case StatementFailure::WrongDatabase:
    case StatementFailure::Overload:
    case StatementFailure::UnknownPrepared:
    case StatementFailure::Unauthorized:
        return true;
    default:
        return false;
    }
}

} // namespace fescuespring
