#pragma once

#include "base/result.h"
#include "base/types.h"
#include "messages/upstream.h"

#include <chrono>
#include <functional>
#include <memory>

namespace fescuespring {

// Outcomes of calls to a database. Errors are those of HttpCallback: Unreachable and Unavailable
// mean that nothing was sent, all others that the call may have been received.
using StatusCallback = std::function<void(const Result<DatabaseStatus> &)>;
using StatementCallback = std::function<void(const Result<StatementAnswer> &)>;

// One connection to a database: opened once, then one call at a time. Destroying it closes it,
// which rolls back an open transaction, and drops the callback of a call under way.
class DatabaseConnection
{
public:
    virtual ~DatabaseConnection() = default;

    virtual void open(std::chrono::milliseconds timeout, StatementCallback callback) = 0;
    virtual void call(const StatementCall &call, std::chrono::milliseconds timeout,
                      StatementCallback callback) = 0;
};

// All that the project asks of one database; the place to fit another kind of upstream. Belongs to
// one thread, and its callbacks come on that thread, never from inside the call.
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

    // A new connection, not yet opened. onClosed is called if the database closes it while no call
    // is under way.
    virtual std::unique_ptr<DatabaseConnection> connect(std::function<void()> onClosed) = 0;
};

// Makes the port of the database at an endpoint.
using DatabasePortFactory = std::function<std::unique_ptr<DatabasePort>(const Endpoint &endpoint)>;

} // namespace fescuespring
