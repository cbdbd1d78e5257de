#include "relay/ownership.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <utility>

namespace fescuespring {

namespace {

// Connections that each owner should have, so that transactions rarely wait for one another.
constexpr double connectionsPerOwner = 6;

// Share of the connections that owners may use. The rest is for VMs that have no list of owners yet
// and for connections that a lost VM has left open.
constexpr double usableShare = 0.95;

// Share that is kept open. If a VM loses power, the database holds its open connections for
// seconds.
constexpr double keptShare = 0.45;

// Minimum statements at a database for each of its slots, of all owners together.
constexpr double statementsPerSlot = 1.5;

// Databases that a VM holds connections to before the number of owners per database is reduced.
constexpr std::size_t databasesPerVm = 32;

// Minimum owners of a database, if there are enough VMs and connections: after the loss of
// two, a majority remains to report the database as unresponsive.
constexpr std::size_t minimumOwners = 5;

// With three, one may be lost together with the database.
constexpr std::size_t minimumObservers = 3;

// Observers outside any one data centre: one of them may have just restarted.
constexpr std::size_t observersOutside = 2;

// Maximum connections that an owner keeps open; more are opened on demand.
constexpr std::uint32_t maximumKept = 3;

std::uint32_t sharePerOwner(std::uint32_t connections, double share, std::size_t owners)
{
    const double each = std::floor(connections * share / static_cast<double>(owners));
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(each));
}

// Owners per database such that no VM owns more than databasesPerVm databases, but at least
// minimumOwners.
std::size_t maximumOwners(const ShareRequest &request)
{
    const std::size_t databases = std::max<std::size_t>(1, request.databases);
    return std::max(minimumOwners, request.vms * databasesPerVm / databases);
}

} // namespace

ConnectionShares shareOut(const ShareRequest &request)
{
    const std::size_t vms = std::max<std::size_t>(1, request.vms);
    const auto ownersWithEnough =
            static_cast<std::size_t>(request.connections * usableShare / connectionsPerOwner);
    ConnectionShares shares;
    shares.owners =
            std::clamp<std::size_t>(std::min(ownersWithEnough, maximumOwners(request)), 1, vms);
    shares.kept =
            std::min(maximumKept, sharePerOwner(request.connections, keptShare, shares.owners));
    shares.maximum = sharePerOwner(request.connections, usableShare, shares.owners);
    shares.minimumStatements =
            std::max(1.0, request.slots * statementsPerSlot / static_cast<double>(shares.owners));
    return shares;
}

OwnerPlan::OwnerPlan(std::vector<VmRecord> vms)
    : m_vms(std::move(vms))
{
    std::ranges::sort(m_vms, {}, [](const VmRecord &record) { return record.vm; });
    std::map<DataCentreId, std::vector<VmId>> names;
    for (std::size_t index = 0; index < m_vms.size(); ++index) {
        const VmRecord &record = m_vms[index];
        names[record.dataCentre].push_back(record.vm);
        m_dataCentres[record.dataCentre].vms.push_back(index);
    }
    for (auto &[id, dataCentre] : m_dataCentres)
        dataCentre.placement = Placement(names[id]);
}

// The data centres in the order in which they provide owners: that of the database first, the
// others in an order of the database's own, so that the owners of all databases are spread.
std::vector<const OwnerPlan::DataCentre *> OwnerPlan::ordered(const PlacedDatabase &database) const
{
    std::vector<const DataCentre *> order;
    const auto home = m_dataCentres.find(database.dataCentre);
    if (home != m_dataCentres.end())
        order.push_back(&home->second);
    std::vector<VmId> names;
    std::vector<const DataCentre *> others;
    for (const auto &[id, dataCentre] : m_dataCentres) {
        if (id == database.dataCentre)
            continue;
        names.emplace_back(id.value());
        others.push_back(&dataCentre);
    }
    const Placement placement(names);
    for (const std::size_t place :
         placement.ownerPlaces("data centres " + database.database.value(), names.size()))
        order.push_back(others[place]);
    return order;
}

// Selects the first VM of each data centre in turn, then the second, and so on.
std::vector<std::size_t> OwnerPlan::selectOwners(const PlacedDatabase &database,
                                                 std::size_t count) const
{
    const std::string job = "connections " + database.database.value();
    const std::size_t dataCentres = std::max<std::size_t>(1, m_dataCentres.size());
    std::size_t wanted = (count + dataCentres - 1) / dataCentres;
    // If a data centre has too few VMs, the others provide more owners.
    for (const auto &[id, dataCentre] : m_dataCentres) {
        if (dataCentre.vms.size() < wanted)
            wanted = count;
    }
    std::vector<std::vector<std::size_t>> orders;
    for (const DataCentre *dataCentre : ordered(database)) {
        std::vector<std::size_t> &order =
                orders.emplace_back(dataCentre->placement.ownerPlaces(job, wanted));
        for (std::size_t &place : order)
            place = dataCentre->vms[place];
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

std::size_t OwnerPlan::observerCount(std::size_t owners) const
{
    const std::size_t dataCentres = std::max<std::size_t>(1, m_dataCentres.size());
    std::size_t count = std::max({owners, dataCentres, minimumObservers});
    const auto outsideLargest = [&] {
        return count - (count + dataCentres - 1) / dataCentres;
    };
    while (dataCentres > 1 && outsideLargest() < observersOutside)
        ++count;
    return std::min(m_vms.size(), count);
}

std::size_t OwnerPlan::rank(const PlacedDatabase &database, std::size_t count, const VmId &vm) const
{
    const std::vector<std::size_t> owners = selectOwners(database, count);
    const auto found = std::ranges::find(
            owners, vm, [this](std::size_t index) -> const VmId & { return m_vms[index].vm; });
    return found == owners.end() ? count : static_cast<std::size_t>(found - owners.begin());
}

std::vector<VmRecord> OwnerPlan::owners(const PlacedDatabase &database, std::size_t count,
                                        const VmId &self, const DataCentreId &dataCentre) const
{
    std::vector<std::size_t> indices = selectOwners(database, count);
    std::ranges::sort(indices);
    std::vector<VmId> names;
    names.reserve(indices.size());
    for (const std::size_t index : indices)
        names.push_back(m_vms[index].vm);
    // Each VM uses an order of its own, which spreads the VMs over the owners.
    const std::vector<std::size_t> spread = Placement(names).ownerPlaces(
            "asks " + self.value() + ' ' + database.database.value(), count);
    std::vector<VmRecord> ordered;
    ordered.reserve(spread.size());
    for (const std::size_t place : spread)
        ordered.push_back(m_vms[indices[place]]);
    std::stable_partition(ordered.begin(), ordered.end(),
                          [&](const VmRecord &owner) { return owner.dataCentre == dataCentre; });
    return ordered;
}

} // namespace fescuespring
