#pragma once

#include "base/counters.h"
#include "base/timers.h"
#include "net/tcpstream.h"
#include "relay/relaymessages.h"

#include <functional>
#include <memory>

namespace fescuespring {

// Lends this VM's connections to other VMs: runs their statements, keeps a connection for a
// transaction until it is given back, and gives everything back when the other VM is gone.
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
        // This VM's own connections to a database; null where it has none.
        std::function<std::shared_ptr<LinkPool>(const DatabaseId &)> poolOf;

        // The newest point of the primary of a database's group, which answers carry along so that
        // the borrower need not ask. May be empty.
        std::function<std::optional<PrimaryFloor>(const DatabaseId &)> floorOf = {};
    };

    static Result<std::unique_ptr<RelayServer>> listen(EventLoop &loop, const Endpoint &endpoint,
                                                       Timers &timers, Counters &counters,
                                                       Hooks hooks);
    ~RelayServer();

    // Where it listens, with the port that the system chose.
    Endpoint endpoint() const;

private:
    struct Data;
    explicit RelayServer(std::shared_ptr<Data> data);
    std::shared_ptr<Data> m_data;
};

} // namespace fescuespring
