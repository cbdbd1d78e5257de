#pragma once

#include "base/types.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fescuespring {

using RouteName = Name<struct RouteTag>;

// What reads of a route must see.
enum class ReadConsistency {
    // Every acknowledged commit.
    Primary,

    // Every commit that was acknowledged longer ago than the staleness bound.
    BoundedStaleness,

    // The same, and every commit of the session.
    ReadYourWrites,
};

const char *toString(ReadConsistency consistency);

// Where the statements of sessions of one database name go, and on which terms.
struct Route
{
    RouteName name;
    GroupId group;
    ReadConsistency consistency = ReadConsistency::Primary;

    // Staleness bound; of no meaning for ReadConsistency::Primary.
    std::chrono::milliseconds maximumStaleness{0};

    // Longest time for one statement.
    std::chrono::milliseconds timeout{1000};

    // Time that a whole operation should take.
    std::chrono::milliseconds latencyTarget{250};

    // 0 goes first.
    std::uint32_t priority = 0;
};

struct GroupLimits
{
    // Connections that each database of the group bears, of all VMs together.
    std::uint32_t connections = 20;

    // Replicas that must have received a commit before it is acknowledged.
    std::uint32_t synchronousReplicas = 0;

    bool operator==(const GroupLimits &) const = default;
};

// The operator's configuration, of one version.
struct RouteConfiguration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<GroupId, GroupLimits> groups;

    // A transaction that rests for longer may be ended.
    std::chrono::milliseconds idleTransactionTimeout{10'000};
};

// The configuration in force. Versions only rise. One thread only.
class RouteTable
{
public:
    // Takes over a configuration; false, without a change, for one that is not newer.
    bool apply(RouteConfiguration configuration);

    // Nothing where no such route exists, or before the first configuration. Valid until apply.
    const Route *find(const RouteName &name) const;

    bool isLoaded() const
    {
        return m_isLoaded;
    }
    const RouteConfiguration &configuration() const
    {
        return m_configuration;
    }

private:
    bool m_isLoaded = false;
    RouteConfiguration m_configuration;
    std::map<RouteName, Route> m_routes;
};

} // namespace fescuespring
