#include "settings/daemonsettings.h"

#include "section.h"
#include "yamltext/onedocument.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include <arpa/inet.h>

namespace fescuespring {

using detail::Presence;
using detail::Section;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t maximumFileBytes = std::size_t{8} * 1024 * 1024;
constexpr std::size_t maximumPathBytes = 4096;
constexpr std::size_t maximumLayoutBytes = 256;
constexpr std::size_t maximumIpBytes = 45;
constexpr detail::Range<std::size_t> secretBytes{16, 256};
constexpr std::uint32_t maximumPort = 65535;
constexpr std::uint32_t maximumConnections = 10'000;

// A failure timeout holds at least this many probes, so that one lost probe decides nothing.
constexpr int probesPerTimeout = 2;

// What an endpoint is for.
enum class EndpointUse {
    // Opened here; port 0 takes any free port.
    Listen,

    // Opened here and told to other VMs, so it must not be a wildcard.
    ListenAnnounced,

    // Opened elsewhere.
    Connect,
};

bool isIp(const std::string &ip)
{
    in6_addr address;
    return ::inet_pton(AF_INET, ip.c_str(), &address) == 1
           || ::inet_pton(AF_INET6, ip.c_str(), &address) == 1;
}

bool isWildcard(const std::string &ip)
{
    return ip == "0.0.0.0" || ip == "::";
}

void checkIp(Section &section, const std::string &ip, EndpointUse use)
{
    if (ip.empty())
        return;
    if (!isIp(ip))
        section.refuse("ip", "must be an IP number");
    else if (use != EndpointUse::Listen && isWildcard(ip))
        section.refuse("ip", "must be a number that other VMs can reach");
}

void readEndpoint(Section &section, Endpoint &endpoint, EndpointUse use)
{
    section.text("ip", endpoint.ip, {1, maximumIpBytes}, Presence::Required);
    checkIp(section, endpoint.ip, use);
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
    const auto same = [&](const TokenKey &other) {
        return other.id == key.id;
    };
    if (std::any_of(keys.begin(), keys.end(), same))
        section.refuse("id", "stands twice in tokenKeys");
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
        section.refuse("slots", "must not exceed connections");
    const auto same = [&](const auto &other) {
        return other.database == database.database;
    };
    if (std::any_of(group.databases.begin(), group.databases.end(), same))
        section.refuse("database", "stands twice in its group");
    group.databases.push_back(std::move(database));
}

void readGroup(Section &section, std::vector<GroupSettings> &groups)
{
    GroupSettings group;
    section.name("group", group.group);
    section.list("databases", [&](Section &inner) { readDatabase(inner, group); });
    const auto same = [&](const GroupSettings &other) {
        return other.group == group.group;
    };
    if (std::any_of(groups.begin(), groups.end(), same))
        section.refuse("group", "stands twice in groups");
    groups.push_back(std::move(group));
}

void checkProbes(Section &section, std::string_view field, milliseconds timeout,
                 milliseconds interval, std::string_view intervalField)
{
    if (timeout < probesPerTimeout * interval)
        section.refuse(field, "must be at least twice " + std::string(intervalField));
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
    checkProbes(section, "databaseFailureTimeoutMs", timings.databaseFailureTimeout,
                timings.databaseProbeInterval, "databaseProbeIntervalMs");
    checkProbes(section, "memberFailureTimeoutMs", timings.memberFailureTimeout,
                timings.memberProbeInterval, "memberProbeIntervalMs");
}

void readLogging(Section &section, LogOptions &logging)
{
    section.choice("level", logging.level, logLevelFromString, "debug, info, warning, error, off");
    section.text("file", logging.file, {0, maximumPathBytes}, Presence::Optional);
    section.text("layout", logging.layout, {1, maximumLayoutBytes}, Presence::Optional);
    if (logging.layout.find("%m") == std::string::npos)
        section.refuse("layout", "must hold %m, the line itself");
}

// Databases may not share an endpoint, nor may the TCP listeners of this VM.
void checkEndpoints(Section &section, const DaemonSettings &settings)
{
    if (settings.callerEndpoint.port != 0 && settings.callerEndpoint == settings.peerEndpoint)
        section.refuse("peerEndpoint", "is also the callerEndpoint");
    std::set<std::string> seen;
    for (const GroupSettings &group : settings.groups) {
        for (const DatabaseSettings &database : group.databases) {
            const Endpoint &endpoint = database.endpoint;
            if (seen.insert(endpoint.ip + ' ' + std::to_string(endpoint.port)).second)
                continue;
            section.refuse("groups", "database '" + database.database.value() + "' of group '"
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
    section.refuseOthers();
}

Error malformed(std::string message, int line)
{
    return Error{.code = ErrorCode::Malformed, .message = std::move(message), .line = line};
}

void readDocument(const YAML::Node &document, DaemonSettings &settings, std::vector<Error> &errors)
{
    if (!document.IsMap()) {
        errors.push_back(malformed("must be a mapping of fields", 1));
        return;
    }
    Section section(document, {}, errors);
    readSettings(section, settings);
}

SettingsResult failed(Error error)
{
    return std::vector<Error>{std::move(error)};
}

SettingsResult inLineOrder(DaemonSettings settings, std::vector<Error> errors)
{
    if (errors.empty())
        return settings;
    std::stable_sort(errors.begin(), errors.end(),
                     [](const Error &left, const Error &right) { return left.line < right.line; });
    return errors;
}

} // namespace

SettingsResult parseDaemonSettings(std::string_view yaml)
{
    if (yaml.size() > maximumFileBytes) {
        return failed(
                Error{.code = ErrorCode::TooLarge,
                      .message = "longer than " + std::to_string(maximumFileBytes) + " bytes"});
    }
    const std::string text(yaml);
    if (const Result<void> checked = checkOneDocument(text); !checked)
        return failed(checked.error());
    try {
        DaemonSettings settings;
        std::vector<Error> errors;
        readDocument(YAML::Load(text), settings, errors);
        return inLineOrder(std::move(settings), std::move(errors));
    } catch (const YAML::Exception &exception) {
        return failed(malformed("is no YAML: " + exception.msg, exception.mark.line + 1));
    } catch (const std::exception &exception) {
        return failed(malformed(exception.what(), 0));
    }
}

SettingsResult loadDaemonSettings(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        return failed(Error{.code = ErrorCode::NotFound, .message = "cannot be read, or is empty"});
    return parseDaemonSettings(text.str());
}

} // namespace fescuespring
