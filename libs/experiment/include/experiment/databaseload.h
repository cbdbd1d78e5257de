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

// Callers of one kind at one database. They call in open loop: arrivals do not wait for answers.
struct CallerStream
{
    std::string name;
    PlanId plan;

    // Load offered, as a share of what the slots can serve: in quiet times and at the crest.
    double quietLoad = 0.1;
    double crestLoad = 1.0;

    // Time in a slot: the least, and the mean of what comes on top, which is exponential.
    Duration leastService = std::chrono::milliseconds(1);
    Duration meanExtraService = std::chrono::milliseconds(3);

    Duration deadline = std::chrono::seconds(2);
    WorkLength length = WorkLength::Unknown;
    std::uint32_t customers = 50;

    // Entry VMs that its callers come through, counted from the first; all where 0.
    std::uint32_t vms = 0;

    Duration meanService() const
    {
        return leastService + meanExtraService;
    }
};

// One database of a group, its callers and its places.
struct DatabaseLoad
{
    std::string name;
    std::uint32_t slots = 3;
    std::uint32_t connectionLimit = 20;
    Duration openCost = std::chrono::milliseconds(10);

    // Entry VMs in each of the data centres; the database is in the first.
    std::uint32_t dataCentres = 3;
    std::uint32_t vmsPerDataCentre = 3;

    // One way each.
    Duration callerDelay = std::chrono::milliseconds(1);
    Duration dataCentreDelay = std::chrono::milliseconds(1);
    Duration localDelay = std::chrono::microseconds(250);

    std::map<PlanId, Plan> plans;
    std::vector<CallerStream> streams;

    // Jobs of a hundred times the length of short work, for the experiment with long work.
    CallerStream longJobs;

    std::uint32_t vms() const
    {
        return dataCentres * vmsPerDataCentre;
    }
};

// Dashboard of the dairy cooperatives: three plans of the same priority by weight.
DatabaseLoad herdviewDatabaseLoad();

// Shelf labels: price changes of head office first, then scanners, then planning queries.
DatabaseLoad dvorakDatabaseLoad();

// "herdview" or "dvorak".
std::optional<DatabaseLoad> databaseLoadFromName(std::string_view name);

} // namespace fescuespring
