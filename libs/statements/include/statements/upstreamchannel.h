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

    // The database is to refuse the statement if its log lacks this point.
    std::optional<LogPoint> after = {};

    Statement statement = {};
};

// Where a database is and how to make sure that it is the one meant.
struct UpstreamTarget
{
    GroupId group;
    DatabaseId database;
    Endpoint endpoint;
};

struct UpstreamChannelHandlers
{
    // The connection is open; the reply holds the position, or why it was refused.
    std::function<void(const StatementReply &)> onOpened = {};

    // The next answer, in the order of the commands.
    std::function<void(StatementReply)> onReply = {};

    // The connection is gone. Called once, as the last call. Unreachable where nobody answered,
    // Refused where the database did not take it, ConnectionLost after it was open.
    std::function<void(const Error &)> onClosed = {};
};

// One connection to a database, as a port: commands go out in order, each is answered once, in
// order. Destroying it closes the connection, which rolls back an open transaction. Callbacks come
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
