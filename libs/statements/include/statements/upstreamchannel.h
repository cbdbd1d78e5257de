#pragma once

#include "base/result.h"
#include "statements/statement.h"

#include <functional>
#include <memory>
#include <vector>

namespace fescuespring {

// A statement as it is sent to a database.
struct UpstreamCommand
{
    // The caller's id; empty for statements of this VM.
    RequestId id = {};

    // The database refuses the statement if its log does not contain this point.
    std::optional<LogPoint> after = {};

    Statement statement = {};
};

// Address of a database, and its identity, which is verified on connecting.
struct UpstreamTarget
{
    GroupId group;
    DatabaseId database;
    Endpoint endpoint;

    // The customer that the connection is opened for, as the database is told; empty for a
    // connection that serves every caller.
    CustomerId customer = {};
};

struct UpstreamChannelHandlers
{
    // The connection is open; the reply contains the log position, or the reason for a refusal.
    std::function<void(const StatementReply &)> onOpened = {};

    // The next reply, in the order of the commands.
    std::function<void(StatementReply)> onReply = {};

    // The connection is closed. Called once, as the last callback. The error is Unreachable if
    // nothing responded, Refused if the database rejected the connection, and ConnectionLost after
    // it was open.
    std::function<void(const Error &)> onClosed = {};
};

// Interface of a connection to a database. Commands are sent in order, and each gets one reply, in
// order. Destroying it closes the connection, which rolls back an open transaction. Callbacks run
// on the owner's thread, never from inside a call.
class UpstreamChannel
{
public:
    virtual ~UpstreamChannel() = default;

    // Sends commands in one write.
    virtual void send(const std::vector<UpstreamCommand> &commands) = 0;
};

using UpstreamConnector = std::function<std::unique_ptr<UpstreamChannel>(
        const UpstreamTarget &target, UpstreamChannelHandlers handlers)>;

} // namespace fescuespring
