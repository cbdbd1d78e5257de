#include "membershipdata.h"

#include <bit>
#include <chrono>

namespace fescuespring {

using namespace detail;

namespace {

// News is told this many times the binary logarithm of the number of members.
constexpr int tellFactor = 3;

// Time for which a death is passed on. An older one is no news but one side's view of a cut.
constexpr std::chrono::seconds freshFor{3};

} // namespace

std::uint64_t Membership::Data::view() const
{
    return m_list.view() ^ viewOf(m_options.self, m_incarnation, m_state);
}

Message Membership::Data::head(MessageKind kind) const
{
    Message message;
    message.kind = kind;
    message.dataCentre = m_options.dataCentre;
    message.sender = m_options.self;
    message.incarnation = m_incarnation;
    message.leaving = m_state != MemberState::Alive;
    message.lists = m_lists;
    message.view = view();
    return message;
}

// What is to be told of vm; nothing where it is not known, or its death is old.
std::optional<MemberUpdate> Membership::Data::newsOf(const VmId &vm) const
{
    if (vm == m_options.self)
        return updateOf(self());
    const MemberList::Record *record = m_list.find(vm);
    if (!record)
        return std::nullopt;
    if (!counts(record->member.state) && m_now - record->changed > freshFor)
        return std::nullopt;
    return updateOf(record->member);
}

// How often news is told.
int Membership::Data::tellTimes() const
{
    return tellFactor * static_cast<int>(std::bit_width(m_list.count() + 1));
}

// Sends a message with its own updates and as much news as fits.
void Membership::Data::send(const Endpoint &to, const Message &message)
{
    std::vector<std::uint8_t> bytes = encodeHead(message);
    for (const MemberUpdate &update : message.updates)
        appendUpdate(bytes, encodeUpdate(update), maximumDatagram);
    if (!m_news.isEmpty()) {
        for (const VmId &vm : m_news.order()) {
            const std::optional<MemberUpdate> update = newsOf(vm);
            if (!update) {
                m_news.drop(vm);
                continue;
            }
            if (!appendUpdate(bytes, encodeUpdate(*update), maximumDatagram))
                break;
            m_news.told(vm, tellTimes());
        }
    }
    post(to, std::move(bytes));
}

void Membership::Data::requestSync(const Endpoint &to)
{
    m_counters.syncs.add();
    Message request = head(MessageKind::SyncRequest);
    request.updates.push_back(updateOf(self()));
    send(to, request);
}

void Membership::Data::answerSync(const Endpoint &to)
{
    std::vector<std::uint8_t> bytes = encodeHead(head(MessageKind::News));
    const auto append = [&](const MemberUpdate &update) {
        const std::vector<std::uint8_t> encoded = encodeUpdate(update);
        if (appendUpdate(bytes, encoded, maximumDatagram))
            return;
        post(to, std::move(bytes));
        bytes = encodeHead(head(MessageKind::News));
        appendUpdate(bytes, encoded, maximumDatagram);
    };
    append(updateOf(self()));
    for (const auto &[vm, record] : m_list.records()) {
        if (const std::optional<MemberUpdate> update = newsOf(vm))
            append(*update);
    }
    post(to, std::move(bytes));
}

void Membership::Data::post(const Endpoint &to, std::vector<std::uint8_t> bytes)
{
    m_counters.sent.add();
    m_counters.sentBytes.add(bytes.size());
    m_actions.datagrams.push_back({to, std::move(bytes)});
}

Member Membership::Data::self() const
{
    Member member;
    member.vm = m_options.self;
    member.endpoints = m_options.endpoints;
    member.incarnation = m_incarnation;
    member.state = m_state;
    member.lists = m_lists;
    return member;
}

void Membership::Data::startLeaving()
{
    m_state = MemberState::Leaving;
    m_actions.leaveRequested = true;
    m_news.add(m_options.self);
    m_isUrgent = true;
}

void Membership::Data::platformList(const std::vector<ListedVm> &vms, Instant now)
{
    notice(now);
    m_listed = vms;
    for (const ListedVm &listed : vms) {
        if (!listed.leaving)
            continue;
        if (listed.vm == m_options.self) {
            if (m_state == MemberState::Alive)
                startLeaving();
            continue;
        }
        const MemberList::Record *record = m_list.find(listed.vm);
        if (!record || record->member.state != MemberState::Alive)
            continue;
        MemberUpdate update = updateOf(record->member);
        update.state = MemberState::Leaving;
        adopt(update, now);
    }
}

void Membership::Data::announceLeaving(Instant now)
{
    notice(now);
    if (m_state != MemberState::Alive)
        return;
    startLeaving();
    m_actions.leaveRequested = false;
    tellNews();
}

void Membership::Data::leave(Instant now)
{
    notice(now);
    m_state = MemberState::Left;
    m_news.add(m_options.self);
    toRandomMembers(2 * m_options.fanout);
}

void Membership::Data::setLists(const ListsMark &lists, Instant now)
{
    notice(now);
    m_lists = lists;
    toRandomMembers(m_options.fanout);
}

} // namespace fescuespring
