#pragma once

#include "base/result.h"
#include "upstreampool/linkpool.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace fescuespring {

// What VMs say to each other to run statements on one another's connections: one JSON text a line.
struct RelayMessage
{
    enum class Kind {
        // Run a statement on the lease; the first one of a lease takes a connection for it.
        Run,

        // The outcome of the lease's statement.
        Outcome,

        // The lease is given back, whatever it is doing.
        Release,

        // Are you there, and yes.
        Ping,
        Pong,
    };
    Kind kind = Kind::Ping;

    // Chosen by the VM that asks, for one connection between the two.
    std::uint64_t lease = 0;

    // Of Run.
    DatabaseId database = {};
    std::uint32_t priority = 0;

    // Of Run: how long the first statement may wait for a connection.
    Duration timeout{0};
    UpstreamCommand command = {};
    std::map<std::string, std::string> values = {};

    // Of Run: false for statements of the VM itself, which need no values.
    bool hasValues = false;
    std::optional<PreparedStatement> prepared = {};
    std::optional<StatementKind> begin = {};
    std::optional<LogPoint> beginAfter = {};

    // Of Outcome; sentAt and floor are of no meaning at the other VM.
    LinkOutcome outcome = {};

    // Of Outcome: the newest point of the group's primary that the lender knows, and how long ago
    // it asked for it.
    std::optional<LogPoint> floor = {};
    Duration floorAge{0};
};

// Text of a message with its end of line.
std::string encodeRelayMessage(const RelayMessage &message);

// Malformed, with the field, for anything else; line is without its end.
Result<RelayMessage> decodeRelayMessage(std::string_view line);

} // namespace fescuespring
