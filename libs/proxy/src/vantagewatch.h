#pragma once

#include "controlcodec/vantagecodec.h"
#include "databaseport/databaseport.h"
#include "net/eventloop.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace fescuespring {

// Probes databases on behalf of other VMs, as a second vantage point. Each database is probed for a
// few seconds after the last request for it. Requests are answered with the result of the last
// probe. Loop thread only.
class VantageWatch
{
public:
    using EndpointOf = std::function<std::optional<Endpoint>(const VantageRequest &)>;

    VantageWatch(EventLoop &loop, DatabasePortFactory ports, EndpointOf endpointOf);

    // Leaves the vm of the answer empty.
    VantageAnswer observe(const VantageRequest &request);

private:
    struct Watched
    {
        std::shared_ptr<DatabasePort> port;
        VantageAnswer lastObservation;
        Instant requestedAt;
    };

    void probe(const DatabaseId &database);
    void probeAll();

    EventLoop &m_loop;
    DatabasePortFactory m_ports;
    EndpointOf m_endpointOf;
    std::map<DatabaseId, Watched> m_watched;
    bool m_probing = false;
};

} // namespace fescuespring
