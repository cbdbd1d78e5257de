#pragma once

#include "base/counters.h"
#include "base/result.h"
#include "base/types.h"
#include "membership/member.h"
#include "messages/listsmark.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace fescuespring {

// Options of a Membership. With the defaults, all members detect a crash within 2 s.
struct MembershipOptions
{
    VmId self;
    DataCentreId dataCentre;
    MemberEndpoints endpoints;

    // Heartbeat addresses to request members from: each period all of them, while mayAct is false
    // and no other member is known; each reconnectInterval a random one, unless it is a member's.
    std::vector<Endpoint> seeds = {};

    // Seed of the random choices.
    std::uint64_t randomSeed = 1;

    // First incarnation of this process. It must differ from those of earlier processes of the VM:
    // otherwise a state of an earlier one that others still report, such as leaving, would be
    // applied to this one.
    Incarnation firstIncarnation = {};

    // Each period, the next member of a ring and a random one are probed.
    std::chrono::milliseconds period{250};

    // An unanswered probe is resent after this time, later also through helpers; after probeTimeout
    // the member is suspected.
    std::chrono::milliseconds resendAfter{50};
    std::chrono::milliseconds probeTimeout{200};

    // A suspected member that answers no member for this time is declared dead if another member
    // reports that it cannot reach it either.
    std::chrono::milliseconds suspicionTimeout{500};

    // A VM that has received nothing from any member for this time since it suspected one declares
    // that one dead without confirmation.
    std::chrono::milliseconds isolationTimeout{1500};

    // A longer gap between two calls is treated as a pause of this VM.
    std::chrono::milliseconds pauseThreshold{600};

    // Number of members requested to probe on behalf of this VM.
    int helpers = 3;

    // Number of random members to which a new state or a new version of the lists is sent at once.
    int fanout = 4;

    // Interval of attempts to reach a dead member, a VM of the platform's list and a seed, to merge
    // again after a partition.
    std::chrono::milliseconds reconnectInterval{1000};

    // Members that are dead or have left are removed after this time; dead ones are contacted until
    // then.
    std::chrono::milliseconds removeGoneAfter{std::chrono::hours(2)};
};

// Entry VM of the data centre in the platform's list, which may be outdated.
struct ListedVm
{
    VmId vm;
    Endpoint heartbeat;
    bool leaving = false;
};

// Detects which VMs of one data centre are alive, with the SWIM protocol: each member probes two
// members per period, whatever the size of the data centre, and piggybacks updates on its
// datagrams. A member that does not answer is probed through others, then suspected, then declared
// dead; it refutes this by raising its incarnation. Every datagram carries the version of the
// sender's plan lists.
//
//     Membership membership({.self = VmId("vm-1"), .dataCentre = DataCentreId("north"),
//                            .endpoints = endpoints, .seeds = seeds}, counters);
//     MembershipActions actions = membership.tick(now);          // every tickInterval
//     actions = membership.receive(from, bytes, now);            // for each datagram
//     for (const Datagram &datagram : actions.datagrams)
//         socket.send(datagram.to, datagram.bytes);
//
// Single-threaded; uses neither sockets nor a clock. The platform's list only supplies addresses to
// contact and which VMs are leaving; it never makes a member alive or dead.
class Membership
{
public:
    // Interval at which tick must be called.
    static constexpr std::chrono::milliseconds tickInterval{25};

    // Upper bound of a datagram, in bytes; fits one Ethernet frame.
    static constexpr std::size_t maximumDatagram = 1200;

    Membership(MembershipOptions options, Counters &counters);
    ~Membership();
    Membership(Membership &&) noexcept;
    Membership &operator=(Membership &&) noexcept;

    MembershipActions tick(Instant now);

    // Processes one datagram. A malformed one is counted and otherwise ignored.
    MembershipActions receive(const Endpoint &from, std::span<const std::uint8_t> bytes,
                              Instant now);

    // Processes the platform's list of entry VMs of this data centre.
    MembershipActions platformList(const std::vector<ListedVm> &vms, Instant now);

    // Announces a planned stop. The VM continues to answer until leave is called.
    MembershipActions announceLeaving(Instant now);

    // Ends the membership after a planned stop: others remove this VM at once, without suspicion.
    MembershipActions leave(Instant now);

    // Sets the version of the lists in force here and sends it to a few members at once.
    MembershipActions setLists(const ListsMark &lists, Instant now);

    // False from the start, and from each pause, until another member has answered or nobody has
    // answered for isolationTimeout; false after leave. While it is false, the VM must not assume
    // that it was a member throughout. Checks for a pause itself, so that it can be called right
    // before acting.
    bool mayAct(Instant now) const;

    // Members that are alive or leaving, this VM among them, ordered by name.
    std::vector<Member> members() const;

    // Members that accept new work: alive and not leaving, ordered by name.
    std::vector<VmId> activeMembers() const;

    // Number of members that are alive or leaving, this VM among them.
    std::size_t size() const;

private:
    class Data;
    std::unique_ptr<Data> m_data;
};

} // namespace fescuespring
