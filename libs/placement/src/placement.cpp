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
    const std::array<std::uint64_t, 2> both{memberHash, key};
    return XXH3_64bits(both.data(), sizeof both);
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
    const auto repeated = std::unique(
            m_members.begin(), m_members.end(),
            [](const Member &left, const Member &right) { return left.vm == right.vm; });
    m_members.erase(repeated, m_members.end());
}

std::vector<VmId> Placement::sliceOwners(const GroupId &group, const DataCentreId &dataCentre,
                                         std::size_t count) const
{
    return bestOf(keyOf(group, dataCentre), count);
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
    return bestOf(hashOf(job), count);
}

std::vector<std::size_t> Placement::ownerPlaces(std::string_view job, std::size_t count) const
{
    return bestPlaces(hashOf(job), count);
}

std::vector<VmId> Placement::bestOf(std::uint64_t key, std::size_t count) const
{
    std::vector<VmId> best;
    for (const std::size_t place : bestPlaces(key, count))
        best.push_back(m_members[place].vm);
    return best;
}

std::vector<std::size_t> Placement::bestPlaces(std::uint64_t key, std::size_t count) const
{
    struct Scored
    {
        std::uint64_t score = 0;
        std::size_t place = 0;
    };
    std::vector<Scored> scored;
    scored.reserve(m_members.size());
    for (std::size_t place = 0; place < m_members.size(); ++place)
        scored.push_back({score(m_members[place].hash, key), place});

    const std::size_t kept = std::min(count, scored.size());
    const auto middle = scored.begin() + static_cast<std::ptrdiff_t>(kept);
    // Equal scores go by name, which is the order of the members.
    std::ranges::partial_sort(scored, middle, [](const Scored &left, const Scored &right) {
        if (left.score != right.score)
            return left.score > right.score;
        return left.place < right.place;
    });

    std::vector<std::size_t> best;
    best.reserve(kept);
    for (auto entry = scored.begin(); entry != middle; ++entry)
        best.push_back(entry->place);
    return best;
}

} // namespace fescuespring
