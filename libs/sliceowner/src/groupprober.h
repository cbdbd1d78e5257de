#pragma once

#include "databaseport/databaseport.h"
#include "groupview/groupview.h"
#include "net/eventloop.h"

#include <functional>
#include <map>
#include <memory>

namespace fescuespring {

// Keeps the view of one group up to date by probing its databases, and carries the management calls
// of a change of primary. Loop thread only.
class GroupProber
{
public:
    struct Hooks
    {
        // A status arrived, whatever asked for it; the view holds it already.
        std::function<void(const DatabaseStatus &, Instant askedAt)> heard;

        // A probe failed; the view knows.
        std::function<void()> silent;
    };

    GroupProber(GroupView &view, const DatabasePortFactory &ports,
                std::chrono::milliseconds timeout, Hooks hooks);

    // To be called after the sites of the view have changed.
    void updatePorts();

    // Nothing for a database that is not of the group.
    std::shared_ptr<DatabasePort> port(const DatabaseId &database) const;

    void probeAll();

    // Probes every database unless a probe of it is under way.
    void probeIdle();
    void probe(const DatabaseId &database);
    void fence(const DatabaseId &database, Term term);
    void promote(const DatabaseId &database, Term term);
    void follow(const DatabaseId &database, Term term, const DatabaseId &primary);

private:
    struct Target
    {
        Endpoint endpoint;
        std::shared_ptr<DatabasePort> port;
        unsigned underWay = 0;
    };

    StatusCallback callback(const DatabaseId &database);

    GroupView &m_view;
    DatabasePortFactory m_ports;
    std::chrono::milliseconds m_timeout;
    Hooks m_hooks;
    std::map<DatabaseId, Target> m_targets;
};

} // namespace fescuespring
