#include "membership/membership.h"

#include "membershipdata.h"

#include <algorithm>
#include <utility>

namespace fescuespring {

Membership::Membership(MembershipOptions options, Counters &counters)
    : m_data(std::make_unique<Data>(std::move(options), counters))
{}

Membership::~Membership() = default;
Membership::Membership(Membership &&) noexcept = default;
Membership &Membership::operator=(Membership &&) noexcept = default;

MembershipActions Membership::tick(Instant now)
{
    m_data->tick(now);
    return m_data->takeActions();
}

MembershipActions Membership::receive(const Endpoint &from, std::span<const std::uint8_t> bytes,
                                      Instant now)
{
    m_data->receive(from, bytes, now);
    return m_data->takeActions();
}

MembershipActions Membership::platformList(const std::vector<ListedVm> &vms, Instant now)
{
    m_data->platformList(vms, now);
    return m_data->takeActions();
}

MembershipActions Membership::announceLeaving(Instant now)
{
    m_data->announceLeaving(now);
    return m_data->takeActions();
}

MembershipActions Membership::leave(Instant now)
{
    m_data->leave(now);
    return m_data->takeActions();
}

MembershipActions Membership::setLists(const ListsMark &lists, Instant now)
{
    m_data->setLists(lists, now);
    return m_data->takeActions();
}

bool Membership::mayAct(Instant now) const
{
    return m_data->mayAct(now);
}

std::vector<Member> Membership::members() const
{
    std::vector<Member> members{m_data->self()};
    for (const auto &[vm, record] : m_data->list().records()) {
        if (!detail::isMember(record.member.state))
            continue;
        members.push_back(record.member);
        members.back().suspected = m_data->isSuspected(vm);
    }
    std::sort(members.begin(), members.end(),
              [](const Member &a, const Member &b) { return a.vm.value() < b.vm.value(); });
    return members;
}

std::vector<VmId> Membership::activeMembers() const
{
    std::vector<VmId> active;
    for (const Member &member : members()) {
        if (member.state == MemberState::Alive)
            active.push_back(member.vm);
    }
    return active;
}

std::size_t Membership::size() const
{
    return m_data->list().count() + 1;
}

} // namespace fescuespring
