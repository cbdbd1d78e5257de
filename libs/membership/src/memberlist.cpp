#include "memberlist.h"

#include <algorithm>
#include <functional>

namespace fescuespring::detail {

namespace {

// Unlike std::hash, the same on every VM.
std::uint64_t hashOf(const std::string &text)
{
    std::uint64_t value = 14695981039346656037ULL;
    for (const char c : text) {
        value ^= static_cast<unsigned char>(c);
        value *= 1099511628211ULL;
    }
    return value ^ (value >> 29);
}

std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 30;
    value *= 0xbf58476d1ce4e5b9ULL;
    value ^= value >> 27;
    value *= 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

} // namespace

bool isMember(MemberState state)
{
    return state == MemberState::Alive || state == MemberState::Leaving;
}

std::uint64_t memberDigest(const VmId &vm, Incarnation incarnation, MemberState state)
{
    return mix(hashOf(vm.value()) + mix(incarnation.value() * 4 + static_cast<unsigned>(state)));
}

MemberUpdate updateOf(const Member &member)
{
    return {member.vm, member.endpoints, member.incarnation, member.state};
}

MemberList::MemberList(const VmId &self)
    : m_self(self)
{}

const MemberList::Record *MemberList::find(const VmId &vm) const
{
    const auto found = m_records.find(vm);
    return found == m_records.end() ? nullptr : &found->second;
}

void MemberList::apply(const MemberUpdate &update, Instant now)
{
    const auto [entry, isNew] = m_records.try_emplace(update.vm);
    Record &record = entry->second;
    if (!isNew)
        unlink(record.member);
    record.member.vm = update.vm;
    record.member.endpoints = update.endpoints;
    record.member.incarnation = update.incarnation;
    if (isNew || record.member.state != update.state)
        record.changed = now;
    record.member.state = update.state;
    link(record.member);
}

void MemberList::setLists(const VmId &vm, const ListsMark &lists)
{
    m_records.at(vm).member.lists = lists;
}

void MemberList::removeGone(Instant before)
{
    for (auto entry = m_records.begin(); entry != m_records.end();) {
        const Record &record = entry->second;
        if (!isMember(record.member.state) && record.changed < before) {
            unlink(record.member);
            entry = m_records.erase(entry);
        } else {
            ++entry;
        }
    }
}

const Member *MemberList::random(Random &random) const
{
    if (m_ring.empty())
        return nullptr;
    return &m_records.at(m_ring[random() % m_ring.size()].vm).member;
}

const Member *MemberList::randomDead(Random &random) const
{
    if (m_dead.empty())
        return nullptr;
    return &m_records.at(m_dead[random() % m_dead.size()]).member;
}

bool MemberList::hasLive(const Endpoint &heartbeat) const
{
    return std::any_of(m_ring.begin(), m_ring.end(), [&](const RingEntry &entry) {
        return m_records.at(entry.vm).member.endpoints.heartbeat == heartbeat;
    });
}

void MemberList::link(const Member &member)
{
    if (member.state == MemberState::Dead)
        m_dead.push_back(member.vm);
    if (!isMember(member.state))
        return;
    m_viewDigest ^= memberDigest(member.vm, member.incarnation, member.state);
    const std::uint64_t hash = hashOf(member.vm.value());
    const auto byHash = [](const RingEntry &entry, std::uint64_t value) {
        return entry.hash < value;
    };
    const auto place = std::lower_bound(m_ring.begin(), m_ring.end(), hash, byHash);
    m_ring.insert(place, {hash, member.vm});
    const auto start =
            std::lower_bound(m_ring.begin(), m_ring.end(), hashOf(m_self.value()), byHash);
    m_start = static_cast<std::size_t>(start - m_ring.begin());
}

void MemberList::unlink(const Member &member)
{
    if (member.state == MemberState::Dead)
        std::erase(m_dead, member.vm);
    if (!isMember(member.state))
        return;
    m_viewDigest ^= memberDigest(member.vm, member.incarnation, member.state);
    const auto place = std::find_if(m_ring.begin(), m_ring.end(),
                                    [&](const RingEntry &entry) { return entry.vm == member.vm; });
    m_ring.erase(place);
    if (m_ring.empty())
        m_start = 0;
    else if (hashOf(member.vm.value()) < hashOf(m_self.value()))
        --m_start;
}

} // namespace fescuespring::detail
