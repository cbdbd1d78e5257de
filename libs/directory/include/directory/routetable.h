#pragma once

#include "base/types.h"
#include "customers/customertable.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fescuespring {

using RouteName = Name<struct RouteTag>;

// Consistency guaranteed to reads of a route.
enum class ReadConsistency {
    // Reads see every acknowledged commit.
    Primary,

    // Reads see every commit acknowledged longer ago than the staleness bound.
    BoundedStaleness,

    // As BoundedStaleness, and reads see every commit of their own session.
    ReadYourWrites,
};

const char *toString(ReadConsistency consistency);

// Group and limits for the statements of sessions that connect with one database name.
struct Route
{
    RouteName name;
    GroupId group;
    ReadConsistency consistency = ReadConsistency::Primary;

    // Staleness bound; unused with ReadConsistency::Primary.
    std::chrono::milliseconds maximumStaleness{0};

    // Limit for one statement.
    std::chrono::milliseconds timeout{1000};

    // Target duration of a whole operation.
    std::chrono::milliseconds latencyTarget{250};

    // 0 is the highest priority.
    std::uint32_t priority = 0;

    // Callers need no API key, also where the configuration has customers.
    bool isPublic = false;
};

struct GroupLimits
{
    // Connections that each database of the group accepts, from all VMs together.
    std::uint32_t connections = 20;

    // Replicas that must have received a commit before it is acknowledged.
    std::uint32_t synchronousReplicas = 0;

    bool operator==(const GroupLimits &) const = default;
};

// One version of the operator's configuration.
struct RouteConfiguration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<GroupId, GroupLimits> groups;

    // The customers that may connect, each with its keys and allowance. Empty where callers are not
    // identified.
    std::vector<Customer> customers = {};

    // A transaction that is idle for longer may be ended.
    std::chrono::milliseconds idleTransactionTimeout{10'000};
};

// The configuration in force. Versions only increase. Not thread-safe.
class RouteTable
{
public:
    // Applies a configuration; returns false and changes nothing if it is not newer.
    bool apply(RouteConfiguration configuration);

    // nullptr if there is no such route or no configuration yet. Valid until the next apply().
    const Route *find(const RouteName &name) const;

    bool isLoaded() const
    {
        return m_isLoaded;
    }
    const RouteConfiguration &configuration() const
    {
        return m_configuration;
    }
    const CustomerTable &customers() const
    {
        return m_customers;
    }

private:
    bool m_isLoaded = false;
    RouteConfiguration m_configuration;
    std::map<RouteName, Route> m_routes;
    CustomerTable m_customers;
};

} // namespace fescuespring
