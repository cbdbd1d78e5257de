#pragma once

#include "controlcodec/vantagecodec.h"
#include "databaseport/databaseport.h"
#include "net/eventloop.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace fescuespring {

// What this VM sees of databases that other VMs ask about: probes each for a while after the last
// question, and answers from the last probe. Loop thread only.
class VantageWatch
{
public:
    using EndpointOf = std::function<std::optional<Endpoint>(const VantageRequest &)>;

    VantageWatch(EventLoop &loop, DatabasePortFactory ports, EndpointOf endpointOf);

    // The vm of the answer is left to the caller.
    VantageAnswer look(const VantageRequest &request);

private:
    struct Watched
    {
        std::shared_ptr<DatabasePort> port;
        VantageAnswer seen;
        Instant askedAt;
    };

    void probe(const DatabaseId &database);
    void sweep();

    EventLoop &m_loop;
    DatabasePortFactory m_ports;
    EndpointOf m_endpointOf;
    std::map<DatabaseId, Watched> m_watched;
    bool m_sweeping = false;
};

} // namespace fescuespring
