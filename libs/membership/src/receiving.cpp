#include "membershipdata.h"

#include <algorithm>
#include <chrono>

namespace fescuespring {

using namespace detail;

namespace {

// If no datagram with a matching view arrives for this time, a sync request is sent to the sender
// of the next datagram with a different view; at most one per this time.
constexpr std::chrono::seconds viewMismatchTimeout{1};

// Minimum time between two sync requests to unknown senders.
constexpr std::chrono::milliseconds unknownInterval{200};

// Number of recent senders kept, to choose helpers from.
constexpr std::size_t maximumRecentSenders = 16;

// True if update is newer than the state of the known member.
bool overrides(const MemberUpdate &update, const Member &known)
{
    if (update.incarnation != known.incarnation)
        return update.incarnation.value() > known.incarnation.value();
    return update.state > known.state;
}

} // namespace

void Membership::Data::receive(const Endpoint &from, std::span<const std::uint8_t> bytes,
                               Instant now)
{
    advanceTime(now);
    m_counters.received.add();
    const Result<Message> decoded = decode(bytes);
    if (!decoded) {
        m_counters.malformed.add();
        return;
    }
    const Message &message = decoded.value();
    if (message.dataCentre != m_options.dataCentre || message.sender == m_options.self) {
        m_counters.foreign.add();
        return;
    }
    if (m_state == MemberState::Left)
        return;
    m_lastReceived = now;
    // A sender that is gone in this view may receive nothing and therefore report everybody else
    // dead. Its updates, except those about this VM, are ignored until it has raised its
    // incarnation.
    const MemberList::Record *sender = m_list.find(message.sender);
    const bool isAccepted = !sender || isMember(sender->member.state)
                            || message.incarnation.value() > sender->member.incarnation.value();
    for (const MemberUpdate &update : message.updates) {
        if (isAccepted || update.vm == m_options.self)
            handleUpdate(update, now);
    }
    handleSender(message, from, now);
    handleView(message, from, now);
    switch (message.kind) {
    case MessageKind::Ping: {
        Message ack = makeMessage(MessageKind::Ack);
        ack.sequence = message.sequence;
        send(from, ack);
        break;
    }
    case MessageKind::Ack:
        handleAck(message);
        break;
    case MessageKind::PingRequest:
        handlePingRequest(message, from, now);
        break;
    case MessageKind::Nack:
        m_probes.confirm(message.sequence);
        break;
    case MessageKind::SyncRequest:
        replyToSync(from);
        break;
    case MessageKind::Updates:
        break;
    }
}

void Membership::Data::handleUpdate(const MemberUpdate &update, Instant now)
{
    if (update.vm == m_options.self) {
        handleUpdateOfSelf(update);
        return;
    }
    const MemberList::Record *record = m_list.find(update.vm);
    if (!record) {
        if (isMember(update.state))
            applyUpdate(update, now);
        return;
    }
    const Member &known = record->member;
    if (overrides(update, known)) {
        applyUpdate(update, now);
        return;
    }
    // The sender already has this update: counts as one transmission.
    if (update.incarnation == known.incarnation && update.state == known.state)
        m_updateQueue.markSent(update.vm, transmitLimit());
    // The sender reports as current a member that this VM holds dead. Ping that member with the
    // state Dead, so that it refutes this if it is alive.
    if (isMember(update.state) && known.state == MemberState::Dead
        && update.incarnation == known.incarnation
        && std::find(m_toVerify.begin(), m_toVerify.end(), update.vm) == m_toVerify.end())
        m_toVerify.push_back(update.vm);
}

void Membership::Data::handleUpdateOfSelf(const MemberUpdate &update)
{
    if (update.incarnation.value() < m_incarnation.value())
        return;
    const bool isNewer = update.incarnation.value() > m_incarnation.value();
    const bool isGone = !isMember(update.state);
    if (update.state == MemberState::Leaving && m_state == MemberState::Alive && !isNewer) {
        startLeaving();
        return;
    }
    // Reported as gone, or the update stems from an earlier process of this VM.
    if (isGone || isNewer || update.endpoints != m_options.endpoints) {
        m_incarnation = update.incarnation.next();
        m_counters.refutations.add();
        m_updateQueue.add(m_options.self);
        m_isUrgent = true;
    }
}

// Processes the sender's own state in a datagram.
void Membership::Data::handleSender(const Message &message, const Endpoint &from, Instant now)
{
    const MemberList::Record *record = m_list.find(message.sender);
    if (!record) {
        if (now - m_lastSync >= unknownInterval) {
            m_lastSync = now;
            requestSync(from);
        }
        return;
    }
    MemberUpdate update = updateOf(record->member);
    update.incarnation = message.incarnation;
    update.state = message.leaving ? MemberState::Leaving : MemberState::Alive;
    if (overrides(update, record->member))
        applyUpdate(update, now);
    if (!isMember(record->member.state)) {
        // Reports to the sender that it is gone in this view, so that it can refute this.
        Message reply = makeMessage(MessageKind::Updates);
        reply.updates.push_back(updateOf(record->member));
        send(from, reply);
        return;
    }
    m_list.setLists(message.sender, message.lists);
    if (message.lists != m_lists && message.lists.version.value() >= m_lists.version.value())
        m_actions.listsSeen.push_back(
                {message.sender, record->member.endpoints.peers, message.lists});
    if (std::find(m_recentSenders.begin(), m_recentSenders.end(), message.sender)
        != m_recentSenders.end())
        return;
    if (m_recentSenders.size() < maximumRecentSenders)
        m_recentSenders.push_back(message.sender);
    else
        m_recentSenders[m_random() % maximumRecentSenders] = message.sender;
}

void Membership::Data::handleView(const Message &message, const Endpoint &from, Instant now)
{
    if (message.viewDigest == viewDigest()) {
        m_lastViewMatch = now;
        return;
    }
    if (now - m_lastViewMatch < viewMismatchTimeout || now - m_lastSync < viewMismatchTimeout)
        return;
    m_lastSync = now;
    requestSync(from);
}

void Membership::Data::handleAck(const Message &message)
{
    if (message.sequence >= m_confirmingSequence)
        m_isConfirmed = true;
    const VmId &alive = message.target.isEmpty() ? message.sender : message.target;
    if (m_probes.end(alive))
        m_counters.cleared.add();
    const auto indirectPing = std::find_if(
            m_indirectPings.begin(), m_indirectPings.end(), [&](const IndirectPing &item) {
                return item.sequence == message.sequence && item.target == message.sender;
            });
    if (indirectPing == m_indirectPings.end())
        return;
    Message ack = makeMessage(MessageKind::Ack);
    ack.sequence = indirectPing->originSequence;
    ack.target = indirectPing->target;
    const Endpoint origin = indirectPing->origin;
    m_indirectPings.erase(indirectPing);
    send(origin, ack);
}

void Membership::Data::handlePingRequest(const Message &message, const Endpoint &from, Instant now)
{
    if (message.target == m_options.self)
        return;
    const IndirectPing indirectPing{.sequence = ++m_sequence,
                                    .target = message.target,
                                    .origin = from,
                                    .originSequence = message.sequence,
                                    .expires = now + m_options.resendAfter};
    m_indirectPings.push_back(indirectPing);
    Message ping = makeMessage(MessageKind::Ping);
    ping.sequence = indirectPing.sequence;
    send(message.targetHeartbeat, ping);
}

void Membership::Data::applyUpdate(const MemberUpdate &update, Instant now)
{
    const MemberList::Record *known = m_list.find(update.vm);
    const bool isChange = !known || known->member.state != update.state;
    m_list.apply(update, now);
    m_updateQueue.add(update.vm);
    m_isUrgent = true;
    if (!isMember(update.state)) {
        m_probes.end(update.vm);
        std::erase(m_recentSenders, update.vm);
    }
    if (isChange)
        m_actions.changes.push_back({update.vm, update.state});
}

} // namespace fescuespring
