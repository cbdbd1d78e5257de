#pragma once

#include "base/types.h"
#include "messages/listsmark.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuespring {

// State of a member as one VM sees it. Of one incarnation, a later state overrides an earlier one.
enum class MemberState : std::uint8_t {
    // Answers, or has been named by a member that it answers to.
    Alive,
    // A planned stop has been announced: still answers, takes on nothing new.
    Leaving,
    // Did not answer, and was given time to.
    Dead,
    // Ended its planned stop.
    Left,
};

const char *toString(MemberState state);

// Where a member is reached.
struct MemberEndpoints
{
    Endpoint heartbeat;
    Endpoint callers;
    Endpoint peers;

    bool operator==(const MemberEndpoints &) const = default;
};

// Number of a member's life as its own VM counts it; a VM raises it to refute what is said of it.
using Incarnation = Number<struct IncarnationTag>;

// What is known of one member.
struct Member
{
    VmId vm;
    MemberEndpoints endpoints;
    Incarnation incarnation;
    MemberState state = MemberState::Alive;

    // Suspected by this VM: it did not answer lately. It still counts as a member.
    bool suspected = false;

    // Plan lists that it had in force when this VM last heard from it directly.
    ListsMark lists;
};

// A datagram to send.
struct Datagram
{
    Endpoint to;
    std::vector<std::uint8_t> bytes;
};

// A change of one member's state.
struct MemberChange
{
    VmId vm;
    MemberState state = MemberState::Alive;
};

// A member that has other plan lists in force than this VM.
struct ListsSeen
{
    VmId vm;
    Endpoint peers;
    ListsMark lists;
};

// What the owner of a Membership has to do after a call: send the datagrams, then look at the rest.
struct MembershipActions
{
    std::vector<Datagram> datagrams;
    std::vector<MemberChange> changes;
    std::vector<ListsSeen> listsSeen;

    // Set where this VM was paused for so long that others may have counted it as dead. Whatever it
    // held by being a member is void until Membership::mayAct says otherwise.
    bool paused = false;

    // Set where the platform or another member said that this VM is to stop.
    bool leaveRequested = false;
};

} // namespace fescuespring
