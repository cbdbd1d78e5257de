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

// The settings of fescuespringd as they stand in its YAML file; docs/SETTINGS.md describes each
// field. A file is checked whole before the daemon opens anything:
//
//     const SettingsResult settings = loadDaemonSettings(path);
//     if (!settings) {
//         for (const Error &error : settings.error())
//             std::cerr << describe(error, path) << '\n';
//         return exitBadSettings;
//     }
//     run(settings.value());

// What callers and peers may ask of one VM at once.
struct LimitSettings
{
    // Longest body of a request, in bytes.
    std::uint32_t maxBodyBytes = 256 * 1024;

    // Connections of callers held open at once.
    std::uint32_t maxCallerConnections = 10'000;

    // Time that a request may take to arrive in full, counted from its first byte.
    std::chrono::milliseconds readTimeout = std::chrono::seconds(10);

    // Time that a connection may stay open without a request.
    std::chrono::milliseconds idleTimeout = std::chrono::seconds(60);

    // Longest deadline that a caller may ask for.
    std::chrono::milliseconds maxDeadline = std::chrono::minutes(10);
};

// A key of the HMAC over session tokens.
struct TokenKey
{
    std::uint8_t id = 0;
    std::string secret = {};
};

// One database of a group, where it listens and how much it bears.
struct DatabaseSettings
{
    DatabaseId database;
    DataCentreId dataCentre;
    Endpoint endpoint;

    // Connections that the owner may open to it.
    std::uint32_t connections = 20;

    // Statements that it runs at once.
    std::uint32_t slots = 3;
};

struct GroupSettings
{
    GroupId group;
    std::vector<DatabaseSettings> databases;
};

// How often things are looked at and how long they may take.
struct TimingSettings
{
    // Between two probes of a database, and the silence after which it counts as gone.
    std::chrono::milliseconds databaseProbeInterval{500};
    std::chrono::milliseconds databaseFailureTimeout{3000};

    // Between two probes of a member, and the time that a suspect has to answer.
    std::chrono::milliseconds memberProbeInterval{1000};
    std::chrono::milliseconds memberFailureTimeout{4000};

    // To open a connection to a VM, a database or the platform.
    std::chrono::milliseconds connectTimeout{1000};

    // For an answer of the platform, and how long a watch waits there.
    std::chrono::milliseconds platformTimeout{2000};
    std::chrono::milliseconds platformWatch{30'000};

    // Time after which an upstream that is leaving has no work of ours left.
    std::chrono::milliseconds drainDeadline{5000};
};

struct DaemonSettings
{
    VmId vm;
    DataCentreId dataCentre;

    // Where callers, peers (TCP) and members (UDP) are listened to; peers are told the latter two.
    // The platform's list of VMs names the peer endpoint only, so the membership endpoint is the
    // same unless it is set.
    Endpoint callerEndpoint;
    Endpoint peerEndpoint;
    Endpoint membershipEndpoint;

    // The platform's object store and list of VMs.
    Endpoint platformEndpoint;

    // Peer endpoints to ask for members where the platform's list cannot be had.
    std::vector<Endpoint> seeds;

    std::uint32_t trafficThreads = 2;
    LimitSettings limits;

    // The first signs, all verify; never empty.
    std::vector<TokenKey> tokenKeys;

    std::vector<GroupSettings> groups;
    TimingSettings timings;
    LogOptions logging;

    // Time that a planned stop has to finish the requests in flight.
    std::chrono::milliseconds stopDeadline{10'000};
};

// Checked settings, or every error of the text, in the order of its lines.
using SettingsResult = boost::outcome_v2::basic_result<DaemonSettings, std::vector<Error>,
                                                       boost::outcome_v2::policy::terminate>;

// Neither function throws.
SettingsResult parseDaemonSettings(std::string_view yaml);
SettingsResult loadDaemonSettings(const std::string &path);

} // namespace fescuespring
