#include "jsoncpptext.h"

#include <exception>
#include <memory>

namespace fescuespring::detail {

namespace {

Json::CharReaderBuilder makeReaderBuilder()
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["strictRoot"] = false;
    builder["stackLimit"] = maximumRpcDepth;
    return builder;
}

Json::StreamWriterBuilder makeWriterBuilder()
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return builder;
}

} // namespace

bool parseJson(const char *begin, const char *end, Json::Value &value)
{
    static const Json::CharReaderBuilder builder = makeReaderBuilder();
    try {
        const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
        return reader->parse(begin, end, &value, nullptr);
    } catch (const std::exception &) {
        return false;
    }
}

std::string writeJson(const Json::Value &value)
{
    static const Json::StreamWriterBuilder builder = makeWriterBuilder();
    return Json::writeString(builder, value);
}

} // namespace fescuespring::detail
