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

// Calls from a traffic thread to the rest of the VM. Any thread may call the hooks.
struct TrafficHooks
{
    // The thread responsible for a group's slice on this VM.
    std::function<const TrafficThread *(const GroupId &)> threadOf;

    // Number of vantage points available to detect the loss of a primary.
    std::function<std::size_t()> vantagePoints;

    // Submits a request to the thread responsible for the group's slice.
    std::function<void(OwnerRequest)> submitToLocalSlice;

    // Control calls from peers and operator pages, answered by the control thread.
    std::function<void(const HttpRequest &, HttpResponder)> controlRequest;

    // Read and write the record of a group in the store. The callback may run on any thread.
    std::function<void(const GroupId &, SliceHooks::RecordRead)> readRecord;
    std::function<void(const GroupId &, const GroupRecord &, ObjectVersion,
                       SliceHooks::RecordWritten)>
            writeRecord;

    // Requests other VMs' reports on a primary.
    std::function<void(const GroupId &, const DatabaseId &,
                       std::function<void(const PeerReport &)>)>
            requestPeerReports;
};

// A thread that processes requests. Serves a share of the caller and peer connections, and holds
// the slices assigned to it. The public functions may be called from any thread.
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

    // Applies the current directory and plan lists.
    void refresh();

    // Submits a request to its slice on this thread.
    void submit(OwnerRequest request);

    // The steps of a planned stop: slices first, then ports. Calls done on this thread when
    // drained.
    void drainSlices(std::function<void()> done);
    void drainPorts(std::chrono::milliseconds grace, std::function<void()> done);

    // Passes the groups whose slices this thread owns, and the number of its caller connections.
    void status(std::function<void(const std::vector<GroupStatus> &, std::size_t)> callback);

    // Passes nullopt if the slice is not on this thread.
    void explain(const GroupId &group, const RouteQuery &query,
                 std::function<void(const std::optional<RouteAnswer> &)> callback);

    EventLoop &loop()
    {
        return m_loop;
    }

private:
    struct Slice
    {
        std::unique_ptr<SliceOwner> owner;
        bool isOwned = false;
        Instant lastRequest;
    };

    HttpServerOptions serverOptions(const Endpoint &endpoint, const char *port);
    void handleCaller(const HttpRequest &request, HttpResponder respond);
    void handleRequest(const HttpRequest &request, const HttpResponder &respond);
    std::optional<Refusal> checkAdmission(const CallerRequest &request);
    void handlePeer(const HttpRequest &request, HttpResponder respond);
    void handleForward(const HttpRequest &request, const HttpResponder &respond);
    void refreshOnLoop();
    void refreshSlices();
    bool isOwnedLocally(const GroupId &group) const;
    bool isOnThisThread(const GroupId &group) const;
    Slice &slice(const GroupId &group);
    SliceHooks sliceHooks(const GroupId &group);
    void submitToLocalSlice(OwnerRequest request);
    void releaseIdleSlices();

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
