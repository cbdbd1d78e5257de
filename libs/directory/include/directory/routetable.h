#pragma once

#include "base/types.h"
#include "customers/customertable.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
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

    // The customers that may connect, each with its keys and allowance.
    std::vector<Customer> customers = {};

    // Whether callers must show a customer's key, as there is a list of customers. Also set where
    // that list is empty or has no valid entry: then every caller is refused.
    bool areCallersIdentified = false;

    // A transaction that is idle for longer may be ended.
    std::chrono::milliseconds idleTransactionTimeout{10'000};
};

// The configuration in force. Versions only increase, so that a store that was restored from a copy
// brings no removed key back. Not thread-safe.
class RouteTable
{
public:
    // With a bound, the customers are used only while the configuration was confirmed within it;
    // without one always.
    explicit RouteTable(std::optional<Duration> confirmationBound = std::nullopt)
        : m_confirmationBound(confirmationBound)
    {}

    // Applies a configuration; returns false and changes nothing if it is not newer.
    bool apply(RouteConfiguration configuration);

    // Records that the store held no configuration above a version at a time. Ignored if that
    // version is not in force here yet.
    void confirm(std::uint64_t version, Instant at);

    // Every configuration that the store acknowledged before this time is in force or was replaced.
    // Empty before the first confirmation.
    std::optional<Instant> confirmedAt() const
    {
        return m_confirmedAt;
    }

    // Whether the customers may be used now: callers are not identified, there is no bound, or the
    // last confirmation is within it.
    bool isCurrent(Instant now) const;

    // Whether the configuration has to be confirmed, as callers are identified and there is a
    // bound.
    bool needsConfirmation() const
    {
        return m_confirmationBound && areCallersIdentified();
    }

    // Whether a key was removed by a configuration that came into force here, and not added again.
    bool wasRemoved(const KeyDigest &key) const
    {
        return m_removedKeys.contains(key);
    }

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
    // Whether callers must show a customer's key. Once a configuration in force here has asked for
    // it, a later one that lacks the list of customers does not end it.
    bool areCallersIdentified() const
    {
        return m_areCallersIdentified;
    }

    // Whether the configuration lacks the list of customers that an earlier one had.
    bool areCustomersMissing() const
    {
        return m_areCallersIdentified && !hasCustomerList();
    }
    const CustomerTable &customers() const
    {
        return m_customers;
    }

private:
    void applyCustomers();
    bool hasCustomerList() const
    {
        return m_configuration.areCallersIdentified || !m_customers.isEmpty();
    }

    bool m_isLoaded = false;
    bool m_areCallersIdentified = false;
    RouteConfiguration m_configuration;
    std::map<RouteName, Route> m_routes;
    CustomerTable m_customers;
    std::optional<Duration> m_confirmationBound;
    std::optional<Instant> m_confirmedAt;
    std::set<KeyDigest> m_removedKeys;
};

} // namespace fescuespring
