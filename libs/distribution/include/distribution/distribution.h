#pragma once

#include "base/counters.h"
#include "base/result.h"
#include "base/types.h"
#include "membership/member.h"
#include "messages/listsmark.h"
#include "messages/plans.h"
#include "planlists/listset.h"
#include "store/storeclient.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fescuespring {

// Requests from another VM the objects of the lists that are newer than the requester's. Sent
// within a data centre after a heartbeat with another mark, and periodically between data centres.
struct ListsRequest
{
    ObjectVersions known;
};

struct ListsAnswer
{
    std::vector<StoredObject> newer;

    // The lists that the replying VM has in force; version 0 if it is not ready.
    ListsMark mark;
};

// Maximum size of the objects in one reply, in bytes; the rest is requested again.
constexpr std::size_t maximumListsAnswerBytes = 1'500'000;

struct DistributionOptions
{
    VmId self;
    DataCentreId dataCentre;

    // VMs of the data centre that hold the watches on the lists.
    std::size_t watchers = 2;

    // Time limit for a peer's reply, and maximum number of concurrent pulls.
    std::chrono::milliseconds pullTimeout{500};
    std::size_t pulls = 2;

    // How often a watcher pulls from a VM of another data centre, in case the store is unreachable.
    std::chrono::milliseconds remoteInterval{2000};

    // A VM without lists pulls from a VM of another data centre this often, and reads the store
    // itself after storeFallbackDelay.
    std::chrono::milliseconds bootstrapInterval{250};
    std::chrono::milliseconds storeFallbackDelay{1000};

    // Minimum time between two writes of the status object, which is written when it changes.
    std::chrono::milliseconds statusInterval{10000};

    std::uint64_t randomSeed = 1;
};

// State of the lists of this VM, for the status object and for operators.
struct ListsStatus
{
    ListsMark mark;
    bool ready = false;
    bool isWatcher = false;

    // Lists that were refused, and why; empty once they are corrected.
    ListErrors refused;
};

struct DistributionHooks
{
    // Sends request to the peer port of a VM; calls done once, not from inside the call.
    using PullDone = std::function<void(const Result<ListsAnswer> &)>;
    std::function<void(const Endpoint &peer, const ListsRequest &request,
                       std::chrono::milliseconds timeout, PullDone done)>
            pull;

    // New lists are in force: the lists are for the traffic threads, the mark is for Membership.
    std::function<void(const std::shared_ptr<const PlanLists> &lists, const ListsMark &mark)>
            inForce;

    // Orders members by preference for holding the watches; rendezvous order if empty.
    std::function<std::vector<VmId>(const std::vector<VmId> &members)> watcherOrder;

    // Called when the status changes.
    std::function<void(const ListsStatus &)> status;
};

// Fetches the plan lists for one VM and keeps them up to date. Two VMs of the data centre watch the
// store; the others detect a new version from heartbeats and pull the objects from the VM that has
// them. Versions only increase, whatever their source; a list with errors is refused and the last
// valid one stays in force.
//
//     Distribution distribution(options, hooks, store, counters);
//     distribution.setMembers(membership.members(), now);
//     distribution.listsSeen(actions.listsSeen, now);
//     distribution.tick(now);                                  // every 50 ms or so
//     ListsAnswer answer = distribution.answer(request);       // on the peer port
//     if (!distribution.isReady()) refuse callers;
class Distribution
{
public:
    Distribution(DistributionOptions options, DistributionHooks hooks, StoreClient &store,
                 Counters &counters);
    ~Distribution();
    Distribution(const Distribution &) = delete;
    Distribution &operator=(const Distribution &) = delete;

    void tick(Instant now);
    void setMembers(const std::vector<Member> &members, Instant now);

    // Peer ports of VMs in other data centres.
    void setRemotePeers(std::vector<Endpoint> peers);

    void listsSeen(const std::vector<ListsSeen> &seen, Instant now);
    ListsAnswer answer(const ListsRequest &request) const;

    // True once lists are in force; until then no caller may be served.
    bool isReady() const;
    ListsStatus status() const;

private:
    class Data;
    std::shared_ptr<Data> m_data;
};

} // namespace fescuespring
