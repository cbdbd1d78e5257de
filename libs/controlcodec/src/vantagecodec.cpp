#include "controlcodec/vantagecodec.h"

#include "jsondecode.h"

namespace json = boost::json;

namespace fescuespring {

std::string encodeVantageRequest(const VantageRequest &request)
{
    return json::serialize(
            json::object{{"group", request.group.value()}, {"database", request.database.value()}});
}

Result<VantageRequest> decodeVantageRequest(std::string_view text)
{
    return decodeObjectWith<VantageRequest>(text, [](const json::object &object) {
        return VantageRequest{.group = GroupId(std::string(object.at("group").as_string())),
                              .database =
                                      DatabaseId(std::string(object.at("database").as_string()))};
    });
}

std::string encodeVantageAnswer(const VantageAnswer &answer)
{
    return json::serialize(json::object{{"vm", answer.vm.value()},
                                        {"known", answer.known},
                                        {"reachable", answer.reachable},
                                        {"term", answer.term.value()}});
}

Result<VantageAnswer> decodeVantageAnswer(std::string_view text)
{
    return decodeObjectWith<VantageAnswer>(text, [](const json::object &object) {
        return VantageAnswer{.vm = VmId(std::string(object.at("vm").as_string())),
                             .known = object.at("known").as_bool(),
                             .reachable = object.at("reachable").as_bool(),
                             .term = Term(object.at("term").to_number<std::uint64_t>())};
    });
}

} // namespace fescuespring
