#include "base/result.h"

namespace fescuespring {

const char *toString(ErrorCode code)
{
    switch (code) {
    case ErrorCode::Malformed:
        return "malformed";
    case ErrorCode::MissingField:
        return "missing-field";
    case ErrorCode::UnknownField:
        return "unknown-field";
    case ErrorCode::InvalidField:
        return "invalid-field";
    case ErrorCode::TooLarge:
        return "too-large";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::NotFound:
        return "not-found";
    case ErrorCode::Timeout:
        return "timeout";
    case ErrorCode::Unreachable:
        return "unreachable";
    case ErrorCode::ConnectionLost:
        return "connection-lost";
    case ErrorCode::Refused:
        return "refused";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Internal:
        return "internal";
    }
    return "internal";
}

std::string describe(const Error &error, const std::string &file)
{
    std::string text = file;
    if (error.line > 0)
        text += (text.empty() ? "line " : ":") + std::to_string(error.line);
    if (!text.empty())
        text += ": ";
    if (!error.field.empty())
        text += error.field + ": ";
    return text + error.message;
}

} // namespace fescuespring
