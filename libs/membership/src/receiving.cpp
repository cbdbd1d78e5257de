#include "membershipdata.h"

#include <algorithm>
#include <chrono>

namespace fescuespring {

using namespace detail;

namespace {

// Views that differ for this long are mended by asking for all members, once per time.
constexpr std::chrono::seconds viewPatience{1};

// Least time between two requests for all members of an unknown sender.
constexpr std::chrono::milliseconds unknownInterval{200};

// Members heard lately that are remembered, to choose helpers from.
constexpr std::size_t heardSize = 16;

// True where update is later than what is known of the member.
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
    notice(now);
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
    m_lastHeard = now;
    // One that is held for gone may be deaf, and take everybody else for gone: it is believed again
    // when it has refuted.
    const MemberList::Record *sender = m_list.find(message.sender);
    const bool isBelieved = !sender || counts(sender->member.state)
                            || message.incarnation.value() > sender->member.incarnation.value();
    for (const MemberUpdate &update : message.updates) {
        if (isBelieved || update.vm == m_options.self)
            takeUpdate(update, now);
    }
    takeSender(message, from, now);
    takeView(message, from, now);
    switch (message.kind) {
    case MessageKind::Ping: {
        Message ack = head(MessageKind::Ack);
        ack.sequence = message.sequence;
        send(from, ack);
        break;
    }
    case MessageKind::Ack:
        takeAck(message);
        break;
    case MessageKind::PingRequest:
        takePingRequest(message, from, now);
        break;
    case MessageKind::Nack:
        m_probes.confirm(message.sequence);
        break;
    case MessageKind::SyncRequest:
        answerSync(from);
        break;
    case MessageKind::News:
        break;
    }
}

void Membership::Data::takeUpdate(const MemberUpdate &update, Instant now)
{
    if (update.vm == m_options.self) {
        takeUpdateOfSelf(update);
        return;
    }
    const MemberList::Record *record = m_list.find(update.vm);
    if (!record) {
        if (counts(update.state))
            adopt(update, now);
        return;
    }
    const Member &known = record->member;
    if (overrides(update, known)) {
        adopt(update, now);
        return;
    }
    // Others know it already: one time less to tell it.
    if (update.incarnation == known.incarnation && update.state == known.state)
        m_news.told(update.vm, tellTimes());
    // Somebody counts one that this VM holds dead: tell it, so that it refutes if it lives.
    if (counts(update.state) && known.state == MemberState::Dead
        && update.incarnation == known.incarnation
        && std::find(m_toVerify.begin(), m_toVerify.end(), update.vm) == m_toVerify.end())
        m_toVerify.push_back(update.vm);
}

void Membership::Data::takeUpdateOfSelf(const MemberUpdate &update)
{
    if (update.incarnation.value() < m_incarnation.value())
        return;
    const bool isNewer = update.incarnation.value() > m_incarnation.value();
    const bool isGone = !counts(update.state);
    if (update.state == MemberState::Leaving && m_state == MemberState::Alive && !isNewer) {
        startLeaving();
        return;
    }
    // Said dead, or known from an earlier life of this name.
    if (isGone || isNewer || update.endpoints != m_options.endpoints) {
        m_incarnation = update.incarnation.next();
        m_counters.refutations.add();
        m_news.add(m_options.self);
        m_isUrgent = true;
    }
}

// Takes what a datagram says of its sender.
void Membership::Data::takeSender(const Message &message, const Endpoint &from, Instant now)
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
        adopt(update, now);
    if (!counts(record->member.state)) {
        // It does not know that it is held for gone.
        Message news = head(MessageKind::News);
        news.updates.push_back(updateOf(record->member));
        send(from, news);
        return;
    }
    m_list.setLists(message.sender, message.lists);
    if (message.lists != m_lists && message.lists.version.value() >= m_lists.version.value())
        m_actions.listsSeen.push_back(
                {message.sender, record->member.endpoints.peers, message.lists});
    if (std::find(m_heard.begin(), m_heard.end(), message.sender) != m_heard.end())
        return;
    if (m_heard.size() < heardSize)
        m_heard.push_back(message.sender);
    else
        m_heard[m_random() % heardSize] = message.sender;
}

void Membership::Data::takeView(const Message &message, const Endpoint &from, Instant now)
{
    if (message.view == view()) {
        m_lastViewMatch = now;
        return;
    }
    if (now - m_lastViewMatch < viewPatience || now - m_lastSync < viewPatience)
        return;
    m_lastSync = now;
    requestSync(from);
}

void Membership::Data::takeAck(const Message &message)
{
    if (message.sequence >= m_provingSequence)
        m_isProven = true;
    const VmId &alive = message.target.isEmpty() ? message.sender : message.target;
    if (m_probes.end(alive))
        m_counters.cleared.add();
    const auto relay = std::find_if(m_relays.begin(), m_relays.end(), [&](const Relay &item) {
        return item.sequence == message.sequence && item.target == message.sender;
    });
    if (relay == m_relays.end())
        return;
    Message ack = head(MessageKind::Ack);
    ack.sequence = relay->originSequence;
    ack.target = relay->target;
    const Endpoint origin = relay->origin;
    m_relays.erase(relay);
    send(origin, ack);
}

void Membership::Data::takePingRequest(const Message &message, const Endpoint &from, Instant now)
{
    if (message.target == m_options.self)
        return;
    const Relay relay{.sequence = ++m_sequence,
                      .target = message.target,
                      .origin = from,
                      .originSequence = message.sequence,
                      .expires = now + m_options.resendAfter};
    m_relays.push_back(relay);
    Message ping = head(MessageKind::Ping);
    ping.sequence = relay.sequence;
    send(message.targetHeartbeat, ping);
}

void Membership::Data::adopt(const MemberUpdate &update, Instant now)
{
    const MemberList::Record *known = m_list.find(update.vm);
    const bool isChange = !known || known->member.state != update.state;
    m_list.apply(update, now);
    m_news.add(update.vm);
    m_isUrgent = true;
    if (!counts(update.state)) {
        m_probes.end(update.vm);
        std::erase(m_heard, update.vm);
    }
    if (isChange)
        m_actions.changes.push_back({update.vm, update.state});
}

} // namespace fescuespring
