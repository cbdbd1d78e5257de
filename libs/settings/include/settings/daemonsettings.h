#pragma once

#include "base/result.h"
#include "base/types.h"
#include "logging/log.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fescuespring {

// The settings of fescuespringd, read from a YAML file. docs/SETTINGS.md describes each field. The
// whole file is checked before the daemon opens any port or file:
//
//     const SettingsResult settings = loadDaemonSettings(path);
//     if (!settings) {
//         for (const Error &error : settings.error())
//             std::cerr << describe(error, path) << '\n';
//         return exitBadSettings;
//     }
//     run(settings.value());

// Limits on the callers and peers of a VM.
struct LimitSettings
{
    std::uint32_t maxBodyBytes = 256 * 1024;

    // Maximum number of open caller connections.
    std::uint32_t maxCallerConnections = 10'000;

    // Maximum time from the first byte of a request to its last.
    std::chrono::milliseconds readTimeout = std::chrono::seconds(10);

    // How long a connection may stay open without a request.
    std::chrono::milliseconds idleTimeout = std::chrono::seconds(60);

    // Longest deadline that a caller may set.
    std::chrono::milliseconds maxDeadline = std::chrono::minutes(10);
};

// An HMAC key for session tokens.
struct TokenKey
{
    std::uint8_t id = 0;
    std::string secret = {};
};

// A database of a group, with its endpoint and limits.
struct DatabaseSettings
{
    DatabaseId database;
    DataCentreId dataCentre;
    Endpoint endpoint;

    // Maximum number of connections that the owner opens to it.
    std::uint32_t connections = 20;

    // Number of statements that it runs concurrently.
    std::uint32_t slots = 3;
};

struct GroupSettings
{
    GroupId group;
    std::vector<DatabaseSettings> databases;
};

// Probe intervals and timeouts.
struct TimingSettings
{
    // How often a database is probed, and how long it may be unresponsive until it counts as
    // failed.
    std::chrono::milliseconds databaseProbeInterval{500};
    std::chrono::milliseconds databaseFailureTimeout{3000};

    // How often members are probed, and how long a suspected member has to respond.
    std::chrono::milliseconds memberProbeInterval{1000};
    std::chrono::milliseconds memberFailureTimeout{4000};

    // For opening a connection to a VM, a database or the platform.
    std::chrono::milliseconds connectTimeout{1000};

    // For a response of the platform, and how long a watch request waits for a change.
    std::chrono::milliseconds platformTimeout{2000};
    std::chrono::milliseconds platformWatch{30'000};

    // How long requests to a leaving upstream may take to finish.
    std::chrono::milliseconds drainDeadline{5000};
};

struct DaemonSettings
{
    VmId vm;
    DataCentreId dataCentre;

    // Listening endpoints for callers and peers (TCP) and membership (UDP). The last two are
    // announced to peers. The platform's list of VMs contains only the peer endpoint, so the
    // membership endpoint defaults to it.
    Endpoint callerEndpoint;
    Endpoint peerEndpoint;
    Endpoint membershipEndpoint;

    // The platform's object store and list of VMs.
    Endpoint platformEndpoint;

    // Peer endpoints to contact for members if the platform's list is unavailable.
    std::vector<Endpoint> seeds;

    std::uint32_t trafficThreads = 2;
    LimitSettings limits;

    // The first key signs; all keys verify. Never empty.
    std::vector<TokenKey> tokenKeys;

    std::vector<GroupSettings> groups;
    TimingSettings timings;
    LogOptions logging;

    // How long a planned stop waits for the requests in flight.
    std::chrono::milliseconds stopDeadline{10'000};
};

// The checked settings, or all errors in the text, in line order.
using SettingsResult = boost::outcome_v2::basic_result<DaemonSettings, std::vector<Error>,
                                                       boost::outcome_v2::policy::terminate>;

// Neither function throws.
SettingsResult parseDaemonSettings(std::string_view yaml);
SettingsResult loadDaemonSettings(const std::string &path);

} // namespace fescuespring
