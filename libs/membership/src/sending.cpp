#include "membershipdata.h"

#include <bit>
#include <chrono>

namespace fescuespring {

using namespace detail;

namespace {

// Factor by which the binary logarithm of the number of members is multiplied to get the number of
// transmissions of an update.
constexpr int transmitFactor = 3;

// Time for which the update of a gone member is sent. An older one may only reflect one side's view
// of a partition.
constexpr std::chrono::seconds goneUpdateLifetime{3};

} // namespace

std::uint64_t Membership::Data::viewDigest() const
{
    return m_list.viewDigest() ^ memberDigest(m_options.self, m_incarnation, m_state);
}

Message Membership::Data::makeMessage(MessageKind kind) const
{
    Message message;
    message.kind = kind;
    message.dataCentre = m_options.dataCentre;
    message.sender = m_options.self;
    message.incarnation = m_incarnation;
    message.leaving = m_state != MemberState::Alive;
    message.lists = m_lists;
    message.viewDigest = viewDigest();
    return message;
}

// Update of vm to send; nothing if vm is unknown or has been gone for too long.
std::optional<MemberUpdate> Membership::Data::updateToSend(const VmId &vm) const
{
    if (vm == m_options.self)
        return updateOf(self());
    const MemberList::Record *record = m_list.find(vm);
    if (!record)
        return std::nullopt;
    if (!isMember(record->member.state) && m_now - record->changed > goneUpdateLifetime)
        return std::nullopt;
    return updateOf(record->member);
}

// How often an update is sent.
int Membership::Data::transmitLimit() const
{
    return transmitFactor * static_cast<int>(std::bit_width(m_list.count() + 1));
}

// Sends a message with its own updates and as many pending ones as fit.
void Membership::Data::send(const Endpoint &to, const Message &message)
{
    std::vector<std::uint8_t> bytes = encodeHeader(message);
    for (const MemberUpdate &update : message.updates)
        appendUpdate(bytes, encodeUpdate(update), maximumDatagram);
    if (!m_updateQueue.isEmpty()) {
        for (const VmId &vm : m_updateQueue.pending()) {
            const std::optional<MemberUpdate> update = updateToSend(vm);
            if (!update) {
                m_updateQueue.drop(vm);
                continue;
            }
            if (!appendUpdate(bytes, encodeUpdate(*update), maximumDatagram))
                break;
            m_updateQueue.markSent(vm, transmitLimit());
        }
    }
    queueDatagram(to, std::move(bytes));
}

void Membership::Data::requestSync(const Endpoint &to)
{
    m_counters.syncs.add();
    Message request = makeMessage(MessageKind::SyncRequest);
    request.updates.push_back(updateOf(self()));
    send(to, request);
}

void Membership::Data::replyToSync(const Endpoint &to)
{
    std::vector<std::uint8_t> bytes = encodeHeader(makeMessage(MessageKind::Updates));
    const auto append = [&](const MemberUpdate &update) {
        const std::vector<std::uint8_t> encoded = encodeUpdate(update);
        if (appendUpdate(bytes, encoded, maximumDatagram))
            return;
        queueDatagram(to, std::move(bytes));
        bytes = encodeHeader(makeMessage(MessageKind::Updates));
        appendUpdate(bytes, encoded, maximumDatagram);
    };
    append(updateOf(self()));
    for (const auto &[vm, record] : m_list.records()) {
        if (const std::optional<MemberUpdate> update = updateToSend(vm))
            append(*update);
    }
    queueDatagram(to, std::move(bytes));
}

void Membership::Data::queueDatagram(const Endpoint &to, std::vector<std::uint8_t> bytes)
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
    m_updateQueue.add(m_options.self);
    m_isUrgent = true;
}

void Membership::Data::platformList(const std::vector<ListedVm> &vms, Instant now)
{
    advanceTime(now);
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
        applyUpdate(update, now);
    }
}

void Membership::Data::announceLeaving(Instant now)
{
    advanceTime(now);
    if (m_state != MemberState::Alive)
        return;
    startLeaving();
    m_actions.leaveRequested = false;
    sendUrgentUpdates();
}

void Membership::Data::leave(Instant now)
{
    advanceTime(now);
    m_state = MemberState::Left;
    m_updateQueue.add(m_options.self);
    sendToRandomMembers(2 * m_options.fanout);
}

void Membership::Data::setLists(const ListsMark &lists, Instant now)
{
    advanceTime(now);
    m_lists = lists;
    sendToRandomMembers(m_options.fanout);
}

} // namespace fescuespring
