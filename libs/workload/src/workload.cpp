#include "workload/workload.h"

#include <algorithm>

namespace fescuespring {

namespace {

using namespace std::chrono_literals;

// Minimum work of a long request.
constexpr Duration longWork = 100ms;

std::vector<GroupId> threeGroups(const std::string &name)
{
    return {GroupId(name + "-1"), GroupId(name + "-2"), GroupId(name + "-3")};
}

// Lists that assign each customer of the classes the plan of its class.
PlanLists listsOf(std::map<PlanId, Plan> plans, const std::vector<RequestClass> &classes)
{
    PlanLists lists{.version = ObjectVersion(1), .plans = std::move(plans), .customers = {}};
    for (const RequestClass &requestClass : classes)
        lists.customers[requestClass.customer] = requestClass.plan;
    return lists;
}

RequestClass readClass(const std::string &name, const std::string &customer,
                       const std::string &plan, double share, Duration work)
{
    RequestClass requestClass;
    requestClass.name = name;
    requestClass.customer = CustomerId(customer);
    requestClass.plan = PlanId(plan);
    requestClass.share = share;
    requestClass.work = work;
    return requestClass;
}

RequestClass writeClass(const std::string &name, const std::string &customer,
                        const std::string &plan, double share, Duration work)
{
    RequestClass requestClass = readClass(name, customer, plan, share, work);
    requestClass.access = Access::Write;
    return requestClass;
}

RequestClass billingClass(const std::string &name, const std::string &customer,
                          const std::string &plan, double share, Duration work)
{
    RequestClass requestClass = writeClass(name, customer, plan, share, work);
    requestClass.idempotent = false;
    return requestClass;
}

RequestClass agedClass(const std::string &name, const std::string &customer,
                       const std::string &plan, double share, Duration work,
                       std::chrono::milliseconds age)
{
    RequestClass requestClass = readClass(name, customer, plan, share, work);
    requestClass.maximumAge = age;
    requestClass.deadline = 5000ms;
    return requestClass;
}

RequestClass longClass(RequestClass requestClass)
{
    requestClass.length = WorkLength::Long;
    requestClass.deadline = 30000ms;
    return requestClass;
}

} // namespace

LoadWorkload herdviewLoad()
{
    std::vector<RequestClass> classes{
            readClass("stall-view", "coop-1", "parlour", 45, 2ms),
            writeClass("milking-record", "coop-2", "parlour", 6, 3ms),
            billingClass("billing", "utility", "billing", 3, 3ms),
            agedClass("herd-history", "vets", "history", 45.8, 6ms, 5000ms),
            longClass(agedClass("season-report", "office", "reports", 0.2, 300ms, 60000ms))};
    classes[1].statements = 2;
    std::map<PlanId, Plan> plans{
            {PlanId("parlour"), {.weight = 6, .priority = 1, .connections = 20}},
            {PlanId("billing"), {.weight = 2, .priority = 1, .connections = 20}},
            {PlanId("history"), {.weight = 2, .connections = 20}},
            {PlanId("reports"), {.weight = 1, .connections = 20}}};
    LoadWorkload workload{
            .name = "herdview",
            .places = {DataCentreId("andong"), DataCentreId("yeongju"), DataCentreId("sangju")},
            .placeDelay = 1ms,
            .callerDelay = 1ms,
            .groups = threeGroups("herd"),
            .connections = 20,
            .lists = listsOf(std::move(plans), classes),
            .classes = {}};
    workload.classes = std::move(classes);
    return workload;
}

LoadWorkload dvorakLoad()
{
    std::vector<RequestClass> classes{
            writeClass("price-change", "head-office", "head-office", 8, 3ms),
            readClass("label-check", "scanners", "scanners", 40, 2ms),
            billingClass("markdown", "stores", "scanners", 4, 3ms),
            agedClass("planning-query", "planners", "planning", 47.8, 8ms, 10000ms),
            longClass(writeClass("recalculation", "promotions", "planning", 0.2, 300ms))};
    std::map<PlanId, Plan> plans{
            {PlanId("head-office"), {.weight = 4, .priority = 2, .connections = 40}},
            {PlanId("scanners"), {.weight = 6, .priority = 1, .connections = 40}},
            {PlanId("planning"), {.weight = 1, .connections = 40}}};
    LoadWorkload workload{.name = "dvorak",
                          .places = {DataCentreId("brno-sever"), DataCentreId("brno-jih"),
                                     DataCentreId("olomouc")},
                          .placeDelay = 1500us,
                          .callerDelay = 3ms,
                          .groups = threeGroups("price"),
                          .connections = 40,
                          .lists = listsOf(std::move(plans), classes),
                          .classes = {}};
    workload.classes = std::move(classes);
    return workload;
}

std::optional<LoadWorkload> loadWorkloadByName(std::string_view name)
{
    if (name == "herdview")
        return herdviewLoad();
    if (name == "dvorak")
        return dvorakLoad();
    return std::nullopt;
}

double slotCapacity(const LoadWorkload &workload)
{
    double shares = 0;
    double work = 0;
    double primaryWork = 0;
    for (const RequestClass &requestClass : workload.classes) {
        const std::chrono::duration<double> each = requestClass.work * requestClass.statements;
        shares += requestClass.share;
        work += requestClass.share * each.count();
        if (requestClass.access == Access::Write)
            primaryWork += requestClass.share * each.count();
    }
    const double primarySlots = static_cast<double>(workload.groups.size()) * workload.slots;
    const double allSlots = primarySlots * workload.databasesPerGroup;
    double capacity = work > 0 ? allSlots * shares / work : 0;
    if (primaryWork > 0)
        capacity = std::min(capacity, primarySlots * shares / primaryWork);
    return capacity;
}

LoadWorkload without(LoadWorkload workload, bool (*drop)(const RequestClass &))
{
    std::erase_if(workload.classes, drop);
    return workload;
}

bool isLongWork(const RequestClass &requestClass)
{
    return requestClass.work >= longWork;
}

} // namespace fescuespring
