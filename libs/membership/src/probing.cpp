#include "membershipdata.h"

#include <algorithm>

namespace fescuespring {

using namespace detail;

namespace {

// Members named as alive that this VM holds dead, tried per tick.
constexpr std::size_t verifiesPerTick = 4;

} // namespace

// Looks for a pause, and takes the time.
void Membership::Data::notice(Instant now)
{
    if (!m_isStarted) {
        m_isStarted = true;
        m_provingSince = m_lastViewMatch = m_lastSync = m_nextPeriod = now;
        m_nextReconnect = now;
        m_news.add(m_options.self);
    } else if (now - m_now > m_options.pauseThreshold) {
        m_counters.pauses.add();
        m_probes.clear();
        m_relays.clear();
        m_incarnation = m_incarnation.next();
        m_news.add(m_options.self);
        m_isUrgent = true;
        m_isProven = false;
        m_provingSequence = m_sequence + 1;
        m_provingSince = m_lastViewMatch = m_nextPeriod = now;
        m_actions.paused = true;
    }
    m_now = std::max(m_now, now);
}

void Membership::Data::tick(Instant now)
{
    notice(now);
    if (m_state == MemberState::Left)
        return;
    stepProbes(now);
    if (now >= m_nextPeriod) {
        // The first periods differ in length, so that VMs started together do not probe together.
        const Duration period = m_options.period;
        const bool isFirst = m_sequence == 0;
        m_nextPeriod = now + (isFirst ? Duration(m_random() % period.count()) : period);
        if (!m_isProven)
            join(now);
        startProbes(now);
    }
    expireRelays(now);
    if (now >= m_nextReconnect) {
        m_nextReconnect = now + m_options.reconnectInterval;
        reconnect(now);
    }
    verify();
    tellNews();
}

void Membership::Data::join(Instant now)
{
    // With nobody to answer, this VM goes on alone; so does one that nobody answers.
    if (now - m_provingSince >= m_options.isolationTimeout)
        m_isProven = true;
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
    const ProbeSteps steps = m_probes.step(now, {.others = others, .lastHeard = m_lastHeard});
    m_counters.suspicions.add(steps.suspected.size());
    for (const ProbeSend &send : steps.sends) {
        const MemberList::Record *record = m_list.find(send.target);
        Message ping = head(MessageKind::Ping);
        ping.sequence = send.sequence;
        this->send(record->member.endpoints.heartbeat, ping);
        if (send.byHelpers)
            askHelpers(send);
    }
    for (const VmId &vm : steps.dead)
        declareDead(vm, now);
}

void Membership::Data::askHelpers(const ProbeSend &send)
{
    Message request = head(MessageKind::PingRequest);
    request.sequence = send.sequence;
    request.target = send.target;
    request.targetHeartbeat = m_list.find(send.target)->member.endpoints.heartbeat;
    for (int i = 0; i < m_options.helpers; ++i) {
        // One helper is random; the others were heard lately, so that in a small part of a cut
        // data centre somebody is asked who can answer.
        VmId helper;
        if (i > 0 && !m_heard.empty())
            helper = m_heard[m_random() % m_heard.size()];
        else
            helper = m_list.random(m_random)->vm;
        const MemberList::Record *record = m_list.find(helper);
        if (record && counts(record->member.state) && helper != send.target)
            this->send(record->member.endpoints.heartbeat, request);
    }
}

void Membership::Data::declareDead(const VmId &vm, Instant now)
{
    MemberUpdate update = updateOf(m_list.find(vm)->member);
    update.state = MemberState::Dead;
    m_counters.deaths.add();
    adopt(update, now);
}

void Membership::Data::expireRelays(Instant now)
{
    for (const Relay &relay : m_relays) {
        if (now < relay.expires)
            continue;
        Message nack = head(MessageKind::Nack);
        nack.sequence = relay.originSequence;
        nack.target = relay.target;
        send(relay.origin, nack);
    }
    std::erase_if(m_relays, [now](const Relay &relay) { return now >= relay.expires; });
}

// Tries one that is gone, one of the platform's list and one seed, if they are no members.
void Membership::Data::reconnect(Instant now)
{
    m_list.forgetGone(now - m_options.forgetAfter);
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
    for (std::size_t i = 0; i < verifiesPerTick && !m_toVerify.empty(); ++i) {
        const VmId vm = m_toVerify.back();
        m_toVerify.pop_back();
        const MemberList::Record *record = m_list.find(vm);
        if (!record || counts(record->member.state))
            continue;
        Message ping = head(MessageKind::Ping);
        ping.sequence = ++m_sequence;
        ping.updates.push_back(updateOf(record->member));
        send(record->member.endpoints.heartbeat, ping);
    }
}

void Membership::Data::tellNews()
{
    if (!m_isUrgent)
        return;
    m_isUrgent = false;
    toRandomMembers(m_options.fanout);
}

void Membership::Data::toRandomMembers(int count)
{
    for (int i = 0; i < count; ++i) {
        if (const Member *member = m_list.random(m_random))
            send(member->endpoints.heartbeat, head(MessageKind::News));
    }
}

bool Membership::Data::mayAct(Instant now) const
{
    return m_isStarted && m_isProven && m_state != MemberState::Left
           && now - m_now <= m_options.pauseThreshold;
}

} // namespace fescuespring
