#pragma once

#include "base/types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace fescuespring {

// Which VM of a data centre owns a slice, by rendezvous hashing: every VM is given a score for the
// key, and the highest score owns it. All who know the same members come to the same order without
// talking. A VM that leaves moves only what it owned, to the next in order; a VM that joins takes
// only what it now scores highest for.
//
//     const Placement placement(membersOfTheDataCentre);
//     const std::vector<VmId> order = placement.sliceOwners(group, dataCentre, 3);
//     // order[0] owns the slice, order[1] takes over if order[0] can't be reached.
//
// Immutable once built: build a new one when the members change. The order of members is of no
// matter; a VM named twice counts once.
class Placement
{
public:
    Placement() = default;
    explicit Placement(std::span<const VmId> members);

    // Owner and successors of the slice of a group in a data centre, best first, at most count.
    std::vector<VmId> sliceOwners(const GroupId &group, const DataCentreId &dataCentre,
                                  std::size_t count) const;

    // The owner alone, without allocation; nothing where there are no members.
    const VmId *sliceOwner(const GroupId &group, const DataCentreId &dataCentre) const;

    // The same for any other job that few VMs of a data centre share, such as watching the plans.
    std::vector<VmId> owners(std::string_view job, std::size_t count) const;

    // Who these are, as places among the members in the order of their names, from 0.
    std::vector<std::size_t> ownerPlaces(std::string_view job, std::size_t count) const;

    std::size_t size() const
    {
        return m_members.size();
    }

private:
    struct Member
    {
        std::uint64_t hash = 0;
        VmId vm;
    };

    std::vector<std::size_t> bestPlaces(std::uint64_t key, std::size_t count) const;
    std::vector<VmId> bestOf(std::uint64_t key, std::size_t count) const;

    std::vector<Member> m_members;
};

} // namespace fescuespring
