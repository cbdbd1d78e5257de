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

// Options of a Membership. The defaults make a crash known to all within 2 s.
struct MembershipOptions
{
    VmId self;
    DataCentreId dataCentre;
    MemberEndpoints endpoints;

    // Heartbeat addresses to ask for members where the platform's list cannot be had.
    std::vector<Endpoint> seeds = {};

    // Seed of the random choices.
    std::uint64_t randomSeed = 1;

    // Incarnation that this life of the VM begins with. It must differ from those of earlier lives:
    // what others still tell of an earlier one, such as that it is leaving, would else be taken for
    // news of this one.
    Incarnation firstIncarnation = {};

    // Each period, the next member of a ring and a random one are probed.
    std::chrono::milliseconds period{250};

    // A probe without an answer is sent again after this time, by way of helpers too, and makes the
    // member suspected after probeTimeout.
    std::chrono::milliseconds resendAfter{50};
    std::chrono::milliseconds probeTimeout{200};

    // A suspected member that answers nobody for this long is dead, where another member says that
    // it does not reach it either.
    std::chrono::milliseconds suspicionTimeout{500};

    // A VM that nobody answers at all declares suspects dead only after this time.
    std::chrono::milliseconds isolationTimeout{1500};

    // A gap between two calls that makes this VM take itself for paused.
    std::chrono::milliseconds pauseThreshold{600};

    // Members asked to probe on behalf of this VM.
    int helpers = 3;

    // Random members that a new state, or a new version of the lists, is sent to at once.
    int fanout = 4;

    // How often a dead member or a seed is tried, to meet again after a cut.
    std::chrono::milliseconds reconnectInterval{1000};

    // Dead members are forgotten, and no longer tried, after this time.
    std::chrono::milliseconds forgetAfter{std::chrono::hours(2)};
};

// What the platform's lagging list says of an entry VM of the data centre.
struct ListedVm
{
    VmId vm;
    Endpoint heartbeat;
    bool leaving = false;
};

// Who is alive in one data centre, by probing: each member probes two members a period, whatever
// the size, and carries news on its probes (the SWIM protocol). A member that does not answer is
// tried by way of others, then suspected, then declared dead; it refutes by raising its
// incarnation. Every datagram carries the version of the sender's plan lists.
//
//     Membership membership({.self = VmId("vm-1"), .dataCentre = DataCentreId("north"),
//                            .endpoints = endpoints, .seeds = seeds}, counters);
//     MembershipActions actions = membership.tick(now);          // every tickInterval
//     actions = membership.receive(from, bytes, now);            // for each datagram
//     for (const Datagram &datagram : actions.datagrams)
//         socket.send(datagram.to, datagram.bytes);
//
// Belongs to one thread; knows no socket and no clock. The platform's list names addresses to try
// and who is leaving; it makes nobody alive or dead.
class Membership
{
public:
    // How often tick is to be called.
    static constexpr std::chrono::milliseconds tickInterval{25};

    // Upper bound of a datagram, in bytes; fits one Ethernet frame.
    static constexpr std::size_t maximumDatagram = 1200;

    Membership(MembershipOptions options, Counters &counters);
    ~Membership();
    Membership(Membership &&) noexcept;
    Membership &operator=(Membership &&) noexcept;

    MembershipActions tick(Instant now);

    // Takes one datagram. One that cannot be read changes nothing and is counted.
    MembershipActions receive(const Endpoint &from, std::span<const std::uint8_t> bytes,
                              Instant now);

    // Takes the platform's list of entry VMs of this data centre.
    MembershipActions platformList(const std::vector<ListedVm> &vms, Instant now);

    // Announces a planned stop. The VM goes on answering until it calls leave.
    MembershipActions announceLeaving(Instant now);

    // Ends the membership after a planned stop: others drop this VM at once, without suspicion.
    MembershipActions leave(Instant now);

    // The version of the lists in force here; tells a few members at once.
    MembershipActions setLists(const ListsMark &lists, Instant now);

    // False from a pause until other members have answered again, or none is left that could; a
    // VM that may not act must not rely on having been a member the while. Looks for a pause
    // itself, so that it can be asked right before acting.
    bool mayAct(Instant now) const;

    // Members that are alive or leaving, this VM among them, ordered by name.
    std::vector<Member> members() const;

    // Members to give new work to: alive and not leaving, ordered by name.
    std::vector<VmId> activeMembers() const;

    // Number of members that are alive or leaving, this VM among them.
    std::size_t size() const;

private:
    class Data;
    std::unique_ptr<Data> m_data;
};

} // namespace fescuespring
