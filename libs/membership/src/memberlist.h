#pragma once

#include "base/types.h"
#include "membership/member.h"
#include "wire.h"

#include <cstdint>
#include <random>
#include <unordered_map>
#include <vector>

namespace fescuespring::detail {

using Random = std::mt19937_64;

// The other members in the view of one VM: current members (alive or leaving) on a ring ordered by
// a hash of the name, and gone members (dead or left), which are kept for a while.
class MemberList
{
public:
    struct Record
    {
        Member member;
        Instant changed;
    };

    explicit MemberList(const VmId &self);

    const Record *find(const VmId &vm) const;

    // Adds or updates a member, and updates ring and digest accordingly.
    void apply(const MemberUpdate &update, Instant now);
    void setLists(const VmId &vm, const ListsMark &lists);

    // Removes members that are gone since before the given time.
    void removeGone(Instant before);

    // Number of current members.
    std::size_t count() const
    {
        return m_ring.size();
    }

    // The next member on the ring after this VM that skip does not match; null if there is none.
    template <typename Skip>
    const Member *successor(const Skip &skip) const
    {
        for (std::size_t i = 0; i < m_ring.size(); ++i) {
            const VmId &vm = m_ring[(m_start + i) % m_ring.size()].vm;
            if (!skip(vm))
                return &m_records.at(vm).member;
        }
        return nullptr;
    }

    // A random current or dead member; null if there is none.
    const Member *random(Random &random) const;
    const Member *randomDead(Random &random) const;

    bool hasLive(const Endpoint &heartbeat) const;

    // Digest of the current members, with state and incarnation.
    std::uint64_t viewDigest() const
    {
        return m_viewDigest;
    }

    const std::unordered_map<VmId, Record> &records() const
    {
        return m_records;
    }

private:
    struct RingEntry
    {
        std::uint64_t hash = 0;
        VmId vm;
    };

    void link(const Member &member);
    void unlink(const Member &member);

    VmId m_self;
    std::unordered_map<VmId, Record> m_records;
    std::vector<RingEntry> m_ring;
    std::vector<VmId> m_dead;
    std::size_t m_start = 0;
    std::uint64_t m_viewDigest = 0;
};

// True for the states of current members: alive and leaving.
bool isMember(MemberState state);

// Contribution of one member to the digest of the view.
std::uint64_t memberDigest(const VmId &vm, Incarnation incarnation, MemberState state);

MemberUpdate updateOf(const Member &member);

} // namespace fescuespring::detail
