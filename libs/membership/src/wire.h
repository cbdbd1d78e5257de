#pragma once

#include "base/result.h"
#include "membership/member.h"

#include <cstdint>
#include <span>
#include <vector>

namespace fescuespring::detail {

enum class MessageKind : std::uint8_t {
    // Asks for an Ack.
    Ping,
    Ack,
    // Asks the receiver to ping target and to pass on the Ack, or to say Nack.
    PingRequest,
    Nack,
    // Asks for all members that the receiver knows, in as many News as that takes.
    SyncRequest,
    // Updates that nobody asked for.
    News,
};

// What is said of a member: everything but what only its own datagrams say.
struct MemberUpdate
{
    VmId vm;
    MemberEndpoints endpoints;
    Incarnation incarnation;
    MemberState state = MemberState::Alive;
};

// One datagram. The sender's part is in each of them.
struct Message
{
    MessageKind kind = MessageKind::Ping;
    DataCentreId dataCentre;
    VmId sender;
    Incarnation incarnation;
    bool leaving = false;
    ListsMark lists;

    // Digest of the members that the sender counts, with state and incarnation.
    std::uint64_t view = 0;

    // Number of the probe that a Ping starts; Ack and Nack repeat it.
    std::uint32_t sequence = 0;

    // Of PingRequest only.
    VmId target;
    Endpoint targetHeartbeat;

    std::vector<MemberUpdate> updates;
};

// Bytes of the message without updates, and of one update.
std::vector<std::uint8_t> encodeHead(const Message &message);
std::vector<std::uint8_t> encodeUpdate(const MemberUpdate &update);

// Adds an encoded update to an encoded message; false where it would grow beyond limit or hold too
// many.
bool appendUpdate(std::vector<std::uint8_t> &message, std::span<const std::uint8_t> update,
                  std::size_t limit);

// Bytes after the known fields, of the message and of each update, are ignored.
Result<Message> decode(std::span<const std::uint8_t> bytes);

} // namespace fescuespring::detail
