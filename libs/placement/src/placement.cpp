#include "placement/placement.h"

#include <algorithm>
#include <array>
#include <xxhash.h>

namespace fescuespring {
namespace {

std::uint64_t hashOf(std::string_view text, std::uint64_t seed = 0)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t keyOf(const GroupId &group, const DataCentreId &dataCentre)
{
    return hashOf(dataCentre.value(), hashOf(group.value()));
}

std::uint64_t score(std::uint64_t memberHash, std::uint64_t key)
{
    const std::array<std::uint64_t, 2> hashes{memberHash, key};
    return XXH3_64bits(hashes.data(), sizeof hashes);
}

} // namespace

Placement::Placement(std::span<const VmId> members)
{
    m_members.reserve(members.size());
    for (const VmId &vm : members)
        m_members.push_back({hashOf(vm.value()), vm});
    std::sort(m_members.begin(), m_members.end(), [](const Member &left, const Member &right) {
        return left.vm.value() < right.vm.value();
    });
    const auto duplicates = std::unique(
            m_members.begin(), m_members.end(),
            [](const Member &left, const Member &right) { return left.vm == right.vm; });
    m_members.erase(duplicates, m_members.end());
}

std::vector<VmId> Placement::sliceOwners(const GroupId &group, const DataCentreId &dataCentre,
                                         std::size_t count) const
{
    return bestMembers(keyOf(group, dataCentre), count);
}

const VmId *Placement::sliceOwner(const GroupId &group, const DataCentreId &dataCentre) const
{
    const std::uint64_t key = keyOf(group, dataCentre);
    const auto best = std::ranges::max_element(
            m_members, {}, [key](const Member &member) { return score(member.hash, key); });
    return best == m_members.end() ? nullptr : &best->vm;
}

std::vector<VmId> Placement::owners(std::string_view job, std::size_t count) const
{
    return bestMembers(hashOf(job), count);
}

std::vector<std::size_t> Placement::ownerPlaces(std::string_view job, std::size_t count) const
{
    return bestIndexes(hashOf(job), count);
}

std::vector<VmId> Placement::bestMembers(std::uint64_t key, std::size_t count) const
{
    std::vector<VmId> best;
    for (const std::size_t index : bestIndexes(key, count))
        best.push_back(m_members[index].vm);
    return best;
}

std::vector<std::size_t> Placement::bestIndexes(std::uint64_t key, std::size_t count) const
{
    struct Scored
    {
        std::uint64_t score = 0;
        std::size_t index = 0;
    };
    std::vector<Scored> scored;
    scored.reserve(m_members.size());
    for (std::size_t index = 0; index < m_members.size(); ++index)
        scored.push_back({score(m_members[index].hash, key), index});

    const std::size_t resultSize = std::min(count, scored.size());
    const auto resultEnd = scored.begin() + static_cast<std::ptrdiff_t>(resultSize);
    // Equal scores are ordered by name, which is the order of the members.
    std::ranges::partial_sort(scored, resultEnd, [](const Scored &left, const Scored &right) {
        if (left.score != right.score)
            return left.score > right.score;
        return left.index < right.index;
    });

    std::vector<std::size_t> best;
    best.reserve(resultSize);
    for (auto entry = scored.begin(); entry != resultEnd; ++entry)
        best.push_back(entry->index);
    return best;
}

} // namespace fescuespring
