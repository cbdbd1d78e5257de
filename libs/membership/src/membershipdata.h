#pragma once

#include "memberlist.h"
#include "membership/membership.h"
#include "probes.h"
#include "updatequeue.h"
#include "wire.h"

#include <cstdint>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace fescuespring {

namespace detail {

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

// A ping sent on behalf of another member, which requested it with a PingRequest.
struct IndirectPing
{
    std::uint32_t sequence = 0;
    VmId target;
    Endpoint origin;
    std::uint32_t originSequence = 0;
    Instant expires;
};

} // namespace detail

// Implementation of Membership: probing.cpp holds the timed work, receiving.cpp the processing of
// datagrams, and sending.cpp the sending and the calls of the user.
class Membership::Data
{
public:
    Data(MembershipOptions options, Counters &counters)
        : m_options(std::move(options))
        , m_counters(counters)
        , m_random(m_options.randomSeed)
        , m_list(m_options.self)
        , m_probes(m_options)
        , m_incarnation(m_options.firstIncarnation)
    {}

    void tick(Instant now);
    void receive(const Endpoint &from, std::span<const std::uint8_t> bytes, Instant now);
    void platformList(const std::vector<ListedVm> &vms, Instant now);
    void announceLeaving(Instant now);
    void leave(Instant now);
    void setLists(const ListsMark &lists, Instant now);
    bool mayAct(Instant now) const;

    MembershipActions takeActions()
    {
        return std::exchange(m_actions, {});
    }
    Member self() const;
    const detail::MemberList &list() const
    {
        return m_list;
    }
    bool isSuspected(const VmId &vm) const
    {
        return m_probes.isSuspected(vm);
    }

private:
    void advanceTime(Instant now);
    void join(Instant now);
    void stepProbes(Instant now);
    void startProbes(Instant now);
    void probe(const Member *member, Instant now);
    void sendPingRequests(const detail::ProbeSend &send);
    void declareDead(const VmId &vm, Instant now);
    void nackExpiredPings(Instant now);
    void reconnect(Instant now);
    void verify();
    void sendUrgentUpdates();

    void handleUpdate(const detail::MemberUpdate &update, Instant now);
    void handleUpdateOfSelf(const detail::MemberUpdate &update);
    void handleSender(const detail::Message &message, const Endpoint &from, Instant now);
    void handleView(const detail::Message &message, const Endpoint &from, Instant now);
    void handleAck(const detail::Message &message);
    void handlePingRequest(const detail::Message &message, const Endpoint &from, Instant now);
    void applyUpdate(const detail::MemberUpdate &update, Instant now);
    void startLeaving();

    int transmitLimit() const;
    std::uint64_t viewDigest() const;
    detail::Message makeMessage(detail::MessageKind kind) const;
    std::optional<detail::MemberUpdate> updateToSend(const VmId &vm) const;
    void send(const Endpoint &to, const detail::Message &message);
    void requestSync(const Endpoint &to);
    void replyToSync(const Endpoint &to);
    void queueDatagram(const Endpoint &to, std::vector<std::uint8_t> bytes);
    void sendToRandomMembers(int count);

    MembershipOptions m_options;
    detail::MembershipCounters m_counters;
    detail::Random m_random;
    detail::MemberList m_list;
    detail::Probes m_probes;
    detail::UpdateQueue m_updateQueue;
    MembershipActions m_actions;

    MemberState m_state = MemberState::Alive;
    Incarnation m_incarnation;
    ListsMark m_lists;
    std::vector<ListedVm> m_listed;
    std::vector<detail::IndirectPing> m_indirectPings;
    std::vector<VmId> m_toVerify;
    std::vector<VmId> m_recentSenders;
    std::uint32_t m_sequence = 0;

    Instant m_now;
    Instant m_lastReceived;
    Instant m_nextPeriod;
    Instant m_nextReconnect;
    Instant m_lastViewMatch;
    Instant m_lastSync;
    bool m_isStarted = false;
    bool m_isUrgent = false;

    // An answer to a probe with at least this sequence confirms that this VM is a member.
    std::uint32_t m_confirmingSequence = 0;
    bool m_isConfirmed = false;
    Instant m_confirmingSince;
};

} // namespace fescuespring
