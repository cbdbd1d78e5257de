#pragma once

#include "base/types.h"
#include "messages/plans.h"
#include "messages/request.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuespring {

// Callers of one kind at one database, in open loop: arrivals do not wait for replies.
struct CallerStream
{
    std::string name;
    PlanId plan;

    // Offered load as a share of the capacity of the slots, at quiet times and at the peak.
    double quietLoad = 0.1;
    double peakLoad = 1.0;

    // Service time in a slot: a fixed minimum plus an exponentially distributed extra time.
    Duration minimumService = std::chrono::milliseconds(1);
    Duration meanExtraService = std::chrono::milliseconds(3);

    Duration deadline = std::chrono::seconds(2);
    WorkLength length = WorkLength::Unknown;
    std::uint32_t customers = 50;

    // Number of entry VMs that the callers use, counted from the first; 0 for all.
    std::uint32_t vms = 0;

    Duration meanService() const
    {
        return minimumService + meanExtraService;
    }
};

// One database of a group, its callers and their locations.
struct DatabaseLoad
{
    std::string name;
    std::uint32_t slots = 3;
    std::uint32_t connectionLimit = 20;
    Duration openCost = std::chrono::milliseconds(10);

    // Data centres and entry VMs in each; the database is in the first data centre.
    std::uint32_t dataCentres = 3;
    std::uint32_t vmsPerDataCentre = 3;

    // One-way network delays.
    Duration callerDelay = std::chrono::milliseconds(1);
    Duration dataCentreDelay = std::chrono::milliseconds(1);
    Duration localDelay = std::chrono::microseconds(250);

    std::map<PlanId, Plan> plans;
    std::vector<CallerStream> streams;

    // Jobs a hundred times as long as short work, for the head-of-line experiment.
    CallerStream longJobs;

    std::uint32_t vms() const
    {
        return dataCentres * vmsPerDataCentre;
    }
};

// Dashboard of the dairy cooperatives: three plans of equal priority, shared by weight.
DatabaseLoad herdviewDatabaseLoad();

// Shelf labels, in order of priority: price changes of head office, scanners, planning queries.
DatabaseLoad dvorakDatabaseLoad();

// Returns the load named "herdview" or "dvorak".
std::optional<DatabaseLoad> databaseLoadFromName(std::string_view name);

} // namespace fescuespring
