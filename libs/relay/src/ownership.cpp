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

std::uint32_t part(std::uint32_t connections, double share, std::size_t owners)
{
    const double each = std::floor(connections * share / static_cast<double>(owners));
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(each));
}

// Takes the first VM of each data centre in turn, then the second, and so on.
std::vector<VmId> inTurn(const std::map<DataCentreId, std::vector<VmId>> &orders, std::size_t count)
{
    std::vector<VmId> chosen;
    for (std::size_t place = 0; chosen.size() < count; ++place) {
        const std::size_t before = chosen.size();
        for (const auto &[dataCentre, order] : orders) {
            if (place < order.size() && chosen.size() < count)
                chosen.push_back(order[place]);
        }
        if (chosen.size() == before)
            break;
    }
    return chosen;
}

} // namespace

ConnectionShares shareOut(std::uint32_t connections, std::uint32_t slots, std::size_t vms)
{
    const std::size_t all = std::max<std::size_t>(1, vms);
    const auto enough = static_cast<std::size_t>(connections * usableShare / connectionsPerOwner);
    ConnectionShares shares;
    shares.owners = std::clamp<std::size_t>(enough, 1, all);
    shares.kept = part(connections, keptShare, shares.owners);
    shares.maximum = part(connections, usableShare, shares.owners);
    shares.fewestStatements =
            std::max(1.0, slots * statementsPerSlot / static_cast<double>(shares.owners));
    return shares;
}

OwnerPlan::OwnerPlan(std::vector<VmRecord> vms)
    : m_vms(std::move(vms))
{
    std::ranges::sort(m_vms, {}, [](const VmRecord &record) { return record.vm; });
    std::map<DataCentreId, std::vector<VmId>> members;
    for (const VmRecord &record : m_vms)
        members[record.dataCentre].push_back(record.vm);
    for (const auto &[dataCentre, vmsThere] : members)
        m_placements.emplace(dataCentre, Placement(vmsThere));
}

const VmRecord &OwnerPlan::record(const VmId &vm) const
{
    return *std::ranges::lower_bound(m_vms, vm, {},
                                     [](const VmRecord &record) { return record.vm; });
}

std::vector<VmId> OwnerPlan::chosen(const DatabaseId &database, std::size_t count) const
{
    std::map<DataCentreId, std::vector<VmId>> orders;
    for (const auto &[place, placement] : m_placements)
        orders[place] = placement.owners("connections " + database.value(), count);
    return inTurn(orders, count);
}

std::size_t OwnerPlan::rank(const DatabaseId &database, std::size_t count, const VmId &vm) const
{
    const std::vector<VmId> owners = chosen(database, count);
    const auto found = std::ranges::find(owners, vm);
    return found == owners.end() ? count : static_cast<std::size_t>(found - owners.begin());
}

std::vector<VmRecord> OwnerPlan::owners(const DatabaseId &database, std::size_t count,
                                        const VmId &self, const DataCentreId &dataCentre) const
{
    // Who asks draws an order of its own, so that the askers spread.
    const std::vector<VmId> spread =
            Placement(chosen(database, count))
                    .owners("asks " + self.value() + ' ' + database.value(), count);
    std::vector<VmRecord> ordered;
    ordered.reserve(spread.size());
    for (const VmId &vm : spread)
        ordered.push_back(record(vm));
    std::stable_partition(ordered.begin(), ordered.end(),
                          [&](const VmRecord &owner) { return owner.dataCentre == dataCentre; });
    return ordered;
}

} // namespace fescuespring
