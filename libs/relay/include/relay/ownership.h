#pragma once

#include "base/types.h"
#include "placement/placement.h"
#include "vmregistry/vmregistry.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace fescuespring {

// How the connections of one database are shared out.
struct ConnectionShares
{
    // VMs that hold connections; the others send their statements by way of these.
    std::size_t owners = 1;

    // Connections that each owner keeps open, and the most that it may have.
    std::uint32_t kept = 1;
    std::uint32_t maximum = 1;

    // Statements that each owner may have at the database at least, so that no slot is idle.
    double minimumStatements = 1;
};

// What is shared out: the connections and slots of one of databases databases, among vms VMs.
struct ShareRequest
{
    std::uint32_t connections = 1;
    std::uint32_t slots = 1;
    std::size_t vms = 1;
    std::size_t databases = 1;
};

// Shares out the connections that a database bears: all VMs hold some where each gets enough for
// its own transactions, else fewer hold more. Where there are many databases, each has few owners,
// so that no VM has to look after more than it can. Every owner stays within its part, so that
// together they never ask for more than the database bears.
ConnectionShares shareOut(const ShareRequest &request);

// Who holds the connections to each database, among given VMs. Built once for a set of VMs, as the
// answer is asked for each database; every VM that knows the same VMs comes to the same owners.
//
//     const OwnerPlan plan(registry.living(now));
//     const std::vector<VmRecord> order = plan.owners(database, shares.owners, self, dataCentre);
class OwnerPlan
{
public:
    OwnerPlan() = default;
    explicit OwnerPlan(std::vector<VmRecord> vms);

    // The owners of a database, spread over data centres, in the order in which self is to try
    // them: those of its own data centre first, spread over the VMs that ask.
    std::vector<VmRecord> owners(const DatabaseId &database, std::size_t count, const VmId &self,
                                 const DataCentreId &dataCentre) const;

    // Place of a VM among the owners of a database, from 0, the same for all who ask; count if it
    // is none.
    std::size_t rank(const DatabaseId &database, std::size_t count, const VmId &vm) const;

    std::size_t size() const
    {
        return m_vms.size();
    }

private:
    // The VMs of one data centre, as places in m_vms.
    struct DataCentre
    {
        std::vector<std::size_t> vms;
        Placement placement;
    };

    std::vector<std::size_t> chosen(const DatabaseId &database, std::size_t count) const;

    // Ordered by name.
    std::vector<VmRecord> m_vms;
    std::map<DataCentreId, DataCentre> m_dataCentres;
};

} // namespace fescuespring
