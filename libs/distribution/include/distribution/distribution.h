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

// One VM asks another for the objects of the lists that are newer than its own. Asked within a data
// centre after a heartbeat showed other lists, and now and then between data centres.
struct ListsRequest
{
    ObjectVersions known;
};

struct ListsAnswer
{
    std::vector<StoredObject> newer;

    // What the answering VM has in force; version 0 where it is not ready.
    ListsMark mark;
};

// Objects of one answer, in bytes; what is left is asked for again.
constexpr std::size_t maximumListsAnswer = 1'500'000;

struct DistributionOptions
{
    VmId self;
    DataCentreId dataCentre;

    // VMs of the data centre that hold the watches on the lists.
    std::size_t watchers = 2;

    // Time for a peer's answer, and pulls that may be under way at once.
    std::chrono::milliseconds pullTimeout{500};
    std::size_t pulls = 2;

    // How often a watcher asks a VM of another data centre, for when the store cannot be reached.
    std::chrono::milliseconds remoteInterval{2000};

    // A VM without lists asks a VM of another data centre this often, and reads the store itself
    // after storePatience.
    std::chrono::milliseconds bootstrapInterval{250};
    std::chrono::milliseconds storePatience{1000};

    // The status object is written on a change, but not more often than this.
    std::chrono::milliseconds statusInterval{10000};

    std::uint64_t randomSeed = 1;
};

// Where the lists of this VM stand, for status and for operators.
struct ListsStatus
{
    ListsMark mark;
    bool ready = false;
    bool isWatcher = false;

    // What was refused, and why; empty once it has been mended.
    ListErrors refused;
};

struct DistributionHooks
{
    // Sends request to the peer port of a VM; done is called once, not from inside the call.
    using PullDone = std::function<void(const Result<ListsAnswer> &)>;
    std::function<void(const Endpoint &peer, const ListsRequest &request,
                       std::chrono::milliseconds timeout, PullDone done)>
            pull;

    // New lists are in force: hand them to the traffic threads, and the mark to Membership.
    std::function<void(const std::shared_ptr<const PlanLists> &lists, const ListsMark &mark)>
            inForce;

    // Members in the order in which they are to hold the watches; left empty, rendezvous order.
    std::function<std::vector<VmId>(const std::vector<VmId> &members)> watcherOrder;

    // The status changed.
    std::function<void(const ListsStatus &)> status;
};

// Brings the plan lists to one VM and keeps them the newest. Two VMs of the data centre watch the
// store; the others learn of a new version from heartbeats and pull the objects from the VM that
// has them. Versions only rise, whichever way they come; a list with errors is refused and the last
// good one stays in force.
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

    // True once lists are in force; until then no caller is to be served.
    bool isReady() const;
    ListsStatus status() const;

private:
    class Data;
    std::shared_ptr<Data> m_data;
};

} // namespace fescuespring
