#pragma once

#include "base/types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace fescuespring {

// Assigns slices to the VMs of a data centre by rendezvous hashing: every VM has a score for each
// key, and the VM with the highest score owns it. VMs with the same list of members compute the
// same order without communication. When a VM leaves, only the slices it owned move, to the next in
// order; a VM that joins takes only the slices for which it now has the highest score.
//
//     const Placement placement(membersOfTheDataCentre);
//     const std::vector<VmId> order = placement.sliceOwners(group, dataCentre, 3);
//     // order[0] owns the slice, order[1] takes over if order[0] is unreachable.
//
// Immutable: construct a new one when the members change. The order of members does not matter;
// duplicates are ignored.
class Placement
{
public:
    Placement() = default;
    explicit Placement(std::span<const VmId> members);

    // Owner and successors of the slice of a group in a data centre, highest score first, at most
    // count.
    std::vector<VmId> sliceOwners(const GroupId &group, const DataCentreId &dataCentre,
                                  std::size_t count) const;

    // The owner alone, without allocation; nullptr if there are no members.
    const VmId *sliceOwner(const GroupId &group, const DataCentreId &dataCentre) const;

    // The same for any other job assigned to a few VMs of a data centre, such as watching the
    // plans.
    std::vector<VmId> owners(std::string_view job, std::size_t count) const;

    // As owners(), but as indexes into the members sorted by name.
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

    std::vector<std::size_t> bestIndexes(std::uint64_t key, std::size_t count) const;
    std::vector<VmId> bestMembers(std::uint64_t key, std::size_t count) const;

    std::vector<Member> m_members;
};

} // namespace fescuespring
