#pragma once

#include "controlthread.h"
#include "net/eventloop.h"
#include "net/httpserver.h"
#include "trafficthread.h"

#include <memory>
#include <vector>

namespace fescuespring {

// Serves the operator pages GET /v1/status and GET /v1/route with data collected from the traffic
// threads. Loop thread only.
class OperatorPages
{
public:
    using Threads = std::vector<std::unique_ptr<TrafficThread>>;

    OperatorPages(EventLoop &loop, const Threads &threads, const DaemonSettings &settings,
                  const SharedState &state, ControlThread &control);

    void status(const HttpResponder &respond);

    // Explains how a request would be routed. If another VM owns the group's slice, the query is
    // forwarded to it, at most once.
    void route(const HttpRequest &request, const HttpResponder &respond);

private:
    struct PendingStatus;

    VmStatus ownStatus() const;
    void finishStatus(const std::shared_ptr<PendingStatus> &pending);
    std::optional<PeerVm> ownerOf(const GroupId &group) const;
    void explainLocally(const GroupId &group, const HttpRequest &request,
                        const HttpResponder &respond);

    EventLoop &m_loop;
    const Threads &m_threads;
    const DaemonSettings &m_settings;
    const SharedState &m_state;
    ControlThread &m_control;
};

} // namespace fescuespring
