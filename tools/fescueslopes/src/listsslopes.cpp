#include "slopes.h"

#include "support/listsfleet.h"

#include <chrono>
#include <ctime>

namespace fescuespring {

using namespace std::chrono_literals;
using test::ListsFleet;

namespace {

constexpr std::chrono::seconds settleTime{10};
constexpr std::chrono::seconds editLimit{30};
constexpr std::chrono::milliseconds editSpacing{3927};

// Customers per part, as the operators' tool would store them.
constexpr std::size_t customersPerPart = 1000;

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

// Returns the processor time of action.
template <typename Action>
double cpuMilliseconds(const Action &action)
{
    const std::clock_t start = std::clock();
    action();
    return static_cast<double>(std::clock() - start) * 1000 / CLOCKS_PER_SEC;
}

std::vector<StoredObject> makeObjects(std::size_t customers)
{
    const std::size_t parts = (customers + customersPerPart - 1) / customersPerPart;
    std::vector<StoredObject> objects{
            {std::string(plansKey), ObjectVersion(1),
             "customerParts: " + std::to_string(parts) + "\nplans:\n  basic: {}\n  gold: {}\n"}};
    for (std::size_t part = 0; part < parts; ++part) {
        CustomersPart content;
        for (std::size_t i = part; i < customers; i += parts)
            content.customers[CustomerId("cooperative-" + std::to_string(i))] = {PlanId("gold"), 0};
        objects.push_back({customersKey(static_cast<std::uint32_t>(part)), ObjectVersion(1),
                           toText(content)});
    }
    return objects;
}

} // namespace

SlopeTable measureDistribution(const SlopeOptions &options)
{
    Series medianTime{"edit in force everywhere, median", "ms", {}};
    Series worstTime{"edit in force everywhere, worst", "ms", {}};
    Series calls{"store calls per edit, watches included", "calls", {}};
    Series idleCalls{"store calls between edits", "1/s", {}};
    Series pulls{"pulls per edit and VM", "pulls", {}};
    Series bytes{"list bytes pulled per edit and VM", "B", {}};
    Series start{"new VM has its lists, store down", "ms", {}};
    SlopeTable table{"Distribution of the plan lists (2 parts)", "members", {}, {}};
    for (const std::size_t count : options.sizes) {
        table.sizes.push_back(static_cast<double>(count));
        ListsFleet fleet({.count = count, .seed = options.seed});
        fleet.network.run(settleTime);
        const double before = static_cast<double>(fleet.store.calls);
        fleet.network.run(60s);
        idleCalls.values.push_back((static_cast<double>(fleet.store.calls) - before) / 60);

        const double callsBefore = static_cast<double>(fleet.store.calls);
        const double pullsBefore = static_cast<double>(fleet.pulls);
        const double bytesBefore = static_cast<double>(fleet.pulledBytes);
        std::vector<double> times;
        for (int i = 0; i < options.edits; ++i) {
            const char *plan = i % 2 == 0 ? "basic" : "gold";
            fleet.store.put("customers/1", std::string("customers:\n  coop-1: ") + plan + "\n");
            const Duration elapsed =
                    fleet.untilInForce(4 + static_cast<std::uint64_t>(i), editLimit);
            times.push_back(milliseconds(elapsed));
            fleet.network.run(editSpacing - std::min<Duration>(elapsed, editSpacing));
        }
        const double edits = options.edits;
        const double perVm = edits * static_cast<double>(count);
        medianTime.values.push_back(median(times));
        worstTime.values.push_back(worst(times));
        calls.values.push_back((static_cast<double>(fleet.store.calls) - callsBefore) / edits);
        pulls.values.push_back((static_cast<double>(fleet.pulls) - pullsBefore) / perVm);
        bytes.values.push_back((static_cast<double>(fleet.pulledBytes) - bytesBefore) / perVm);

        fleet.store.isDown = true;
        fleet.network.run(settleTime);
        const std::size_t newVm = fleet.add();
        start.values.push_back(milliseconds(fleet.network.runUntil(
                [&] { return fleet.nodes[newVm].distribution->isReady(); }, editLimit)));
    }
    table.series = {medianTime, worstTime, calls, idleCalls, pulls, bytes, start};
    return table;
}

SlopeTable measureLists()
{
    SlopeTable table{"Plan lists (parts of 1,000 customers)", "customers", {}, {}};
    Series text{"text of all objects", "B", {}};
    Series fullUpdate{"take in all objects", "ms", {}};
    Series partUpdate{"take in an edit of one part", "ms", {}};
    Series snapshot{"build the snapshot for the traffic threads", "ms", {}};
    Series memory{"memory of objects, parts and two snapshots", "B", {}};
    for (const std::size_t customers : {1000UL, 10000UL, 100000UL}) {
        table.sizes.push_back(static_cast<double>(customers));
        std::vector<StoredObject> objects = makeObjects(customers);
        double bytes = 0;
        for (const StoredObject &object : objects)
            bytes += static_cast<double>(object.value.size());
        text.values.push_back(bytes);

        const double before = allocatedBytes();
        ListSet lists;
        fullUpdate.values.push_back(cpuMilliseconds([&] { (void)lists.offer(objects); }));
        StoredObject &changed = objects.back();
        changed.version = changed.version.next();
        partUpdate.values.push_back(cpuMilliseconds([&] { (void)lists.offer({changed}); }));
        PlanLists first;
        PlanLists second;
        snapshot.values.push_back(cpuMilliseconds([&] { first = lists.lists(); }));
        second = lists.lists();
        memory.values.push_back(allocatedBytes() - before);
    }
    table.series = {text, fullUpdate, partUpdate, snapshot, memory};
    return table;
}

} // namespace fescuespring
