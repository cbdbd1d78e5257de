#pragma once

#include "base/types.h"
#include "placement/placement.h"
#include "vmregistry/vmregistry.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace fescuespring {

// How the connections of one database are divided among VMs.
struct ConnectionShares
{
    // VMs that hold connections; the others relay their statements through these.
    std::size_t owners = 1;

    // Connections that each owner keeps open, and its maximum.
    std::uint32_t kept = 1;
    std::uint32_t maximum = 1;

    // Lower bound of the statements that each owner may run at once, so that no slot is idle.
    double minimumStatements = 1;
};

// The connections and slots of one database out of `databases`, to be divided among `vms` VMs.
struct ShareRequest
{
    std::uint32_t connections = 1;
    std::uint32_t slots = 1;
    std::size_t vms = 1;
    std::size_t databases = 1;
};

// Divides the connections that a database allows. All VMs hold some if each gets enough for its own
// transactions, otherwise fewer VMs hold more. With many databases each has few owners, so that the
// number of databases per VM stays bounded. Every owner stays within its share, so that all
// together never open more connections than the database allows.
ConnectionShares shareOut(const ShareRequest &request);

// A database and the data centre that it is in. An owner in the same data centre reaches the
// database whenever the data centre can be reached at all.
struct PlacedDatabase
{
    DatabaseId database;
    DataCentreId dataCentre;
};

// Which of the given VMs hold the connections to each database. Built once for a set of VMs and
// queried for each database. The result is deterministic: VMs with the same set of VMs compute the
// same owners.
//
//     const OwnerPlan plan(registry.living(now));
//     const std::vector<VmRecord> order = plan.owners(placed, shares.owners, self, dataCentre);
class OwnerPlan
{
public:
    OwnerPlan() = default;
    explicit OwnerPlan(std::vector<VmRecord> vms);

    // The owners of a database, spread over data centres beginning with its own, in the order in
    // which self tries them: those of its own data centre first. The order differs between VMs to
    // spread the load.
    std::vector<VmRecord> owners(const PlacedDatabase &database, std::size_t count,
                                 const VmId &self, const DataCentreId &dataCentre) const;

    // Zero-based rank of a VM among the first `count` VMs for a database, the same on every VM;
    // count if it is not one of them. The owners are the first VMs; a greater count adds others.
    std::size_t rank(const PlacedDatabase &database, std::size_t count, const VmId &vm) const;

    std::size_t size() const
    {
        return m_vms.size();
    }

    // Number of VMs that observe a database with this number of owners, to report whether it
    // responds: the owners, and others so that most data centres have an observer.
    std::size_t observerCount(std::size_t owners) const;

private:
    // The VMs of one data centre, as indices into m_vms.
    struct DataCentre
    {
        std::vector<std::size_t> vms;
        Placement placement;
    };

    std::vector<const DataCentre *> ordered(const PlacedDatabase &database) const;
    std::vector<std::size_t> selectOwners(const PlacedDatabase &database, std::size_t count) const;

    // Ordered by name.
    std::vector<VmRecord> m_vms;
    std::map<DataCentreId, DataCentre> m_dataCentres;
};

} // namespace fescuespring
