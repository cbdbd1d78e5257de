#include "membership/membership.h"

#include "memberlist.h"
#include "newsqueue.h"
#include "probes.h"
#include "wire.h"

#include <algorithm>
#include <bit>
#include <optional>
#include <utility>

namespace fescuespring {

using namespace detail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// News is told this many times the binary logarithm of the number of members.
constexpr int tellFactor = 3;

// Time for which a death is passed on. An older one is no news but one side's view of a cut.
constexpr seconds freshFor{3};

// Views that differ for this long are mended by asking for all members, once per time.
constexpr seconds viewPatience{1};

// Least time between two requests for all members of an unknown sender.
constexpr milliseconds unknownInterval{200};

// Members named as alive that this VM holds dead, tried per tick.
constexpr std::size_t verifiesPerTick = 4;

// Members heard lately that are remembered, to choose helpers from.
constexpr std::size_t heardSize = 16;

struct MembershipCounters
{
    explicit MembershipCounters(Counters &counters)
        : sent(counters.counter("fescuespring_membership_datagrams_sent_total"))
        , sentBytes(counters.counter("fescuespring_membership_bytes_sent_total"))
        , received(counters.counter("fescuespring_membership_datagrams_received_total"))
        , malformed(counters.counter("fescuespring_membership_datagrams_malformed_total"))
        , foreign(counters.counter("fescuespring_membership_datagrams_foreign_total"))
        , suspicions(counters.counter("fescuespring_membership_suspicions_total"))
        , cleared(counters.counter("fescuespring_membership_suspicions_cleared_total"))
        , deaths(counters.counter("fescuespring_membership_deaths_declared_total"))
        , refutations(counters.counter("fescuespring_membership_refutations_total"))
        , pauses(counters.counter("fescuespring_membership_pauses_total"))
        , syncs(counters.counter("fescuespring_membership_syncs_total"))
    {}

    Counter &sent;
    Counter &sentBytes;
    Counter &received;
    Counter &malformed;
    Counter &foreign;
    Counter &suspicions;
    Counter &cleared;
    Counter &deaths;
    Counter &refutations;
    Counter &pauses;
    Counter &syncs;
};

// A ping made for another member.
struct Relay
{
    std::uint32_t sequence = 0;
    VmId target;
    Endpoint origin;
    std::uint32_t originSequence = 0;
    Instant expires;
};

// True where update is later than what is known of the member.
bool overrides(const MemberUpdate &update, const Member &known)
{
    if (update.incarnation != known.incarnation)
        return update.incarnation.value() > known.incarnation.value();
    return update.state > known.state;
}

} // namespace

class Membership::Data
{
public:
    Data(MembershipOptions options, Counters &counters)
        : m_options(std::move(options))
        , m_counters(counters)
        , m_random(m_options.randomSeed)
        , m_list(m_options.self)
        , m_probes(m_options)
    {}

    void tick(Instant now);
    void receive(const Endpoint &from, std::span<const std::uint8_t> bytes, Instant now);
    void platformList(const std::vector<ListedVm> &vms, Instant now);
    void announceLeaving(Instant now);
    void leave(Instant now);
    void setLists(const ListsMark &lists, Instant now);
    bool mayAct(Instant now) const;

    MembershipActions take()
    {
        return std::exchange(m_actions, {});
    }
    Member self() const;
    const MemberList &list() const
    {
        return m_list;
    }
    bool isSuspected(const VmId &vm) const
    {
        return m_probes.isSuspected(vm);
    }

private:
    void notice(Instant now);
    void join(Instant now);
    void stepProbes(Instant now);
    void startProbes(Instant now);
    void probe(const Member *member, Instant now);
    void askHelpers(const ProbeSend &send);
    void declareDead(const VmId &vm, Instant now);
    void expireRelays(Instant now);
    void reconnect(Instant now);
    void verify();
    void tellNews();

    void takeUpdate(const MemberUpdate &update, Instant now);
    void takeUpdateOfSelf(const MemberUpdate &update);
    void takeSender(const Message &message, const Endpoint &from, Instant now);
    void takeView(const Message &message, const Endpoint &from, Instant now);
    void takeAck(const Message &message);
    void takePingRequest(const Message &message, const Endpoint &from, Instant now);
    void adopt(const MemberUpdate &update, Instant now);
    void startLeaving();

    std::uint64_t view() const;
    Message head(MessageKind kind) const;
    std::optional<MemberUpdate> newsOf(const VmId &vm) const;
    void send(const Endpoint &to, const Message &message);
    void requestSync(const Endpoint &to);
    void answerSync(const Endpoint &to);
    void post(const Endpoint &to, std::vector<std::uint8_t> bytes);
    void toRandomMembers(int count);

    MembershipOptions m_options;
    MembershipCounters m_counters;
    Random m_random;
    MemberList m_list;
    Probes m_probes;
    NewsQueue m_news;
    MembershipActions m_actions;

    MemberState m_state = MemberState::Alive;
    Incarnation m_incarnation;
    ListsMark m_lists;
    std::vector<ListedVm> m_listed;
    std::vector<Relay> m_relays;
    std::vector<VmId> m_toVerify;
    std::vector<VmId> m_heard;
    std::uint32_t m_sequence = 0;

    Instant m_now;
    Instant m_started;
    Instant m_lastHeard;
    Instant m_nextPeriod;
    Instant m_nextReconnect;
    Instant m_lastViewMatch;
    Instant m_lastSync;
    bool m_isStarted = false;
    bool m_isUrgent = false;

    // Answers to probes from this one on prove that this VM is a member.
    std::uint32_t m_provingSequence = 0;
    bool m_isProven = false;
    Instant m_provingSince;
};

// Looks for a pause, and takes the time.
void Membership::Data::notice(Instant now)
{
    if (!m_isStarted) {
        m_isStarted = true;
        m_started = m_provingSince = m_lastViewMatch = m_lastSync = m_nextPeriod = now;
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

void Membership::Data::startLeaving()
{
    m_state = MemberState::Leaving;
    m_actions.toldToLeave = true;
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
    m_actions.toldToLeave = false;
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

bool Membership::Data::mayAct(Instant now) const
{
    return m_isStarted && m_isProven && m_state != MemberState::Left
           && now - m_now <= m_options.pauseThreshold;
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

// Sends a message with its own updates and as much news as fits.
void Membership::Data::send(const Endpoint &to, const Message &message)
{
    std::vector<std::uint8_t> bytes = encodeHead(message);
    for (const MemberUpdate &update : message.updates)
        appendUpdate(bytes, encodeUpdate(update), maximumDatagram);
    if (!m_news.isEmpty()) {
        const int times = tellFactor * static_cast<int>(std::bit_width(m_list.count() + 1));
        for (const VmId &vm : m_news.order()) {
            const std::optional<MemberUpdate> update = newsOf(vm);
            if (!update) {
                m_news.drop(vm);
                continue;
            }
            if (!appendUpdate(bytes, encodeUpdate(*update), maximumDatagram))
                break;
            m_news.told(vm, times);
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

Membership::Membership(MembershipOptions options, Counters &counters)
    : m_data(std::make_unique<Data>(std::move(options), counters))
{}

Membership::~Membership() = default;
Membership::Membership(Membership &&) noexcept = default;
Membership &Membership::operator=(Membership &&) noexcept = default;

MembershipActions Membership::tick(Instant now)
{
    m_data->tick(now);
    return m_data->take();
}

MembershipActions Membership::receive(const Endpoint &from, std::span<const std::uint8_t> bytes,
                                      Instant now)
{
    m_data->receive(from, bytes, now);
    return m_data->take();
}

MembershipActions Membership::platformList(const std::vector<ListedVm> &vms, Instant now)
{
    m_data->platformList(vms, now);
    return m_data->take();
}

MembershipActions Membership::announceLeaving(Instant now)
{
    m_data->announceLeaving(now);
    return m_data->take();
}

MembershipActions Membership::leave(Instant now)
{
    m_data->leave(now);
    return m_data->take();
}

MembershipActions Membership::setLists(const ListsMark &lists, Instant now)
{
    m_data->setLists(lists, now);
    return m_data->take();
}

bool Membership::mayAct(Instant now) const
{
    return m_data->mayAct(now);
}

std::vector<Member> Membership::members() const
{
    std::vector<Member> members{m_data->self()};
    for (const auto &[vm, record] : m_data->list().records()) {
        if (!counts(record.member.state))
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
