#pragma once

#include "base/counters.h"
#include "base/timers.h"
#include "net/tcpstream.h"
#include "relay/relaymessages.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace fescuespring {

// Lends this VM's connections to other VMs: runs their statements, holds a connection for a
// transaction until its lease is released, and releases all leases of a VM that disconnects.
//
//     auto server = RelayServer::listen(loop, endpoint, timers, counters,
//                                       {.poolOf = [&](const DatabaseId &database) {
//                                            return pool(database);
//                                        }});
//
// Loop thread only.
class RelayServer
{
public:
    struct Hooks
    {
        // This VM's own connections to a database; null if it has none.
        std::function<std::shared_ptr<LinkPool>(const DatabaseId &)> poolOf;

        // The newest point of the primary of a database's group, which is sent with each outcome so
        // that the borrower need not request it. May be empty.
        std::function<std::optional<PrimaryFloor>(const DatabaseId &)> floorOf = {};

        // Called before a statement of a customer is sent to the database: None, or why the key of
        // its caller does not allow it. Without it, all statements are sent.
        std::function<StatementFailure(const KeyUse &, const CustomerId &)> refusalOf = {};

        // Handles a request about allowances; calls its second argument once, possibly later. If
        // empty, the answer is that this VM does not count.
        std::function<void(const AllowanceRequest &, std::function<void(const AllowanceAnswer &)>)>
                handleAllowance = {};
    };

    static Result<std::unique_ptr<RelayServer>> listen(EventLoop &loop, const Endpoint &endpoint,
                                                       Timers &timers, Counters &counters,
                                                       Hooks hooks);
    ~RelayServer();

    // Number of connections that other VMs hold now.
    std::size_t loanCount() const;

    // The address it listens on, with the port that the system assigned.
    Endpoint endpoint() const;

private:
    struct Data;
    explicit RelayServer(std::shared_ptr<Data> data);
    std::shared_ptr<Data> m_data;
};

} // namespace fescuespring
