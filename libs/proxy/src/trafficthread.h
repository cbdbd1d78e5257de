#pragma once

#include "base/counters.h"
#include "directory.h"
#include "logging/log.h"
#include "net/eventloop.h"
#include "net/httpserver.h"
#include "requestrouter.h"
#include "scheduling/scheduler.h"
#include "settings/daemonsettings.h"
#include "sliceowner/sliceowner.h"

#include <functional>
#include <map>
#include <memory>
#include <thread>
#include <vector>

namespace fescuespring {

class TrafficThread;

// What a traffic thread asks of the rest of the VM. Any thread may call the hooks.
struct TrafficHooks
{
    // The thread of the VM that holds a group's slice.
    std::function<const TrafficThread *(const GroupId &)> threadOf;

    // Vantage points that can judge the loss of a primary.
    std::function<std::size_t()> vantagePoints;

    // Hands a request to the thread of the VM that holds the group's slice.
    std::function<void(OwnerRequest)> submitHere;

    // Control calls of peers and pages for operators, which the control thread answers.
    std::function<void(const HttpRequest &, HttpResponder)> controlRequest;

    // Store calls for the record of a group, answered on any thread.
    std::function<void(const GroupId &, SliceHooks::RecordRead)> readRecord;
    std::function<void(const GroupId &, const GroupRecord &, ObjectVersion,
                       SliceHooks::RecordWritten)>
            writeRecord;

    // Asks other VMs for their view of a primary.
    std::function<void(const GroupId &, const DatabaseId &,
                       std::function<void(const PeerReport &)>)>
            requestPeerReports;
};

// One of the threads that carry requests: its share of the caller and peer connections, and the
// slices that fall to it. The public functions may be called from any thread.
class TrafficThread
{
public:
    TrafficThread(const DaemonSettings &settings, SharedState &state, Counters &counters, Log &log,
                  TokenSigner tokenSigner, TrafficHooks hooks, std::uint64_t randomSeed);
    ~TrafficThread();
    TrafficThread(const TrafficThread &) = delete;
    TrafficThread &operator=(const TrafficThread &) = delete;

    // Opens the ports, before start().
    Result<void> listen();
    void start();
    void stopAndJoin();

    // The directory or the lists have changed.
    void refresh();

    // Runs a request at the slice on this thread.
    void submit(OwnerRequest request);

    // A planned stop: slices first, then callers; calls done on this thread when nothing is left.
    void drainSlices(std::function<void()> done);
    void drainPorts(std::chrono::milliseconds grace, std::function<void()> done);

    // Groups whose slice is on this thread, and the caller connections of this thread.
    void status(std::function<void(const std::vector<GroupStatus> &, std::size_t)> callback);

    // Nothing where the slice is not on this VM.
    void explain(const GroupId &group, const RouteQuery &question,
                 std::function<void(const std::optional<RouteAnswer> &)> callback);

    EventLoop &loop()
    {
        return m_loop;
    }

private:
    struct Slice
    {
        std::unique_ptr<SliceOwner> owner;
        bool isOurs = false;
        Instant lastRequest;
    };

    HttpServerOptions serverOptions(const Endpoint &endpoint, const char *port);
    void handleCaller(const HttpRequest &request, HttpResponder respond);
    void handleRequest(const HttpRequest &request, const HttpResponder &respond);
    std::optional<Refusal> objection(const CallerRequest &request);
    void handlePeer(const HttpRequest &request, HttpResponder respond);
    void handleForward(const HttpRequest &request, const HttpResponder &respond);
    void refreshHere();
    void refreshSlices();
    bool isOwnedHere(const GroupId &group) const;
    bool isOnThisThread(const GroupId &group) const;
    Slice &slice(const GroupId &group);
    SliceHooks sliceHooks(const GroupId &group);
    void submitHere(OwnerRequest request);
    void sweepSlices();

    const DaemonSettings &m_settings;
    SharedState &m_state;
    Counters &m_counters;
    Log &m_log;
    TokenSigner m_tokenSigner;
    TrafficHooks m_hooks;
    EventLoop m_loop;
    std::uint64_t m_random;
    RequestRouter m_router;
    std::unique_ptr<HttpServer> m_callers;
    std::unique_ptr<HttpServer> m_peers;
    std::shared_ptr<const Directory> m_directory = std::make_shared<const Directory>();
    std::shared_ptr<const PlanLists> m_lists = std::make_shared<const PlanLists>();
    std::map<GroupId, Slice> m_slices;
    Counter &m_requests;
    Counter &m_malformed;
    Counter &m_refusedAtEntry;
    bool m_draining = false;
    std::thread m_thread;
};

} // namespace fescuespring
