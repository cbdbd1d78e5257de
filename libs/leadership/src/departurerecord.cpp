#include "leadership/departurerecord.h"

#include "leadership/leadershiprecord.h"

#include <boost/json.hpp>

namespace json = boost::json;

namespace fescuespring {

namespace {

std::optional<LeavingDatabase> decodeDatabase(const json::value &value)
{
    const json::object *fields = value.if_object();
    const json::value *database = fields ? fields->if_contains("database") : nullptr;
    const json::value *ip = fields ? fields->if_contains("ip") : nullptr;
    const json::value *port = fields ? fields->if_contains("port") : nullptr;
    const json::value *startedAt = fields ? fields->if_contains("started") : nullptr;
    const bool isValid = database && database->is_string() && ip && ip->is_string() && port
                         && port->is_int64() && startedAt && startedAt->is_int64();
    if (!isValid || port->get_int64() <= 0 || port->get_int64() > UINT16_MAX)
        return std::nullopt;
    return LeavingDatabase{
            DatabaseId(std::string(database->get_string())),
            Endpoint{std::string(ip->get_string()), static_cast<std::uint16_t>(port->get_int64())},
            startedAt->get_int64()};
}

} // namespace

std::string departureKey(const GroupId &group)
{
    return std::string(leadershipKeyPrefix) + std::string(departureNamePrefix) + group.value();
}

std::string encodeDepartures(const DepartureRecord &record)
{
    json::array databases;
    for (const LeavingDatabase &leaving : record.databases) {
        databases.push_back(json::object{{"database", leaving.database.value()},
                                         {"ip", leaving.endpoint.ip},
                                         {"port", leaving.endpoint.port},
                                         {"started", leaving.startedAt}});
    }
    return json::serialize(json::object{{"databases", std::move(databases)}});
}

Result<DepartureRecord> decodeDepartures(const GroupId &group, const StoredObject &object)
{
    const Error unreadable{
            .code = ErrorCode::Malformed, .message = "unreadable object", .field = object.key};
    boost::system::error_code error;
    const json::value value = json::parse(object.value, error);
    const json::object *fields = error ? nullptr : value.if_object();
    const json::value *list = fields ? fields->if_contains("databases") : nullptr;
    if (!list || !list->is_array())
        return unreadable;
    DepartureRecord record{.group = group, .databases = {}, .version = object.version};
    for (const json::value &item : list->get_array()) {
        const auto database = decodeDatabase(item);
        if (!database)
            return unreadable;
        record.databases.push_back(*database);
    }
    return record;
}

} // namespace fescuespring
