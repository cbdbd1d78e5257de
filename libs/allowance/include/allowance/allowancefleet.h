#pragma once

#include "base/types.h"
#include "placement/placement.h"

#include <cstddef>
#include <functional>
#include <map>
#include <vector>

namespace fescuespring {

// A VM and its data centre.
struct AllowanceMember
{
    VmId vm;
    DataCentreId dataCentre;
};

// Time for which a VM that has expired from the list still counts as one that may serve callers.
inline constexpr Duration departedRetention = std::chrono::minutes(10);

// The VMs of the installation, as far as they matter for allowances: which VMs count for a
// customer, and into how many parts its rate is divided.
//
//     fleet.setLive(members, now, isHeard);
//     const std::vector<VmId> order = fleet.counters(dataCentre, customer);
//     // order[0] counts the customer's operations in the data centre, order[1] is its deputy.
//
// VMs that have expired are not chosen unless they are still heard of, but keep their part of each
// rate for departedRetention, as they may be cut off and still serve callers. VMs that have left in
// an orderly way keep none.
class AllowanceFleet
{
public:
    // isHeard tells whether a VM that is not among the members is still in contact with this one.
    void setLive(const std::vector<AllowanceMember> &members, Instant now,
                 const std::function<bool(const VmId &)> &isHeard = {});

    // A VM has left and serves no callers any more.
    void left(const VmId &vm);

    // The counter and its deputy; fewer if the data centre has fewer live VMs.
    std::vector<VmId> counters(const DataCentreId &dataCentre, const CustomerId &customer) const;

    // Whether expired VMs are still chosen, so that setLive should be called again soon.
    bool hasExpired() const
    {
        return m_hasExpired;
    }

    // Live VMs of a data centre, in order of name.
    const std::vector<VmId> &liveVms(const DataCentreId &dataCentre) const;

    // Data centres with live VMs.
    std::vector<DataCentreId> dataCentres() const;

    // Data centres, and VMs of one data centre, that may serve callers. At least 1.
    std::size_t dataCentreCount(Instant now) const;
    std::size_t vmCount(const DataCentreId &dataCentre, Instant now) const;

    // Whether a VM is one of `count` VMs of the whole installation chosen for a customer.
    bool isAmong(std::size_t count, const CustomerId &customer, const VmId &vm) const;

private:
    struct Seen
    {
        DataCentreId dataCentre;
        Instant lastLiveAt;
        bool isLive = false;
    };
    struct DataCentre
    {
        std::vector<VmId> vms;
        Placement placement;
    };

    void choose(const AllowanceMember &member);
    bool isCounted(const Seen &seen, Instant now) const;

    std::map<VmId, Seen> m_seen;
    std::map<DataCentreId, DataCentre> m_live;
    Placement m_all;
    bool m_hasExpired = false;
};

} // namespace fescuespring
