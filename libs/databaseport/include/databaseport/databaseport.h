#pragma once

#include "base/result.h"
#include "base/types.h"
#include "messages/upstream.h"

#include <chrono>
#include <functional>
#include <memory>

namespace fescuespring {

// Receive the outcomes of calls to a database. Errors are those of HttpCallback: Unreachable and
// Unavailable mean that nothing was sent, all others that the call may have been received.
using StatusCallback = std::function<void(const Result<DatabaseStatus> &)>;
using StatementCallback = std::function<void(const Result<StatementAnswer> &)>;

// One connection to a database: opened once, then one call at a time. Destroying it closes the
// connection, which rolls back an open transaction, and drops the callback of a call in progress.
class DatabaseConnection
{
public:
    virtual ~DatabaseConnection() = default;

    virtual void open(std::chrono::milliseconds timeout, StatementCallback callback) = 0;
    virtual void call(const StatementCall &call, std::chrono::milliseconds timeout,
                      StatementCallback callback) = 0;
};

// Interface to one database; implement it to support another kind of upstream. Used on one thread;
// callbacks run on that thread, never inside the call.
class DatabasePort
{
public:
    virtual ~DatabasePort() = default;

    // Management calls, which do not count against the connection limit.
    virtual void status(std::chrono::milliseconds timeout, StatusCallback callback) = 0;
    virtual void fence(const FenceCall &call, std::chrono::milliseconds timeout,
                       StatusCallback callback) = 0;
    virtual void promote(const PromoteCall &call, std::chrono::milliseconds timeout,
                         StatusCallback callback) = 0;
    virtual void follow(const FollowCall &call, std::chrono::milliseconds timeout,
                        StatusCallback callback) = 0;

    // Returns a new connection, not yet opened. onClosed is called if the database closes it while
    // no call is in progress.
    virtual std::unique_ptr<DatabaseConnection> connect(std::function<void()> onClosed) = 0;
};

// Creates the port of the database at an endpoint.
using DatabasePortFactory = std::function<std::unique_ptr<DatabasePort>(const Endpoint &endpoint)>;

} // namespace fescuespring
