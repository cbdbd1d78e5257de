#pragma once

#include "base/counters.h"
#include "databaseport/databaseport.h"
#include "groupview/groupview.h"
#include "messages/plans.h"
#include "messages/request.h"
#include "messages/vmstatus.h"
#include "net/eventloop.h"
#include "promotion/grouprecord.h"
#include "promotion/lossdetector.h"
#include "promotion/promoter.h"
#include "session/sessiontoken.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace fescuespring {

// A request that has reached the owner of its group's slice.
struct OwnerRequest
{
    CallerRequest request;

    // 0 at the VM of entry, 1 and 2 after forwarding.
    std::uint32_t hop = 0;
    Instant receivedAt;

    // Called exactly once, on the owner's thread.
    std::function<void(CallerAnswer)> answer;
};

// A database of the group, as configured at the slice's owner.
struct SliceDatabase
{
    DatabaseSite site;
    std::uint32_t connections = 20;
    std::uint32_t slots = 3;

    bool operator==(const SliceDatabase &) const = default;
};

// Services that the VM provides to the owner of a slice. Callbacks must be called on the owner's
// thread. An empty hook means that the service is not available.
struct SliceHooks
{
    DatabasePortFactory databasePorts;
    TokenSigner tokenSigner;

    // Forwards the request to the owner of the group's slice in another data centre.
    std::function<void(const DataCentreId &, OwnerRequest)> forward;

    // Reads and conditionally writes the group's record.
    using RecordRead = std::function<void(const Result<std::optional<StoredRecord>> &)>;
    using RecordWritten = std::function<void(const Result<ObjectVersion> &)>;
    std::function<void(RecordRead)> readRecord;
    std::function<void(const GroupRecord &, ObjectVersion ifVersion, RecordWritten)> writeRecord;

    // Requests other VMs to probe the primary. Each answer is delivered as a report.
    std::function<void(const DatabaseId &, std::function<void(const PeerReport &)>)>
            requestPeerReports;

    // A change of primary by this owner has ended. For logging.
    std::function<void(const GroupId &, const PromotionReport &)> promotionEnded;

    // The primary of the group has changed. For logging.
    std::function<void(const GroupId &, const PrimaryView &)> primaryChanged;

    std::function<std::uint64_t()> random;
};

struct SliceOwnerOptions
{
    VmId vm;
    DataCentreId dataCentre;
    GroupId group;
    Duration probeInterval = std::chrono::milliseconds(200);
    std::chrono::milliseconds probeTimeout{500};

    // Number of vantage points that assess the loss of a primary, including this owner.
    std::size_t vantagePoints = 1;
    bool mayPromote = true;
};

// An operator's query about how a request would be routed.
struct RouteQuery
{
    Access access = Access::Read;
    std::string token;
    std::optional<std::chrono::milliseconds> maximumAge;
};

// Owns one slice: the connections to the databases of a group in this data centre. It probes the
// whole group, routes and runs requests, confirms answers before they are returned, and changes
// the primary when that is lost or about to leave. To be used only on the thread of the event loop;
// hooks are called on it as well.
//
//     SliceOwner owner(loop, counters, options, hooks);
//     owner.setDatabases(databases);
//     owner.setLists(lists);
//     owner.submit({.request = request, .receivedAt = loop.now(), .answer = reply});
class SliceOwner
{
public:
    SliceOwner(EventLoop &loop, Counters &counters, SliceOwnerOptions options, SliceHooks hooks);
    ~SliceOwner();
    SliceOwner(const SliceOwner &) = delete;
    SliceOwner &operator=(const SliceOwner &) = delete;

    void setDatabases(const std::vector<SliceDatabase> &databases);
    void setLists(std::shared_ptr<const PlanLists> lists);

    // Whether this VM may start a change of primary. Must be false while its view of the group may
    // be wrong.
    void setMayPromote(bool mayPromote);

    void submit(OwnerRequest request);

    // Rejects new requests with NotRun (Draining), waits for pending ones to finish, closes the
    // connections and then calls done.
    void drain(std::function<void()> done);

    // Number of requests that are not answered yet.
    std::size_t inFlight() const;

    // The group as this owner sees it, for operators.
    GroupStatus status() const;

    // Where a request of this kind would be routed now. Does not run or queue anything.
    RouteAnswer explain(const RouteQuery &question) const;

private:
    struct Data;
    std::unique_ptr<Data> m_data;
};

} // namespace fescuespring
