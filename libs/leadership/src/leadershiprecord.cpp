#include "leadership/leadershiprecord.h"

#include <boost/json.hpp>

namespace json = boost::json;

namespace fescuespring {

namespace {

constexpr std::string_view lockName = "duty";
constexpr std::string_view groupPrefix = "group-";

Error unreadable(const StoredObject &object)
{
    return {.code = ErrorCode::Malformed, .message = "unreadable object", .field = object.key};
}

const json::string *textField(const json::object &fields, std::string_view name)
{
    const json::value *value = fields.if_contains(name);
    return value ? value->if_string() : nullptr;
}

std::optional<PromotionLock> decodePromotionLock(const json::object &fields, ObjectVersion version)
{
    const json::string *holder = textField(fields, "holder");
    const json::string *incarnation = textField(fields, "incarnation");
    if (!holder || !incarnation)
        return std::nullopt;
    return PromotionLock{VmId(std::string(*holder)), std::string(*incarnation), version};
}

std::optional<LeadershipRecord> decodeLeadership(const json::object &fields, std::string_view group,
                                                 ObjectVersion version)
{
    const json::string *primary = textField(fields, "primary");
    const json::value *term = fields.if_contains("term");
    const json::value *moving = fields.if_contains("moving");
    if (!primary || !term || !term->is_int64() || !moving || !moving->is_bool())
        return std::nullopt;
    return LeadershipRecord{.group = GroupId(std::string(group)),
                            .isChanging = moving->as_bool(),
                            .primary = DatabaseId(std::string(*primary)),
                            .term = Term(static_cast<std::uint64_t>(term->as_int64())),
                            .version = version};
}

} // namespace

std::string leadershipKey(const GroupId &group)
{
    return std::string(leadershipKeyPrefix) + std::string(groupPrefix) + group.value();
}

std::string promotionLockKey()
{
    return std::string(leadershipKeyPrefix) + std::string(lockName);
}

std::string encodeLeadership(const LeadershipRecord &record)
{
    return json::serialize(json::object{{"moving", record.isChanging},
                                        {"primary", record.primary.value()},
                                        {"term", record.term.value()}});
}

std::string encodePromotionLock(const PromotionLock &lock)
{
    return json::serialize(
            json::object{{"holder", lock.holder.value()}, {"incarnation", lock.incarnation}});
}

Result<LeadershipSnapshot> decodeSnapshot(const std::vector<StoredObject> &objects)
{
    LeadershipSnapshot snapshot;
    for (const StoredObject &object : objects) {
        boost::system::error_code error;
        const json::value value = json::parse(object.value, error);
        if (error || !value.is_object() || !object.key.starts_with(leadershipKeyPrefix))
            return unreadable(object);
        const std::string_view name =
                std::string_view(object.key).substr(leadershipKeyPrefix.size());
        if (name == lockName) {
            snapshot.promotionLock = decodePromotionLock(value.get_object(), object.version);
            if (!snapshot.promotionLock)
                return unreadable(object);
            continue;
        }
        if (!name.starts_with(groupPrefix))
            return unreadable(object);
        const auto record = decodeLeadership(value.get_object(), name.substr(groupPrefix.size()),
                                             object.version);
        if (!record)
            return unreadable(object);
        snapshot.records.push_back(*record);
    }
    return snapshot;
}

} // namespace fescuespring
