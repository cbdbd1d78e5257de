#include "experiment/databaseload.h"

namespace fescuespring {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

Plan makePlan(std::uint32_t weight, std::uint32_t priority, std::uint32_t connections)
{
    Plan plan;
    plan.weight = weight;
    plan.priority = priority;
    plan.connections = connections;
    plan.queue = 2000;
    return plan;
}

CallerStream makeLongJobs(const char *name, const CallerStream &model)
{
    constexpr int lengthFactor = 100;
    CallerStream jobs;
    jobs.name = name;
    jobs.plan = PlanId(name);
    jobs.minimumService = model.meanService() * lengthFactor;
    jobs.meanExtraService = Duration(1);
    jobs.deadline = std::chrono::seconds(20);
    jobs.length = WorkLength::Long;
    return jobs;
}

} // namespace

DatabaseLoad herdviewDatabaseLoad()
{
    DatabaseLoad load;
    load.name = "herdview";
    const std::uint32_t limit = load.connectionLimit;
    load.plans = {{PlanId("gold"), makePlan(5, 0, limit)},
                  {PlanId("silver"), makePlan(3, 0, limit)},
                  {PlanId("bronze"), makePlan(2, 0, limit)},
                  {PlanId("season-reports"), makePlan(2, 0, limit)}};
    for (const char *name : {"gold", "silver", "bronze"})
        load.streams.push_back({.name = name, .plan = PlanId(name)});
    load.longJobs = makeLongJobs("season-reports", load.streams.front());
    return load;
}

DatabaseLoad dvorakDatabaseLoad()
{
    DatabaseLoad load;
    load.name = "dvorak";
    load.connectionLimit = 40;
    load.callerDelay = milliseconds(3);
    load.dataCentreDelay = microseconds(1500);
    const std::uint32_t limit = load.connectionLimit;
    load.plans = {{PlanId("head-office"), makePlan(1, 2, limit)},
                  {PlanId("scanners"), makePlan(1, 1, limit)},
                  {PlanId("planning"), makePlan(1, 0, limit)},
                  {PlanId("recalculation"), makePlan(1, 0, limit)}};
    load.streams = {{.name = "head-office",
                     .plan = PlanId("head-office"),
                     .peakLoad = 0.5,
                     .minimumService = milliseconds(2),
                     .meanExtraService = milliseconds(3)},
                    {.name = "scanners",
                     .plan = PlanId("scanners"),
                     .peakLoad = 0.3,
                     .minimumService = milliseconds(1),
                     .meanExtraService = milliseconds(1)},
                    {.name = "planning",
                     .plan = PlanId("planning"),
                     .peakLoad = 2.2,
                     .minimumService = milliseconds(3),
                     .meanExtraService = milliseconds(5)}};
    load.longJobs = makeLongJobs("recalculation", load.streams.front());
    return load;
}

std::optional<DatabaseLoad> databaseLoadFromName(std::string_view name)
{
    if (name == "herdview")
        return herdviewDatabaseLoad();
    if (name == "dvorak")
        return dvorakDatabaseLoad();
    return std::nullopt;
}

} // namespace fescuespring
