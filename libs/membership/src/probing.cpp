#include "membershipdata.h"

#include <algorithm>

namespace fescuespring {

using namespace detail;

namespace {

// Members pinged per tick because others report them alive while this VM has them as dead.
constexpr std::size_t maximumVerifiesPerTick = 4;

} // namespace

// Advances the current time; detects a pause of this VM.
void Membership::Data::advanceTime(Instant now)
{
    if (!m_isStarted) {
        m_isStarted = true;
        m_confirmingSince = m_lastViewMatch = m_lastSync = m_nextPeriod = now;
        m_nextReconnect = now;
        m_updateQueue.add(m_options.self);
    } else if (now - m_now > m_options.pauseThreshold) {
        m_counters.pauses.add();
        m_probes.clear();
        m_indirectPings.clear();
        m_incarnation = m_incarnation.next();
        m_updateQueue.add(m_options.self);
        m_isUrgent = true;
        m_isConfirmed = false;
        m_confirmingSequence = m_sequence + 1;
        m_confirmingSince = m_lastViewMatch = m_nextPeriod = now;
        m_actions.paused = true;
    }
    m_now = std::max(m_now, now);
}

void Membership::Data::tick(Instant now)
{
    advanceTime(now);
    if (m_state == MemberState::Left)
        return;
    stepProbes(now);
    if (now >= m_nextPeriod) {
        // Until the first ping, each period has a random length, so that VMs started together do
        // not probe at the same time.
        const Duration period = m_options.period;
        const bool isFirst = m_sequence == 0;
        m_nextPeriod = now + (isFirst ? Duration(m_random() % period.count()) : period);
        if (!m_isConfirmed)
            join(now);
        startProbes(now);
    }
    nackExpiredPings(now);
    if (now >= m_nextReconnect) {
        m_nextReconnect = now + m_options.reconnectInterval;
        reconnect(now);
    }
    verify();
    sendUrgentUpdates();
}

void Membership::Data::join(Instant now)
{
    // A VM that receives no answer, or has no members to answer it, continues alone.
    if (now - m_confirmingSince >= m_options.isolationTimeout)
        m_isConfirmed = true;
    if (m_list.count() > 0)
        return;
    for (const Endpoint &seed : m_options.seeds) {
        if (seed != m_options.endpoints.heartbeat)
            requestSync(seed);
    }
}

void Membership::Data::startProbes(Instant now)
{
    const auto skip = [this](const VmId &vm) {
        return m_probes.isProbed(vm);
    };
    probe(m_list.successor(skip), now);
    const Member *random = m_list.random(m_random);
    if (random && !m_probes.isProbed(random->vm))
        probe(random, now);
    stepProbes(now);
}

void Membership::Data::probe(const Member *member, Instant now)
{
    if (member)
        m_probes.start(member->vm, ++m_sequence, now);
}

void Membership::Data::stepProbes(Instant now)
{
    const std::size_t others = m_list.count() > 0 ? m_list.count() - 1 : 0;
    const ProbeSteps steps = m_probes.step(now, {.others = others, .lastReceived = m_lastReceived});
    m_counters.suspicions.add(steps.suspected.size());
    for (const ProbeSend &send : steps.sends) {
        const MemberList::Record *record = m_list.find(send.target);
        Message ping = makeMessage(MessageKind::Ping);
        ping.sequence = send.sequence;
        this->send(record->member.endpoints.heartbeat, ping);
        if (send.alsoViaHelpers)
            sendPingRequests(send);
    }
    for (const VmId &vm : steps.dead)
        declareDead(vm, now);
}

void Membership::Data::sendPingRequests(const ProbeSend &send)
{
    Message request = makeMessage(MessageKind::PingRequest);
    request.sequence = send.sequence;
    request.target = send.target;
    request.targetHeartbeat = m_list.find(send.target)->member.endpoints.heartbeat;
    for (int i = 0; i < m_options.helpers; ++i) {
        // One helper is random; the others sent a datagram recently, so that in the smaller side of
        // a partition some of them are reachable.
        VmId helper;
        if (i > 0 && !m_recentSenders.empty())
            helper = m_recentSenders[m_random() % m_recentSenders.size()];
        else
            helper = m_list.random(m_random)->vm;
        const MemberList::Record *record = m_list.find(helper);
        if (record && isMember(record->member.state) && helper != send.target)
            this->send(record->member.endpoints.heartbeat, request);
    }
}

void Membership::Data::declareDead(const VmId &vm, Instant now)
{
    MemberUpdate update = updateOf(m_list.find(vm)->member);
    update.state = MemberState::Dead;
    m_counters.deaths.add();
    applyUpdate(update, now);
}

void Membership::Data::nackExpiredPings(Instant now)
{
    for (const IndirectPing &indirectPing : m_indirectPings) {
        if (now < indirectPing.expires)
            continue;
        Message nack = makeMessage(MessageKind::Nack);
        nack.sequence = indirectPing.originSequence;
        nack.target = indirectPing.target;
        send(indirectPing.origin, nack);
    }
    std::erase_if(m_indirectPings,
                  [now](const IndirectPing &indirectPing) { return now >= indirectPing.expires; });
}

// Contacts one dead member, one VM of the platform's list and one seed, unless they are members.
void Membership::Data::reconnect(Instant now)
{
    m_list.removeGone(now - m_options.removeGoneAfter);
    if (const Member *dead = m_list.randomDead(m_random))
        requestSync(dead->endpoints.heartbeat);
    if (!m_listed.empty()) {
        const ListedVm &listed = m_listed[m_random() % m_listed.size()];
        const MemberList::Record *record = m_list.find(listed.vm);
        if (!record && listed.vm != m_options.self)
            requestSync(listed.heartbeat);
    }
    if (m_options.seeds.empty())
        return;
    const Endpoint &seed = m_options.seeds[m_random() % m_options.seeds.size()];
    if (seed != m_options.endpoints.heartbeat && !m_list.hasLive(seed))
        requestSync(seed);
}

void Membership::Data::verify()
{
    for (std::size_t i = 0; i < maximumVerifiesPerTick && !m_toVerify.empty(); ++i) {
        const VmId vm = m_toVerify.back();
        m_toVerify.pop_back();
        const MemberList::Record *record = m_list.find(vm);
        if (!record || isMember(record->member.state))
            continue;
        Message ping = makeMessage(MessageKind::Ping);
        ping.sequence = ++m_sequence;
        ping.updates.push_back(updateOf(record->member));
        send(record->member.endpoints.heartbeat, ping);
    }
}

void Membership::Data::sendUrgentUpdates()
{
    if (!m_isUrgent)
        return;
    m_isUrgent = false;
    sendToRandomMembers(m_options.fanout);
}

void Membership::Data::sendToRandomMembers(int count)
{
    for (int i = 0; i < count; ++i) {
        if (const Member *member = m_list.random(m_random))
            send(member->endpoints.heartbeat, makeMessage(MessageKind::Updates));
    }
}

bool Membership::Data::mayAct(Instant now) const
{
    return m_isStarted && m_isConfirmed && m_state != MemberState::Left
           && now - m_now <= m_options.pauseThreshold;
}

} // namespace fescuespring
