#pragma once

#include "databaseport/databaseport.h"
#include "groupview/groupview.h"
#include "net/eventloop.h"

#include <functional>
#include <map>
#include <memory>

namespace fescuespring {

// Keeps the view of one group up to date by probing its databases, and sends the management calls
// of a change of primary. Loop thread only.
class GroupProber
{
public:
    struct Hooks
    {
        // Called with the status returned by a probe or management call, after the view is updated.
        std::function<void(const DatabaseStatus &, Instant requestedAt)> statusReceived;

        // Called when a probe or management call failed, after the view is updated.
        std::function<void()> callFailed;
    };

    GroupProber(GroupView &view, const DatabasePortFactory &ports,
                std::chrono::milliseconds timeout, Hooks hooks);

    // Must be called after the sites of the view have changed.
    void updatePorts();

    // Returns nullptr for a database that is not in the group.
    std::shared_ptr<DatabasePort> port(const DatabaseId &database) const;

    void probeAll();

    // Probes every database that has no probe in flight.
    void probeWithoutPending();
    void probe(const DatabaseId &database);
    void fence(const DatabaseId &database, Term term);
    void promote(const DatabaseId &database, Term term);
    void follow(const DatabaseId &database, Term term, const DatabaseId &primary);

private:
    struct Target
    {
        Endpoint endpoint;
        std::shared_ptr<DatabasePort> port;
        unsigned probesInFlight = 0;
    };

    StatusCallback callback(const DatabaseId &database);

    GroupView &m_view;
    DatabasePortFactory m_ports;
    std::chrono::milliseconds m_timeout;
    Hooks m_hooks;
    std::map<DatabaseId, Target> m_targets;
};

} // namespace fescuespring
