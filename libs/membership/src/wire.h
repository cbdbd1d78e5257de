#pragma once

#include "base/result.h"
#include "membership/member.h"

#include <cstdint>
#include <span>
#include <vector>

namespace fescuespring::detail {

enum class MessageKind : std::uint8_t {
    // Requests an Ack.
    Ping,
    Ack,
    // Requests that the receiver pings target and forwards the Ack, or sends a Nack.
    PingRequest,
    Nack,
    // Requests all members in the receiver's view, in as many Updates messages as needed.
    SyncRequest,
    // Member updates only; needs no reply.
    Updates,
};

// State of a member as reported by any member; the plan lists come only from its own datagrams.
struct MemberUpdate
{
    VmId vm;
    MemberEndpoints endpoints;
    Incarnation incarnation;
    MemberState state = MemberState::Alive;
};

// One datagram. Every kind has the fields of the sender.
struct Message
{
    MessageKind kind = MessageKind::Ping;
    DataCentreId dataCentre;
    VmId sender;
    Incarnation incarnation;
    bool leaving = false;
    ListsMark lists;

    // Digest of the current members in the sender's view, with state and incarnation.
    std::uint64_t viewDigest = 0;

    // Number of the probe that a Ping starts; Ack and Nack repeat it.
    std::uint32_t sequence = 0;

    // `target` and `targetHeartbeat` are set in a PingRequest; `target` also in an Ack or Nack that
    // answers one.
    VmId target;
    Endpoint targetHeartbeat;

    std::vector<MemberUpdate> updates;
};

// Encode the message without its updates, and one update.
std::vector<std::uint8_t> encodeHeader(const Message &message);
std::vector<std::uint8_t> encodeUpdate(const MemberUpdate &update);

// Appends an encoded update to an encoded message; false if the message would exceed limit or hold
// too many updates.
bool appendUpdate(std::vector<std::uint8_t> &message, std::span<const std::uint8_t> update,
                  std::size_t limit);

// Ignores bytes after the known fields of the message and of each update.
Result<Message> decode(std::span<const std::uint8_t> bytes);

} // namespace fescuespring::detail
