#include "relay/ownership.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <utility>

namespace fescuespring {

namespace {

// Connections that an owner should have at least for transactions to wait little for one another.
constexpr double connectionsPerOwner = 6;

// Part of the connections that owners may use; the rest is for VMs that do not know them yet and
// for connections that a lost VM has left behind.
constexpr double usableShare = 0.95;

// Part that is kept open. What is open is held for seconds by the database when a VM loses power.
constexpr double keptShare = 0.45;

// Statements at a database for each of its slots at least, of all owners together.
constexpr double statementsPerSlot = 1.5;

// Databases that a VM looks after, with connections of its own, before fewer VMs share each one.
constexpr std::size_t databasesPerVm = 32;

// Owners that a database has at least where there are so many VMs and connections: with two of them
// gone, most are left to say that it is silent.
constexpr std::size_t fewestOwners = 5;

// Connections that an owner keeps open at most; more are opened as they are needed.
constexpr std::uint32_t mostKept = 3;

std::uint32_t part(std::uint32_t connections, double share, std::size_t owners)
{
    const double each = std::floor(connections * share / static_cast<double>(owners));
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(each));
}

// Owners of each database for which no VM looks after more than databasesPerVm.
std::size_t bearableOwners(const ShareRequest &request)
{
    const std::size_t databases = std::max<std::size_t>(1, request.databases);
    return std::max(fewestOwners, request.vms * databasesPerVm / databases);
}

} // namespace

ConnectionShares shareOut(const ShareRequest &request)
{
    const std::size_t vms = std::max<std::size_t>(1, request.vms);
    const auto enough =
            static_cast<std::size_t>(request.connections * usableShare / connectionsPerOwner);
    ConnectionShares shares;
    shares.owners = std::clamp<std::size_t>(std::min(enough, bearableOwners(request)), 1, vms);
    shares.kept = std::min(mostKept, part(request.connections, keptShare, shares.owners));
    shares.maximum = part(request.connections, usableShare, shares.owners);
    shares.minimumStatements =
            std::max(1.0, request.slots * statementsPerSlot / static_cast<double>(shares.owners));
    return shares;
}

OwnerPlan::OwnerPlan(std::vector<VmRecord> vms)
    : m_vms(std::move(vms))
{
    std::ranges::sort(m_vms, {}, [](const VmRecord &record) { return record.vm; });
    std::map<DataCentreId, std::vector<VmId>> names;
    for (std::size_t place = 0; place < m_vms.size(); ++place) {
        const VmRecord &record = m_vms[place];
        names[record.dataCentre].push_back(record.vm);
        m_dataCentres[record.dataCentre].vms.push_back(place);
    }
    for (auto &[id, dataCentre] : m_dataCentres)
        dataCentre.placement = Placement(names[id]);
}

// Takes the first VM of each data centre in turn, then the second, and so on.
std::vector<std::size_t> OwnerPlan::chosen(const DatabaseId &database, std::size_t count) const
{
    const std::string job = "connections " + database.value();
    const std::size_t dataCentres = std::max<std::size_t>(1, m_dataCentres.size());
    std::size_t wanted = (count + dataCentres - 1) / dataCentres;
    // Small data centres leave more to the others.
    for (const auto &[id, dataCentre] : m_dataCentres) {
        if (dataCentre.vms.size() < wanted)
            wanted = count;
    }
    std::vector<std::vector<std::size_t>> orders;
    for (const auto &[id, dataCentre] : m_dataCentres) {
        std::vector<std::size_t> &order =
                orders.emplace_back(dataCentre.placement.ownerPlaces(job, wanted));
        for (std::size_t &place : order)
            place = dataCentre.vms[place];
    }
    std::vector<std::size_t> chosen;
    for (std::size_t turn = 0; turn < wanted && chosen.size() < count; ++turn) {
        for (const std::vector<std::size_t> &order : orders) {
            if (turn < order.size() && chosen.size() < count)
                chosen.push_back(order[turn]);
        }
    }
    return chosen;
}

std::size_t OwnerPlan::rank(const DatabaseId &database, std::size_t count, const VmId &vm) const
{
    const std::vector<std::size_t> owners = chosen(database, count);
    const auto found = std::ranges::find(
            owners, vm, [this](std::size_t place) -> const VmId & { return m_vms[place].vm; });
    return found == owners.end() ? count : static_cast<std::size_t>(found - owners.begin());
}

std::vector<VmRecord> OwnerPlan::owners(const DatabaseId &database, std::size_t count,
                                        const VmId &self, const DataCentreId &dataCentre) const
{
    std::vector<std::size_t> places = chosen(database, count);
    std::ranges::sort(places);
    std::vector<VmId> names;
    names.reserve(places.size());
    for (const std::size_t place : places)
        names.push_back(m_vms[place].vm);
    // Who asks draws an order of its own, so that the askers spread.
    const std::vector<std::size_t> spread =
            Placement(names).ownerPlaces("asks " + self.value() + ' ' + database.value(), count);
    std::vector<VmRecord> ordered;
    ordered.reserve(spread.size());
    for (const std::size_t place : spread)
        ordered.push_back(m_vms[places[place]]);
    std::stable_partition(ordered.begin(), ordered.end(),
                          [&](const VmRecord &owner) { return owner.dataCentre == dataCentre; });
    return ordered;
}

} // namespace fescuespring
