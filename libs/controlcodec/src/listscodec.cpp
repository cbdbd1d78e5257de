#include "controlcodec/listscodec.h"

#include "jsondecode.h"

namespace json = boost::json;

namespace fescuespring {

namespace {

StoredObject objectOf(const json::object &object)
{
    return {.key = std::string(object.at("key").as_string()),
            .version = ObjectVersion(object.at("version").to_number<std::uint64_t>()),
            .value = std::string(object.at("value").as_string())};
}

} // namespace

std::string encodeListsRequest(const ListsRequest &request)
{
    json::object known;
    for (const auto &[key, version] : request.known.versions)
        known[key] = version.value();
    return json::serialize(json::object{{"known", std::move(known)}});
}

Result<ListsRequest> decodeListsRequest(std::string_view text)
{
    return decodeObjectWith<ListsRequest>(text, [](const json::object &object) {
        ListsRequest request;
        for (const auto &known : object.at("known").as_object()) {
            request.known.versions.emplace(std::string(known.key()),
                                           known.value().to_number<std::uint64_t>());
        }
        return request;
    });
}

std::string encodeListsAnswer(const ListsAnswer &answer)
{
    json::array newer;
    for (const StoredObject &object : answer.newer) {
        newer.push_back(json::object{
                {"key", object.key}, {"version", object.version.value()}, {"value", object.value}});
    }
    return json::serialize(json::object{{"newer", std::move(newer)},
                                        {"version", answer.mark.version.value()},
                                        {"digest", answer.mark.digest}});
}

Result<ListsAnswer> decodeListsAnswer(std::string_view text)
{
    return decodeObjectWith<ListsAnswer>(text, [](const json::object &object) {
        ListsAnswer answer;
        for (const json::value &element : object.at("newer").as_array())
            answer.newer.push_back(objectOf(element.as_object()));
        answer.mark.version = ObjectVersion(object.at("version").to_number<std::uint64_t>());
        answer.mark.digest = object.at("digest").to_number<std::uint32_t>();
        return answer;
    });
}

} // namespace fescuespring
