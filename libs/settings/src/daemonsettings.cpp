#include "settings/daemonsettings.h"

#include "section.h"
#include "settingsfile.h"

#include <algorithm>
#include <set>
#include <string>

namespace fescuespring {

using detail::EndpointUse;
using detail::Presence;
using detail::readLogging;
using detail::Section;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t maximumIpBytes = 45;
constexpr detail::Range<std::size_t> secretBytes{16, 256};
constexpr std::uint32_t maximumPort = 65535;
constexpr std::uint32_t maximumConnections = 10'000;

// A failure timeout spans at least this many probe intervals, so that one lost probe is not enough.
constexpr int minimumProbesPerTimeout = 2;

void readEndpoint(Section &section, Endpoint &endpoint, EndpointUse use)
{
    section.text("ip", endpoint.ip, {1, maximumIpBytes}, Presence::Required);
    detail::checkIp(section, endpoint.ip, use);
    std::uint32_t port = 0;
    section.number("port", port, {use == EndpointUse::Connect ? 1U : 0U, maximumPort},
                   Presence::Required);
    endpoint.port = static_cast<std::uint16_t>(port);
}

void readEndpointOf(Section &section, std::string_view field, Endpoint &endpoint, EndpointUse use,
                    Presence presence = Presence::Required)
{
    section.section(field, presence, [&](Section &inner) { readEndpoint(inner, endpoint, use); });
}

void readLimits(Section &section, LimitSettings &limits)
{
    section.number("maxBodyBytes", limits.maxBodyBytes, {1024, 16 * 1024 * 1024});
    section.number("maxCallerConnections", limits.maxCallerConnections, {1, 1'000'000});
    section.milliseconds("readTimeoutMs", limits.readTimeout,
                         {milliseconds(100), milliseconds(600'000)});
    section.milliseconds("idleTimeoutMs", limits.idleTimeout,
                         {milliseconds(1000), milliseconds(86'400'000)});
    section.milliseconds("maxDeadlineMs", limits.maxDeadline,
                         {milliseconds(1), milliseconds(600'000)});
}

void readTokenKey(Section &section, std::vector<TokenKey> &keys)
{
    TokenKey key;
    std::uint32_t id = 0;
    section.number("id", id, {0, UINT8_MAX}, Presence::Required);
    key.id = static_cast<std::uint8_t>(id);
    section.text("secret", key.secret, secretBytes, Presence::Required);
    const auto isDuplicate = [&](const TokenKey &other) {
        return other.id == key.id;
    };
    if (std::any_of(keys.begin(), keys.end(), isDuplicate))
        section.addError("id", "is used twice in tokenKeys");
    keys.push_back(std::move(key));
}

void readDatabase(Section &section, GroupSettings &group)
{
    DatabaseSettings database;
    section.name("database", database.database);
    section.name("dataCentre", database.dataCentre);
    readEndpointOf(section, "endpoint", database.endpoint, EndpointUse::Connect);
    section.number("connections", database.connections, {1, maximumConnections});
    section.number("slots", database.slots, {1, maximumConnections});
    if (database.slots > database.connections)
        section.addError("slots", "must not exceed connections");
    const auto isDuplicate = [&](const auto &other) {
        return other.database == database.database;
    };
    if (std::any_of(group.databases.begin(), group.databases.end(), isDuplicate))
        section.addError("database", "is used twice in its group");
    group.databases.push_back(std::move(database));
}

void readGroup(Section &section, std::vector<GroupSettings> &groups)
{
    GroupSettings group;
    section.name("group", group.group);
    section.list("databases", [&](Section &inner) { readDatabase(inner, group); });
    const auto isDuplicate = [&](const GroupSettings &other) {
        return other.group == group.group;
    };
    if (std::any_of(groups.begin(), groups.end(), isDuplicate))
        section.addError("group", "is used twice in groups");
    groups.push_back(std::move(group));
}

void checkFailureTimeout(Section &section, std::string_view field, milliseconds timeout,
                         milliseconds interval, std::string_view intervalField)
{
    if (timeout < minimumProbesPerTimeout * interval)
        section.addError(field, "must be at least twice " + std::string(intervalField));
}

void readTimings(Section &section, TimingSettings &timings)
{
    section.milliseconds("databaseProbeIntervalMs", timings.databaseProbeInterval,
                         {milliseconds(10), milliseconds(10'000)});
    section.milliseconds("databaseFailureTimeoutMs", timings.databaseFailureTimeout,
                         {milliseconds(50), milliseconds(60'000)});
    section.milliseconds("memberProbeIntervalMs", timings.memberProbeInterval,
                         {milliseconds(10), milliseconds(10'000)});
    section.milliseconds("memberFailureTimeoutMs", timings.memberFailureTimeout,
                         {milliseconds(50), milliseconds(60'000)});
    section.milliseconds("connectTimeoutMs", timings.connectTimeout,
                         {milliseconds(10), milliseconds(60'000)});
    section.milliseconds("platformTimeoutMs", timings.platformTimeout,
                         {milliseconds(10), milliseconds(60'000)});
    section.milliseconds("platformWatchMs", timings.platformWatch,
                         {milliseconds(100), milliseconds(600'000)});
    section.milliseconds("drainDeadlineMs", timings.drainDeadline,
                         {milliseconds(100), milliseconds(60'000)});
    checkFailureTimeout(section, "databaseFailureTimeoutMs", timings.databaseFailureTimeout,
                        timings.databaseProbeInterval, "databaseProbeIntervalMs");
    checkFailureTimeout(section, "memberFailureTimeoutMs", timings.memberFailureTimeout,
                        timings.memberProbeInterval, "memberProbeIntervalMs");
}

// Databases must not share an endpoint, and neither must the TCP listeners of this VM.
void checkEndpoints(Section &section, const DaemonSettings &settings)
{
    if (settings.callerEndpoint.port != 0 && settings.callerEndpoint == settings.peerEndpoint)
        section.addError("peerEndpoint", "is also the callerEndpoint");
    std::set<std::string> endpoints;
    for (const GroupSettings &group : settings.groups) {
        for (const DatabaseSettings &database : group.databases) {
            const Endpoint &endpoint = database.endpoint;
            if (endpoints.insert(endpoint.ip + ' ' + std::to_string(endpoint.port)).second)
                continue;
            section.addError("groups", "database '" + database.database.value() + "' of group '"
                                               + group.group.value()
                                               + "' has the endpoint of another database");
        }
    }
}

void readSettings(Section &section, DaemonSettings &settings)
{
    section.name("vm", settings.vm);
    section.name("dataCentre", settings.dataCentre);
    readEndpointOf(section, "callerEndpoint", settings.callerEndpoint, EndpointUse::Listen);
    readEndpointOf(section, "peerEndpoint", settings.peerEndpoint, EndpointUse::ListenAnnounced);
    settings.membershipEndpoint = settings.peerEndpoint;
    readEndpointOf(section, "membershipEndpoint", settings.membershipEndpoint,
                   EndpointUse::ListenAnnounced, Presence::Optional);
    readEndpointOf(section, "platformEndpoint", settings.platformEndpoint, EndpointUse::Connect);
    section.list(
            "seeds",
            [&](Section &inner) {
                readEndpoint(inner, settings.seeds.emplace_back(), EndpointUse::Connect);
            },
            Presence::Optional);
    section.number("trafficThreads", settings.trafficThreads, {1, 64});
    section.section("limits", Presence::Optional,
                    [&](Section &inner) { readLimits(inner, settings.limits); });
    section.list("tokenKeys", [&](Section &inner) { readTokenKey(inner, settings.tokenKeys); });
    section.list("groups", [&](Section &inner) { readGroup(inner, settings.groups); });
    section.section("timings", Presence::Optional,
                    [&](Section &inner) { readTimings(inner, settings.timings); });
    section.section("logging", Presence::Optional,
                    [&](Section &inner) { readLogging(inner, settings.logging); });
    section.milliseconds("stopDeadlineMs", settings.stopDeadline,
                         {milliseconds(100), milliseconds(600'000)});
    checkEndpoints(section, settings);
    section.rejectUnknownFields();
}

} // namespace

SettingsResult parseDaemonSettings(std::string_view yaml)
{
    return detail::parseSettings<DaemonSettings>(yaml, readSettings);
}

SettingsResult loadDaemonSettings(const std::string &path)
{
    return detail::loadSettings<DaemonSettings>(path, readSettings);
}

} // namespace fescuespring
