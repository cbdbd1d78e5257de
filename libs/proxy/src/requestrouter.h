#pragma once

#include "base/counters.h"
#include "directory.h"
#include "net/eventloop.h"
#include "peerclients.h"
#include "placement/placement.h"
#include "retry/retry.h"
#include "sliceowner/sliceowner.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace fescuespring {

// Routes a request to the owner of its group's slice in a data centre, on this VM or one forwarding
// hop away. If the owner is unreachable, or replies that it did not run the request because it is
// draining or not the owner, the next VM in rendezvous order is tried. A request that may have run
// is only retried if it is idempotent. Loop thread only.
class RequestRouter
{
public:
    struct Hooks
    {
        // Submits the request to the slice on this VM, on whichever thread holds it.
        std::function<void(OwnerRequest)> submitToLocalSlice;
        std::function<double()> random;
    };

    RequestRouter(EventLoop &loop, Counters &counters, const VmId &self,
                  const DataCentreId &dataCentre, std::string localIp, Hooks hooks);

    void setDirectory(std::shared_ptr<const Directory> directory);

    // Routes to the owner in this VM's data centre.
    void routeLocally(OwnerRequest request);

    // Routes to the owner in the given data centre.
    void routeTo(const DataCentreId &dataCentre, OwnerRequest request);

private:
    struct Attempt;

    void tryNext(const std::shared_ptr<Attempt> &attempt);
    void forwardTo(const std::shared_ptr<Attempt> &attempt, const PeerVm &peer);
    void onForwardReply(const std::shared_ptr<Attempt> &attempt, const PeerVm &peer,
                        const Result<CallerAnswer> &answer);
    void onReply(const std::shared_ptr<Attempt> &attempt, CallerAnswer reply);
    void onForwardFailed(const std::shared_ptr<Attempt> &attempt, const PeerVm &peer,
                         ErrorCode code);
    void retryOrFinish(const std::shared_ptr<Attempt> &attempt, Reason reason, bool mayHaveRun);
    void finish(const std::shared_ptr<Attempt> &attempt, CallerAnswer answer);
    std::vector<PeerVm> candidates(const GroupId &group, const DataCentreId &dataCentre) const;
    bool isDeprioritized(const VmId &vm) const;

    EventLoop &m_loop;
    VmId m_self;
    DataCentreId m_dataCentre;
    Hooks m_hooks;
    PeerClients m_peers;
    RetryBudget m_budget;
    Counter &m_forwarded;
    Counter &m_servedLocally;
    Counter &m_skippedOwners;
    std::shared_ptr<const Directory> m_directory = std::make_shared<const Directory>();
    std::map<DataCentreId, Placement> m_placements;

    // VMs that were recently unreachable. Until the given time, they are tried last.
    std::map<VmId, Instant> m_deprioritizedUntil;
};

} // namespace fescuespring
