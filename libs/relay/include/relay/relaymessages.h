#pragma once

#include "allowance/allowancemessages.h"
#include "base/result.h"
#include "upstreampool/linkpool.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace fescuespring {

// A message between VMs that run statements on one another's connections: one JSON text per line.
struct RelayMessage
{
    enum class Kind {
        // Run a statement on the lease. The first statement acquires a connection for the lease.
        Run,

        // The outcome of the lease's statement.
        Outcome,

        // Release the lease, even with a statement under way.
        Release,

        // Liveness check and its reply.
        Ping,
        Pong,

        // A request about allowances, and its answer with the same lease. These have no other
        // fields.
        AllowanceRequest,
        AllowanceAnswer,
    };
    Kind kind = Kind::Ping;

    // Assigned by the borrower; unique on one connection between two VMs.
    std::uint64_t lease = 0;

    // The fields up to beginAfter belong to Run.
    DatabaseId database = {};

    // Empty where callers are not identified.
    CustomerId customer = {};
    std::uint32_t priority = 0;
    KeyUse key = {};

    // How long the first statement may wait for a connection.
    Duration timeout{0};

    // Empty, and not transmitted, where capacity is not learned.
    WorkKind work = {};
    std::optional<StartLimits> limits = {};
    UpstreamCommand command = {};
    std::map<std::string, std::string> values = {};

    // False for statements of the VM itself, which need no session values.
    bool hasValues = false;
    std::optional<PreparedStatement> prepared = {};
    std::optional<StatementKind> begin = {};
    std::optional<LogPoint> beginAfter = {};

    // Of Outcome. Its sentAt, its floor and the runningSince of its status are not transmitted:
    // they are valid on one VM only. Its load is transmitted if the lender learns capacity.
    LinkOutcome outcome = {};

    // Of Outcome: the lender's newest point of the group's primary, and the time since it requested
    // that point.
    std::optional<LogPoint> floor = {};
    Duration floorAge{0};

    // Of Outcome with a status: how long the database has run at least; empty if unknown.
    std::optional<Duration> runTime = {};

    AllowanceRequest allowanceRequest = {};
    AllowanceAnswer allowanceAnswer = {};
};

// Includes the end of line.
std::string encodeRelayMessage(const RelayMessage &message);

// Expects the line without its end. Returns ErrorCode::Malformed with the name of the field for an
// invalid message.
Result<RelayMessage> decodeRelayMessage(std::string_view line);

} // namespace fescuespring
