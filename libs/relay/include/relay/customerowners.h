#pragma once

#include "base/types.h"
#include "placement/placement.h"
#include "vmregistry/vmregistry.h"

#include <cstddef>
#include <map>
#include <vector>

namespace fescuespring {

// Expected share of each customer in the work of all, by allowance. All VMs read the same
// configuration and thus compute the same shares. Empty for customers without a limit.
class CustomerShares
{
public:
    CustomerShares() = default;

    // Operations per second that each customer may start; customers without a limit are left out.
    explicit CustomerShares(const std::map<CustomerId, double> &operationsPerSecond);

    // Between 0 and 1; 0 for a customer without a known share.
    double share(const CustomerId &customer) const;

    // The share as a multiple of the mean, at least 1: with less, each second operation of a rare
    // customer waits behind those of larger ones, which gains these little. 1 for a customer
    // without a known share.
    double weight(const CustomerId &customer) const;

private:
    std::map<CustomerId, double> m_shares;
};

// The owners of one database in the order in which the statements of one customer try them, by
// rendezvous hashing of customer and database. The order is the same on every VM, so that the
// statements of a customer meet at one owner and reuse its connections there.
//
//     const CustomerOwners owners(database, plan.owners(placed, count, self, dataCentre));
//     for (const VmRecord *owner : owners.order(customer, shares.share(customer), self))
//         ...
//
// A customer whose expected share exceeds the part of one owner uses as many owners as that share
// fills: VMs that own one of these use it, the others are spread over them by hashing.
class CustomerOwners
{
public:
    CustomerOwners(const DatabaseId &database, std::vector<VmRecord> owners);

    // All owners, best first. Pointers are valid as long as this object.
    std::vector<const VmRecord *> order(const CustomerId &customer, double share,
                                        const VmId &self) const;

private:
    DatabaseId m_database;

    // Ordered by name, as in m_placement.
    std::vector<VmRecord> m_owners;
    Placement m_placement;
};

} // namespace fescuespring
