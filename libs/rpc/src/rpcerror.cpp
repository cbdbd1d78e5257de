#include "rpcerror.h"

#include <string>

namespace fescuespring::detail {

namespace {

ErrorCode codeFromName(const std::string &name)
{
    for (int code = 0; code < static_cast<int>(ErrorCode::Internal); ++code) {
        if (name == toString(static_cast<ErrorCode>(code)))
            return static_cast<ErrorCode>(code);
    }
    return ErrorCode::Internal;
}

std::string textOf(const Json::Value &object, const char *key)
{
    const Json::Value &value = object[key];
    return value.isString() ? value.asString() : std::string();
}

int numberOf(const Json::Value &object, const char *key)
{
    const Json::Value &value = object[key];
    return value.isInt() ? value.asInt() : 0;
}

Error errorFromData(const Json::Value &data)
{
    return Error{.code = codeFromName(textOf(data, "code")),
                 .message = textOf(data, "message"),
                 .field = textOf(data, "field"),
                 .line = numberOf(data, "line")};
}

} // namespace

Json::Value errorData(const Error &error)
{
    Json::Value data(Json::objectValue);
    data["code"] = toString(error.code);
    data["message"] = error.message;
    data["field"] = error.field;
    data["line"] = error.line;
    return data;
}

Error errorFromReply(const Json::Value &error)
{
    const int code = numberOf(error, "code");
    if (code == methodErrorCode && error["data"].isObject())
        return errorFromData(error["data"]);
    if (code == methodNotFoundCode) {
        return Error{.code = ErrorCode::NotFound,
                     .message = textOf(error, "message"),
                     .field = "method"};
    }
    return Error{.code = ErrorCode::Refused, .message = textOf(error, "message")};
}

} // namespace fescuespring::detail
