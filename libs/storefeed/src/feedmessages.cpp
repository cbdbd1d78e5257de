#include "storefeed/feedmessages.h"

#include "base/enumnames.h"
#include "valuepatch/valuepatch.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <xxhash.h>

namespace json = boost::json;

namespace fescuespring {

namespace {

// Average number of objects per part, and the maximum number of parts of a kind.
constexpr std::size_t objectsPerPart = 4;
constexpr std::size_t maximumParts = 1024;

// Messages of at least this length are sent compressed; uncompressed messages are shorter than
// maximumUnpackedBytes.
constexpr std::size_t compressionThreshold = 8192;
constexpr std::size_t maximumUnpackedBytes = std::size_t{16} * 1024 * 1024;

constexpr std::array kindNames{"question", "answer", "unchanged", "known", "begin",
                               "all",      "change", "patch",     "nudge", "packed"};

Error malformed(const char *field)
{
    return {.code = ErrorCode::Malformed, .message = "malformed feed message", .field = field};
}

json::array encodeNumbers(const auto &numbers)
{
    json::array array;
    for (const auto number : numbers)
        array.push_back(static_cast<std::int64_t>(number));
    return array;
}

// False if the field is present but not an array of integers; if it is absent, numbers stay empty.
template <typename Number>
bool decodeNumbers(const json::object &fields, std::string_view name, std::vector<Number> &numbers)
{
    const json::value *value = fields.if_contains(name);
    if (!value)
        return true;
    if (!value->is_array() || value->get_array().size() > maximumParts)
        return false;
    for (const json::value &item : value->get_array()) {
        if (!item.is_int64())
            return false;
        numbers.push_back(static_cast<Number>(item.get_int64()));
    }
    return true;
}

json::array encodeObjects(const std::vector<StoredObject> &objects)
{
    json::array array;
    for (const StoredObject &object : objects)
        array.push_back(json::array{object.key, object.version.value(), object.value});
    return array;
}

Result<std::vector<StoredObject>> decodeObjects(const json::value *value)
{
    std::vector<StoredObject> objects;
    if (!value)
        return objects;
    if (!value->is_array())
        return malformed("objects");
    for (const json::value &item : value->get_array()) {
        const json::array *parts = item.if_array();
        const bool isValid = parts && parts->size() == 3 && parts->at(0).is_string()
                             && parts->at(1).is_int64() && parts->at(2).is_string();
        if (!isValid)
            return malformed("objects");
        objects.push_back({std::string(parts->at(0).get_string()),
                           ObjectVersion(static_cast<std::uint64_t>(parts->at(1).get_int64())),
                           std::string(parts->at(2).get_string())});
    }
    return objects;
}

std::int64_t integerOr(const json::object &fields, std::string_view name, std::int64_t otherwise)
{
    const json::value *value = fields.if_contains(name);
    return value && value->is_int64() ? value->get_int64() : otherwise;
}

// Empty if the value is not a pair of numbers; a follower then learns nothing.
std::optional<ConfirmedAge> decodeConfirmedAge(const json::value *value)
{
    const json::array *parts = value ? value->if_array() : nullptr;
    const bool isValid = parts && parts->size() == 2 && parts->at(0).is_int64()
                         && parts->at(1).is_int64() && parts->at(0).get_int64() >= 0
                         && parts->at(1).get_int64() >= 0;
    if (!isValid)
        return std::nullopt;
    return ConfirmedAge{static_cast<std::uint64_t>(parts->at(0).get_int64()),
                        Duration(parts->at(1).get_int64())};
}

Result<FeedMessage> decodeOne(std::string_view line)
{
    boost::system::error_code error;
    const json::value value = json::parse(line, error);
    if (error || !value.is_object())
        return malformed("(whole)");
    const json::object &fields = value.get_object();
    const json::value *is = fields.if_contains("is");
    if (!is || !is->is_string())
        return malformed("is");
    const auto kind = detail::enumFromName<FeedMessage::Kind>(kindNames, is->get_string());
    if (!kind)
        return malformed("is");
    FeedMessage message{.kind = *kind};
    message.number = static_cast<std::uint64_t>(integerOr(fields, "number", 0));
    message.age = Duration(integerOr(fields, "ageUs", -1));
    message.epoch = StoreEpoch(static_cast<std::uint64_t>(integerOr(fields, "epoch", 0)));
    message.configuration = decodeConfirmedAge(fields.if_contains("configuration"));
    message.digest = static_cast<std::uint64_t>(integerOr(fields, "digest", 0));
    message.storeVersion = ObjectVersion(static_cast<std::uint64_t>(integerOr(fields, "upTo", 0)));
    message.patchedVersion =
            ObjectVersion(static_cast<std::uint64_t>(integerOr(fields, "patched", 0)));
    message.partCount = static_cast<std::size_t>(integerOr(fields, "partCount", 0));
    if (!decodeNumbers(fields, "parts", message.parts))
        return malformed("parts");
    if (!decodeNumbers(fields, "partNumbers", message.partNumbers))
        return malformed("partNumbers");
    if (const json::value *of = fields.if_contains("of")) {
        if (!of->is_string())
            return malformed("of");
        message.objectKind = of->get_string();
    }
    Result<std::vector<StoredObject>> objects = decodeObjects(fields.if_contains("objects"));
    if (!objects)
        return objects.error();
    message.objects = std::move(objects.value());
    if (const json::value *packed = fields.if_contains("packed")) {
        if (!packed->is_string())
            return malformed("packed");
        message.packed = packed->get_string();
    }
    const json::value *removed = fields.if_contains("removed");
    message.isRemoved = removed && removed->is_bool() && removed->get_bool();
    return message;
}

} // namespace

std::uint64_t digestOf(const std::vector<StoredObject> &records)
{
    std::uint64_t digest = records.size();
    for (const StoredObject &record : records) {
        const std::uint64_t version = record.version.value();
        digest = XXH3_64bits_withSeed(record.key.data(), record.key.size(), digest);
        digest = XXH3_64bits_withSeed(&version, sizeof version, digest);
    }
    return digest == 0 ? 1 : digest;
}

std::size_t partOf(const StoredObject &object, std::size_t count)
{
    return XXH3_64bits(object.key.data(), object.key.size()) % count;
}

std::size_t partCountFor(std::size_t objects)
{
    return std::clamp<std::size_t>(objects / objectsPerPart, 1, maximumParts);
}

std::vector<std::uint64_t> partDigests(const std::vector<StoredObject> &objects, std::size_t count)
{
    std::vector<std::uint64_t> digests(count);
    for (const StoredObject &object : objects) {
        const std::uint64_t version = object.version.value();
        std::uint64_t &digest = digests[partOf(object, count)];
        digest = XXH3_64bits_withSeed(object.key.data(), object.key.size(), digest);
        digest = XXH3_64bits_withSeed(&version, sizeof version, digest);
    }
    return digests;
}

std::string encodeFeedMessage(const FeedMessage &message)
{
    json::object fields{{"is", kindNames[static_cast<std::size_t>(message.kind)]}};
    if (message.number != 0)
        fields["number"] = message.number;
    const bool isAnswer = message.kind == FeedMessage::Kind::Answer
                          || message.kind == FeedMessage::Kind::Unchanged;
    if (isAnswer) {
        fields["ageUs"] = message.age.count();
        fields["epoch"] = message.epoch.value();
    }
    if (message.configuration) {
        fields["configuration"] =
                json::array{message.configuration->version, message.configuration->age.count()};
    }
    if (message.digest != 0)
        fields["digest"] = static_cast<std::int64_t>(message.digest);
    if (!message.parts.empty())
        fields["parts"] = encodeNumbers(message.parts);
    if (message.partCount != 0)
        fields["partCount"] = message.partCount;
    if (!message.partNumbers.empty())
        fields["partNumbers"] = encodeNumbers(message.partNumbers);
    if (message.storeVersion != ObjectVersion())
        fields["upTo"] = message.storeVersion.value();
    if (!message.objectKind.empty())
        fields["of"] = message.objectKind;
    if (!message.objects.empty())
        fields["objects"] = encodeObjects(message.objects);
    if (message.isRemoved)
        fields["removed"] = true;
    if (!message.packed.empty())
        fields["packed"] = message.packed;
    if (message.patchedVersion != ObjectVersion())
        fields["patched"] = message.patchedVersion.value();
    return json::serialize(fields) + '\n';
}

std::string packFeedMessage(const FeedMessage &message)
{
    std::string text = encodeFeedMessage(message);
    if (text.size() < compressionThreshold)
        return text;
    text.pop_back();
    auto packed = makePatch({}, text);
    if (!packed)
        return text + '\n';
    return encodeFeedMessage({.kind = FeedMessage::Kind::Packed, .packed = std::move(*packed)});
}

Result<FeedMessage> decodeFeedMessage(std::string_view line)
{
    Result<FeedMessage> message = decodeOne(line);
    if (!message || message.value().kind != FeedMessage::Kind::Packed)
        return message;
    const Result<std::string> text = applyPatch({}, message.value().packed, maximumUnpackedBytes);
    if (!text)
        return text.error();
    message = decodeOne(text.value());
    if (message && message.value().kind == FeedMessage::Kind::Packed)
        return malformed("packed");
    return message;
}

} // namespace fescuespring
