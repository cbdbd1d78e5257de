#pragma once

#include "base/counters.h"
#include "directory.h"
#include "distribution/distribution.h"
#include "httpstore/httpobjectstore.h"
#include "logging/log.h"
#include "membership/membership.h"
#include "net/eventloop.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/udpsocket.h"
#include "promotion/lossdetector.h"
#include "rpc/rpcclient.h"
#include "rpc/rpcserver.h"
#include "settings/daemonsettings.h"
#include "store/storeclient.h"
#include "vantagewatch.h"

#include <functional>
#include <map>
#include <memory>

namespace fescuespring {

// The control state of a VM: membership, plan lists, the platform's store and list of VMs. Runs on
// the loop's thread, and publishes the shared state to the traffic threads.
class ControlThread
{
public:
    struct Hooks
    {
        // The shared state has changed.
        std::function<void()> changed;

        // The platform has requested that this VM leave.
        std::function<void()> leaveRequested;
    };

    ControlThread(EventLoop &loop, const DaemonSettings &settings, SharedState &state, Log &log,
                  Counters &counters, std::uint64_t randomSeed, Hooks hooks);

    // Opens the membership port and starts the periodic tasks.
    Result<void> start();

    // The steps of a planned stop: announceLeaving() stops other VMs from sending new work; leave()
    // ends the membership.
    void announceLeaving();
    void leave();

    // Handles a control call from a peer. Returns the body of the response.
    std::string handleRpc(const std::string &body);

    void readRecord(const GroupId &group, SliceHooks::RecordRead done);
    void writeRecord(const GroupId &group, const GroupRecord &record, ObjectVersion ifVersion,
                     SliceHooks::RecordWritten done);

    // Requests reports on a primary from a few other VMs.
    void requestPeerReports(const GroupId &group, const DatabaseId &primary,
                            const std::function<void(const PeerReport &)> &report);

    std::size_t otherVms() const;
    ListsStatus listsStatus() const
    {
        return m_distribution.status();
    }
    bool isStoreReachable() const
    {
        return m_store.isReachable();
    }
    std::vector<Member> members() const
    {
        return m_membership.members();
    }
    HttpClient &peerClient(const Endpoint &peer);
    bool isLeaving() const
    {
        return m_leaving;
    }

private:
    DistributionHooks distributionHooks();
    void applyLists(const std::shared_ptr<const PlanLists> &lists, const ListsMark &mark);
    void tickMembership();
    void tickStore();
    void pollVms();
    void apply(const MembershipActions &actions);
    void recordMemberChanges(const MembershipActions &actions);
    void applyVms(const std::vector<PlatformVm> &vms);
    void publishDirectory();
    void publishStatus();
    std::vector<SliceDatabase> databasesOf(const GroupSettings &group) const;
    void addListedDatabases(Directory &directory) const;
    void addRpcMethods();
    void pullLists(const Endpoint &peer, const ListsRequest &request,
                   std::chrono::milliseconds timeout, const DistributionHooks::PullDone &done);
    void callPeer(const Endpoint &peer, std::string_view method, std::string_view params,
                  std::chrono::milliseconds timeout, const RpcCallback &callback);
    std::vector<PeerVm> vantageVms() const;
    std::optional<Endpoint> endpointOf(const VantageRequest &request) const;

    EventLoop &m_loop;
    const DaemonSettings &m_settings;
    SharedState &m_state;
    Log &m_log;
    Hooks m_hooks;
    HttpObjectStore m_objectStore;
    StoreClient m_store;
    Membership m_membership;
    Distribution m_distribution;
    RpcServer m_rpc;
    VantageWatch m_vantage;
    std::unique_ptr<UdpSocket> m_socket;
    std::map<Endpoint, std::unique_ptr<HttpClient>> m_peers;
    std::vector<PlatformVm> m_vms;
    std::set<VmId> m_deadVms;
    Directory m_published;
    std::size_t m_nextVantage = 0;
    bool m_leaving = false;
    bool m_wasReady = false;
};

} // namespace fescuespring
