#include "statuspage.h"

#include <boost/json.hpp>

namespace json = boost::json;

namespace fescuespring {

namespace {

json::object databaseJson(const SliceDatabaseStatus &database)
{
    return {{"database", database.database.value()},
            {"dataCentre", database.dataCentre.value()},
            {"reachable", database.reachable},
            {"leaving", database.leaving},
            {"role", toString(database.role)},
            {"term", database.term.value()},
            {"position", database.applied.position.value()},
            {"ageMs", database.age.count()},
            {"connections", database.connections},
            {"queued", database.queued},
            {"running", database.running}};
}

json::object sliceJson(const SliceStatus &slice)
{
    json::array databases;
    for (const SliceDatabaseStatus &database : slice.databases)
        databases.push_back(databaseJson(database));
    return {{"group", slice.group.value()},
            {"primary", slice.primary.value()},
            {"term", slice.term.value()},
            {"databases", std::move(databases)}};
}

json::array membersJson(const Directory &directory)
{
    json::array members;
    for (const auto &[dataCentre, vms] : directory.vms) {
        for (const PeerVm &vm : vms) {
            members.push_back(
                    json::object{{"vm", vm.vm.value()},
                                 {"dataCentre", dataCentre.value()},
                                 {"peers", vm.peers.ip + ':' + std::to_string(vm.peers.port)}});
        }
    }
    return members;
}

json::object listsJson(const ListsStatus &lists)
{
    return {{"version", lists.mark.version.value()},
            {"ready", lists.ready},
            {"isWatcher", lists.isWatcher},
            {"refused", describe(lists.refused)}};
}

} // namespace

void collectStatus(EventLoop &loop, const std::vector<std::unique_ptr<TrafficThread>> &threads,
                   const DaemonSettings &settings, const SharedState &state,
                   const ListsStatus &lists, const HttpResponder &respond)
{
    const auto status = state.board.status.snapshot();
    const auto directory = state.directory.snapshot();
    auto page = std::make_shared<json::object>(json::object{
            {"vm", settings.vm.value()},
            {"dataCentre", settings.dataCentre.value()},
            {"serving", status->serving},
            {"leaving", status->leaving},
            {"storeReachable", status->storeReachable},
            {"reason", status->reason},
            {"lists", listsJson(lists)},
            {"members", membersJson(*directory)},
    });
    auto slices = std::make_shared<json::array>();
    auto left = std::make_shared<std::size_t>(threads.size());
    for (const auto &thread : threads) {
        thread->sliceStatus(
                [&loop, page, slices, left, respond](const std::vector<SliceStatus> &found) {
                    loop.post([page, slices, left, respond, found] {
                        for (const SliceStatus &slice : found)
                            slices->push_back(sliceJson(slice));
                        if (--*left > 0)
                            return;
                        (*page)["slices"] = std::move(*slices);
                        respond({.body = json::serialize(*page)});
                    });
                });
    }
}

} // namespace fescuespring
