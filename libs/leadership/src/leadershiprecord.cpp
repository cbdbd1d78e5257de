#include "leadership/leadershiprecord.h"

#include <boost/json.hpp>

#include <charconv>
#include <system_error>

namespace json = boost::json;

namespace fescuespring {

namespace {

constexpr std::string_view lockName = "duty";
constexpr std::string_view originName = "origin";
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

// Empty if the field is invalid; 0 if it is missing, as in the objects of earlier versions.
std::optional<StoreEpoch> epochField(const json::object &fields)
{
    const json::value *value = fields.if_contains("epoch");
    if (!value)
        return StoreEpoch();
    if (!value->is_int64() || value->get_int64() < 0)
        return std::nullopt;
    return StoreEpoch(static_cast<std::uint64_t>(value->get_int64()));
}

std::optional<std::uint64_t> numberOf(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isNumber = error == std::errc() && end == text.data() + text.size();
    return isNumber ? std::optional(number) : std::nullopt;
}

// "TERM.NUMBER". Unknown if it is missing, as in the objects of earlier versions, or unreadable:
// the point only narrows which databases may be promoted.
std::optional<LogPoint> pointField(const json::object &fields, std::string_view name)
{
    const json::string *text = textField(fields, name);
    const std::string_view words = text ? std::string_view(*text) : std::string_view();
    const std::size_t dot = words.find('.');
    if (dot == std::string_view::npos)
        return std::nullopt;
    const auto term = numberOf(words.substr(0, dot));
    const auto position = numberOf(words.substr(dot + 1));
    if (!term || !position)
        return std::nullopt;
    return LogPoint{Term(*term), LogPosition(*position)};
}

std::optional<PromotionLock> decodePromotionLock(const json::object &fields, ObjectVersion version)
{
    const json::string *holder = textField(fields, "holder");
    const json::string *incarnation = textField(fields, "incarnation");
    const auto epoch = epochField(fields);
    if (!holder || !incarnation || !epoch)
        return std::nullopt;
    return PromotionLock{VmId(std::string(*holder)), std::string(*incarnation), version, *epoch};
}

std::optional<LeadershipRecord> decodeLeadership(const json::object &fields, std::string_view group,
                                                 ObjectVersion version)
{
    const json::string *primary = textField(fields, "primary");
    const json::value *term = fields.if_contains("term");
    const json::value *moving = fields.if_contains("moving");
    const auto epoch = epochField(fields);
    if (!primary || !term || !term->is_int64() || !moving || !moving->is_bool() || !epoch)
        return std::nullopt;
    return LeadershipRecord{.group = GroupId(std::string(group)),
                            .isChanging = moving->as_bool(),
                            .primary = DatabaseId(std::string(*primary)),
                            .term = Term(static_cast<std::uint64_t>(term->as_int64())),
                            .version = version,
                            .epoch = *epoch,
                            .base = pointField(fields, "base")};
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

std::string originKey()
{
    return std::string(leadershipKeyPrefix) + std::string(originName);
}

std::string encodeLeadership(const LeadershipRecord &record)
{
    json::object fields{{"moving", record.isChanging},
                        {"primary", record.primary.value()},
                        {"term", record.term.value()},
                        {"epoch", record.epoch.value()}};
    if (record.base) {
        fields["base"] = std::to_string(record.base->term.value()) + '.'
                         + std::to_string(record.base->position.value());
    }
    return json::serialize(fields);
}

std::string encodePromotionLock(const PromotionLock &lock)
{
    return json::serialize(json::object{{"holder", lock.holder.value()},
                                        {"incarnation", lock.incarnation},
                                        {"epoch", lock.epoch.value()}});
}

std::string encodeOrigin(StoreEpoch origin)
{
    return json::serialize(json::object{{"epoch", origin.value()}});
}

Result<LeadershipSnapshot> decodeSnapshot(const std::vector<StoredObject> &objects,
                                          StoreEpoch epoch)
{
    LeadershipSnapshot snapshot{.epoch = epoch};
    for (const StoredObject &object : objects) {
        if (!object.key.starts_with(leadershipKeyPrefix))
            return unreadable(object);
        const std::string_view name =
                std::string_view(object.key).substr(leadershipKeyPrefix.size());
        if (name.starts_with(departureNamePrefix)) {
            const GroupId group(std::string(name.substr(departureNamePrefix.size())));
            Result<DepartureRecord> departures = decodeDepartures(group, object);
            if (!departures)
                return departures.error();
            snapshot.departures.push_back(std::move(departures.value()));
            continue;
        }
        if (name != lockName && name != originName && !name.starts_with(groupPrefix)) {
            snapshot.ignoredKeys.push_back(object.key);
            continue;
        }
        boost::system::error_code error;
        const json::value value = json::parse(object.value, error);
        if (error || !value.is_object())
            return unreadable(object);
        if (name == lockName) {
            snapshot.promotionLock = decodePromotionLock(value.get_object(), object.version);
            if (!snapshot.promotionLock)
                return unreadable(object);
            continue;
        }
        if (name == originName) {
            snapshot.origin = epochField(value.get_object());
            if (!snapshot.origin)
                return unreadable(object);
            continue;
        }
        const auto record = decodeLeadership(value.get_object(), name.substr(groupPrefix.size()),
                                             object.version);
        if (!record)
            return unreadable(object);
        snapshot.records.push_back(*record);
    }
    return snapshot;
}

} // namespace fescuespring
