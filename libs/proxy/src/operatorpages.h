#pragma once

#include "controlthread.h"
#include "net/eventloop.h"
#include "net/httpserver.h"
#include "trafficthread.h"

#include <memory>
#include <vector>

namespace fescuespring {

// Answers what operators ask of a VM: GET /v1/status and GET /v1/route. Loop thread only; answers
// are gathered from the traffic threads.
class OperatorPages
{
public:
    using Threads = std::vector<std::unique_ptr<TrafficThread>>;

    OperatorPages(EventLoop &loop, const Threads &threads, const DaemonSettings &settings,
                  const SharedState &state, ControlThread &control);

    void status(const HttpResponder &respond);

    // A question about a group whose slice another VM owns is passed on to that VM, once.
    void route(const HttpRequest &request, const HttpResponder &respond);

private:
    struct Gathering;

    VmStatus ownStatus() const;
    void finishStatus(const std::shared_ptr<Gathering> &gathering);
    std::optional<PeerVm> ownerOf(const GroupId &group) const;
    void routeHere(const GroupId &group, const HttpRequest &request, const HttpResponder &respond);

    EventLoop &m_loop;
    const Threads &m_threads;
    const DaemonSettings &m_settings;
    const SharedState &m_state;
    ControlThread &m_control;
};

} // namespace fescuespring
