#pragma once

#include "base/types.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace fescuespring {

// When a write of a plan's customers is acknowledged.
enum class Durability {
    // A second database of the group holds the write; a change of primary cannot lose it.
    Replicated,
    // The primary holds the write; a failover may lose the newest writes.
    Primary,
};

const char *toString(Durability durability);
std::optional<Durability> durabilityFromString(std::string_view text);

// Limits and guarantees of the customers of one plan.
struct Plan
{
    // Share of the slots under contention, relative to the weights of other plans; 1 to 1000.
    std::uint32_t weight = 1;

    // Plans of a higher priority are served first; 0 to 9.
    std::uint32_t priority = 0;

    // Maximum number of the plan's statements that hold a connection to one database at once.
    std::uint32_t connections = 1;

    // Maximum number of the plan's requests that wait for one database.
    std::uint32_t queue = 100;

    // Maximum number of the plan's long statements that hold a slot of one database at once; 0
    // forbids them.
    std::uint32_t longStatements = 1;

    Durability durability = Durability::Replicated;

    // Maximum age of the data for reads that specify none; nullopt means that reads must be
    // current.
    std::optional<std::chrono::milliseconds> maximumAge;

    bool operator==(const Plan &) const = default;
};

// The two lists that operators edit, at one version.
struct PlanLists
{
    ObjectVersion version;
    std::map<PlanId, Plan> plans;
    std::map<CustomerId, PlanId> customers;

    bool operator==(const PlanLists &) const = default;
};

} // namespace fescuespring
