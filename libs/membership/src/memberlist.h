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

// The members that one VM knows of, itself left out: those that count (alive or leaving) on a ring
// ordered by a hash of the name, and those that are gone, kept for a while.
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

    // Sets what is said of a member, new or known, and keeps ring and view in step.
    void apply(const MemberUpdate &update, Instant now);
    void setLists(const VmId &vm, const ListsMark &lists);

    // Drops members that went before the given time.
    void forgetGone(Instant before);

    // Number of members that count.
    std::size_t count() const
    {
        return m_ring.size();
    }

    // The next one on the ring after this VM that skip does not hold for; null if there is none.
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

    // A random member that counts, or is dead; null if there is none.
    const Member *random(Random &random) const;
    const Member *randomDead(Random &random) const;

    bool hasLive(const Endpoint &heartbeat) const;

    // Digest of those that count.
    std::uint64_t view() const
    {
        return m_view;
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

    void enter(const Member &member);
    void leave(const Member &member);

    VmId m_self;
    std::unordered_map<VmId, Record> m_records;
    std::vector<RingEntry> m_ring;
    std::vector<VmId> m_dead;
    std::size_t m_start = 0;
    std::uint64_t m_view = 0;
};

// True for the states of members that count.
bool counts(MemberState state);

// The part of the view's digest that is one member's.
std::uint64_t viewOf(const VmId &vm, Incarnation incarnation, MemberState state);

MemberUpdate updateOf(const Member &member);

} // namespace fescuespring::detail
