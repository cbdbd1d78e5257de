#pragma once

#include "base/types.h"
#include "messages/plans.h"
#include "messages/request.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuespring {

// Requests of one kind: their sender, operation and slot time. The statements are those of the
// database stand-in.
struct RequestClass
{
    std::string name;
    CustomerId customer;
    PlanId plan;

    // Weight of the class among all arrivals, relative to the other classes.
    double share = 1;

    Access access = Access::Read;
    bool idempotent = true;

    // Time for which one statement holds a slot.
    Duration work{0};

    // Statements per request; more than one form a transaction.
    std::uint32_t statements = 1;

    std::chrono::milliseconds deadline{2000};

    // For reads that accept stale data: its maximum age.
    std::optional<std::chrono::milliseconds> maximumAge;

    WorkLength length = WorkLength::Unknown;

    // Whether each session uses a key of its own, so that its answers can be verified.
    bool ownKey = false;
};

// The load of one operator's callers: data centres, groups and mix of requests.
struct LoadWorkload
{
    std::string name;
    std::vector<DataCentreId> places;

    // One-way delays between data centres, and between callers and a data centre.
    Duration placeDelay{0};
    Duration callerDelay{0};

    std::vector<GroupId> groups;
    std::uint32_t databasesPerGroup = 3;
    std::uint32_t slots = 3;
    std::uint32_t connections = 20;
    Duration connectionCost = std::chrono::milliseconds(10);

    PlanLists lists;
    std::vector<RequestClass> classes;
};

// Milking robots: stall views, milking records, billing, herd history, season yield reports.
LoadWorkload herdviewLoad();

// Shelf labels: head office price changes, scanners, markdowns, planning queries, recalculations.
LoadWorkload dvorakLoad();

// "herdview" or "dvorak".
std::optional<LoadWorkload> loadWorkloadByName(std::string_view name);

// Requests per second that the slots can serve with this mix: writes need slots of the primaries,
// reads those of any database.
double slotCapacity(const LoadWorkload &workload);

// The same workload without the classes for which drop returns true.
LoadWorkload without(LoadWorkload workload, bool (*drop)(const RequestClass &));

// Whether requests of this class run many times longer than most others.
bool isLongWork(const RequestClass &requestClass);

} // namespace fescuespring
