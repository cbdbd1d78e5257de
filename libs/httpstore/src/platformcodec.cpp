#include "httpstore/platformcodec.h"

#include "codec/jsonparts.h"

#include <boost/json.hpp>

namespace json = boost::json;

namespace fescuespring {

namespace {

Error malformed(const std::string &what)
{
    return {ErrorCode::Malformed, "malformed reply from the platform: " + what};
}

// Calls decode with the parsed object and turns Boost.JSON's exceptions into errors.
template <typename T, typename Decode>
Result<T> decodeWith(std::string_view text, Decode decode)
{
    try {
        boost::system::error_code error;
        const json::value value = json::parse({text.data(), text.size()}, error);
        if (error)
            return malformed(error.message());
        return Result<T>(decode(value.as_object()));
    } catch (const std::exception &error) {
        return malformed(error.what());
    }
}

// The elements of the list in a member.
Result<std::vector<std::string_view>> elementsOf(std::string_view text, const char *member)
{
    const auto members = jsonMembers(text);
    auto elements = members ? jsonElements(memberText(*members, member)) : std::nullopt;
    if (!elements)
        return malformed(std::string("no list of ") + member);
    return std::move(*elements);
}

std::string textOf(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    return value == nullptr ? std::string() : std::string(value->as_string());
}

StoredObject objectOf(const json::object &object)
{
    return {.key = textOf(object, "key"),
            .version = ObjectVersion(object.at("version").to_number<std::uint64_t>()),
            .value = textOf(object, "value")};
}

PlatformVm vmOf(const json::object &object)
{
    return {.vm = VmId(textOf(object, "vm")),
            .dataCentre = DataCentreId(textOf(object, "dataCentre")),
            .isEntry = textOf(object, "kind") == "entry",
            .leaving = textOf(object, "state") == "leaving",
            .endpoint = {.ip = textOf(object, "ip"),
                         .port = object.at("port").to_number<std::uint16_t>()},
            .group = GroupId(textOf(object, "group")),
            .database = DatabaseId(textOf(object, "database"))};
}

} // namespace

Result<StoredObject> decodeObject(std::string_view text)
{
    return decodeWith<StoredObject>(text, objectOf);
}

Result<std::vector<StoredObject>> decodeObjects(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto elements, elementsOf(text, "objects"));
    std::vector<StoredObject> objects;
    for (const std::string_view element : elements) {
        Result<StoredObject> object = decodeObject(element);
        if (!object)
            return malformed("object " + std::to_string(objects.size() + 1)
                             + " of the list: " + object.error().message);
        objects.push_back(std::move(object.value()));
    }
    return objects;
}

Result<ObjectVersion> decodeVersion(std::string_view text)
{
    return decodeWith<ObjectVersion>(text, [](const json::object &object) {
        return ObjectVersion(object.at("version").to_number<std::uint64_t>());
    });
}

Result<std::vector<PlatformVm>> decodeVms(std::string_view text, std::size_t &unreadable)
{
    BOOST_OUTCOME_TRY(const auto elements, elementsOf(text, "vms"));
    std::vector<PlatformVm> vms;
    for (const std::string_view element : elements) {
        Result<PlatformVm> vm = decodeWith<PlatformVm>(element, vmOf);
        if (vm)
            vms.push_back(std::move(vm.value()));
        else
            ++unreadable;
    }
    return vms;
}

std::string encodeWrite(const ObjectWrite &write)
{
    return json::serialize(
            json::object{{"value", write.value}, {"ifVersion", write.ifVersion.value()}});
}

} // namespace fescuespring
