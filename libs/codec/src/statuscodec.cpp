#include "codec/statuscodec.h"

#include "document.h"

namespace fescuespring {

namespace json = boost::json;

namespace detail {

// readValue finds these overloads for the elements of arrays.
static void readFields(FieldReader &reader, MemberStatus &member)
{
    reader.required("vm", member.vm);
    reader.optional("state", member.state);
    reader.optional("suspected", member.suspected);
    reader.optional("peers", member.peers);
    reader.optional("lists", member.lists);
}

static void readFields(FieldReader &reader, DatabaseLine &line)
{
    reader.required("database", line.database);
    reader.optional("dataCentre", line.dataCentre);
    reader.optional("role", line.role, roleFromString);
    reader.optional("reachable", line.reachable);
    reader.optional("term", line.term);
    reader.optional("applied", line.applied);
    reader.optional("lag", line.lag);
    reader.optional("ageMs", line.age);
    reader.optional("connections", line.connections);
    reader.optional("running", line.running);
    reader.optional("waiting", line.waiting);
}

static void readFields(FieldReader &reader, GroupStatus &group)
{
    reader.required("group", group.group);
    reader.optional("owner", group.owner);
    reader.optional("term", group.term);
    reader.optional("primary", group.primary);
    reader.optional("databases", group.databases);
}

} // namespace detail

using detail::objectArray;
using detail::text;
using detail::textArray;

namespace {

json::object memberObject(const MemberStatus &member)
{
    json::object object{
            {"vm", text(member.vm)},
            {"state", text(member.state)},
            {"suspected", member.suspected},
            {"lists", member.lists.value()},
    };
    if (!member.peers.ip.empty())
        object["peers"] = detail::endpointObject(member.peers);
    return object;
}

json::object databaseObject(const DatabaseLine &line)
{
    return {
            {"database", text(line.database)},
            {"dataCentre", text(line.dataCentre)},
            {"role", toString(line.role)},
            {"reachable", line.reachable},
            {"term", line.term.value()},
            {"applied", line.applied.value()},
            {"lag", line.lag},
            {"ageMs", line.age.count()},
            {"connections", line.connections},
            {"running", line.running},
            {"waiting", line.waiting},
    };
}

json::object groupObject(const GroupStatus &group)
{
    return {
            {"group", text(group.group)},
            {"owner", text(group.owner)},
            {"term", group.term.value()},
            {"primary", text(group.primary)},
            {"databases", objectArray(group.databases, databaseObject)},
    };
}

} // namespace

Result<VmStatus> decodeVmStatus(std::string_view text, const DecodeLimits &limits)
{
    return detail::decodeDocument<VmStatus>(text, limits, [](auto &reader, auto &status) {
        reader.required("vm", status.vm);
        reader.optional("dataCentre", status.dataCentre);
        reader.optional("serving", status.serving);
        reader.optional("leaving", status.leaving);
        reader.optional("storeReachable", status.storeReachable);
        reader.optional("reason", status.reason);
        reader.optional("lists", status.lists);
        reader.optional("refusedLists", status.refusedLists);
        reader.optional("callerConnections", status.callerConnections);
        reader.optional("members", status.members);
        reader.optional("groups", status.groups);
    });
}

std::string encodeVmStatus(const VmStatus &status)
{
    return detail::encodeDocument({
            {"vm", text(status.vm)},
            {"dataCentre", text(status.dataCentre)},
            {"serving", status.serving},
            {"leaving", status.leaving},
            {"storeReachable", status.storeReachable},
            {"reason", text(status.reason)},
            {"lists", status.lists.value()},
            {"refusedLists", textArray(status.refusedLists)},
            {"callerConnections", status.callerConnections},
            {"members", objectArray(status.members, memberObject)},
            {"groups", objectArray(status.groups, groupObject)},
    });
}

Result<RouteAnswer> decodeRouteAnswer(std::string_view text, const DecodeLimits &limits)
{
    return detail::decodeDocument<RouteAnswer>(text, limits, [](auto &reader, auto &answer) {
        reader.required("group", answer.group);
        reader.optional("owner", answer.owner);
        reader.required("action", answer.action);
        reader.optional("database", answer.database);
        reader.optional("byReplica", answer.byReplica);
        reader.optional("needsConfirmation", answer.needsConfirmation);
        reader.optional("reason", answer.reason, reasonFromString);
        reader.optional("explanation", answer.explanation);
    });
}

std::string encodeRouteAnswer(const RouteAnswer &answer)
{
    return detail::encodeDocument({
            {"group", text(answer.group)},
            {"owner", text(answer.owner)},
            {"action", text(answer.action)},
            {"database", text(answer.database)},
            {"byReplica", answer.byReplica},
            {"needsConfirmation", answer.needsConfirmation},
            {"reason", toString(answer.reason)},
            {"explanation", textArray(answer.explanation)},
    });
}

} // namespace fescuespring
