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

// Brings a request to the owner of its group's slice in a data centre: on this VM, or on another
// by one forwarding hop. An owner that cannot be reached, or says that it did not run the request,
// is passed over for the next in rendezvous order; work that may have run is given to another only
// if it is idempotent. Loop thread only.
class RequestRouter
{
public:
    struct Hooks
    {
        // Hands the request to the slice on this VM, whichever thread it lives on.
        std::function<void(OwnerRequest)> submitHere;
        std::function<double()> random;
    };

    RequestRouter(EventLoop &loop, Counters &counters, const VmId &self,
                  const DataCentreId &dataCentre, std::string localIp, Hooks hooks);

    void setDirectory(std::shared_ptr<const Directory> directory);

    // To the owner in this VM's data centre.
    void routeHere(OwnerRequest request);

    // To the owner in another data centre.
    void routeTo(const DataCentreId &dataCentre, OwnerRequest request);

private:
    struct Attempt;

    void tryNext(const std::shared_ptr<Attempt> &attempt);
    void tryThere(const std::shared_ptr<Attempt> &attempt, const PeerVm &peer);
    void answered(const std::shared_ptr<Attempt> &attempt, const PeerVm &peer,
                  const Result<CallerAnswer> &answer);
    void replied(const std::shared_ptr<Attempt> &attempt, CallerAnswer reply);
    void failed(const std::shared_ptr<Attempt> &attempt, const PeerVm &peer, ErrorCode code);
    void retryOrAnswer(const std::shared_ptr<Attempt> &attempt, Reason reason, bool mayHaveRun);
    void finish(const std::shared_ptr<Attempt> &attempt, CallerAnswer answer);
    std::vector<PeerVm> candidates(const GroupId &group, const DataCentreId &dataCentre) const;
    bool isShunned(const VmId &vm) const;

    EventLoop &m_loop;
    VmId m_self;
    DataCentreId m_dataCentre;
    Hooks m_hooks;
    PeerClients m_peers;
    RetryBudget m_budget;
    Counter &m_forwarded;
    Counter &m_servedHere;
    Counter &m_takenOver;
    std::shared_ptr<const Directory> m_directory = std::make_shared<const Directory>();
    std::map<DataCentreId, Placement> m_placements;

    // VMs that could not be reached lately, and until when they are tried last.
    std::map<VmId, Instant> m_shunned;
};

} // namespace fescuespring
