#pragma once

#include "base/types.h"
#include "messages/listsmark.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuespring {

// State of a member in the view of one VM. Within one incarnation, a state further down this
// list overrides one above it.
enum class MemberState : std::uint8_t {
    // Answers this VM, or was reported alive by another member.
    Alive,
    // Has announced a planned stop: still answers, but accepts no new work.
    Leaving,
    // Did not answer within the suspicion timeout, as confirmed by another member if any can be
    // reached; or was reported dead by another member.
    Dead,
    // Has completed its planned stop.
    Left,
};

const char *toString(MemberState state);

// The addresses of a member.
struct MemberEndpoints
{
    Endpoint heartbeat;
    Endpoint callers;
    Endpoint peers;

    bool operator==(const MemberEndpoints &) const = default;
};

// Numbers the incarnations of a member. Only the member itself raises it: to refute an outdated or
// wrong state that others report of it, and after each pause.
using Incarnation = Number<struct IncarnationTag>;

// View of one member.
struct Member
{
    VmId vm;
    MemberEndpoints endpoints;
    Incarnation incarnation;
    MemberState state = MemberState::Alive;

    // This VM suspects it because a recent probe was not answered. It still counts as a member.
    bool suspected = false;

    // Version and digest of the plan lists that it had in force according to its last datagram to
    // this VM.
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

// A member that has other plan lists in force than this VM, with a version that is not lower.
struct ListsSeen
{
    VmId vm;
    Endpoint peers;
    ListsMark lists;
};

// Actions for the user of a Membership after a call: send the datagrams, then process the rest.
struct MembershipActions
{
    std::vector<Datagram> datagrams;
    std::vector<MemberChange> changes;
    std::vector<ListsSeen> listsSeen;

    // Set if this VM was paused for so long that others may have declared it dead. Until
    // Membership::mayAct returns true, this VM must not rely on anything that it held as a member
    // before the pause.
    bool paused = false;

    // Set if the platform or another member requests that this VM stops.
    bool leaveRequested = false;
};

} // namespace fescuespring
