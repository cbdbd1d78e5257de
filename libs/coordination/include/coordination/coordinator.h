#pragma once

#include "coordination/ownobject.h"
#include "leadership/succession.h"
#include "statementproxy/upstreams.h"
#include "storefeed/feedreader.h"
#include "vmregistry/vmregistry.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace fescuespring {

struct CoordinatorOptions
{
    VmId vm;
    DataCentreId dataCentre;
    Endpoint peers;
    Endpoint relay;

    // Differs between two lives of this VM.
    std::string incarnation;

    // Reads the records of leadership, from the store or from a VM that read them lately.
    std::function<void(std::function<void(const Result<DatedRecords> &)>)> readRecords = {};

    // Orders the promotion of a database; see SuccessionPorts::requestPromotion.
    std::function<void(const GroupId &, const DatabaseId &, std::uint64_t fencingToken,
                       std::function<void(PromotionOutcome)>)>
            order = {};

    // The records that were read differ from those before. May be empty.
    std::function<void()> onRecordsChanged = {};
};

// The part of a VM that acts together with the others: reads who leads often enough to vouch for
// it, tells the others which databases it hears nothing from, judges what they tell, and replaces
// primaries while it holds that duty.
//
//     Coordinator coordinator(upstreams, store, options);
//     coordinator.start();
//     coordinator.vmChanged(record);       // as the records of VMs are read
//     coordinator.noticeChanged(notice);   // from a watch on the notices of VMs
//     coordinator.leadershipChanged();     // from a watch on the records of leadership
//
// One thread only. The store answers on that thread.
class Coordinator
{
public:
    Coordinator(Upstreams &upstreams, ObjectStore &store, CoordinatorOptions options);
    ~Coordinator();
    Coordinator(const Coordinator &) = delete;
    Coordinator &operator=(const Coordinator &) = delete;

    void start();

    // Tells the others that this VM is about to stop, and gives the duty back.
    void announceStop();

    void vmChanged(const VmRecord &record);
    void noticeChanged(const VmNotice &notice);
    void vmRemoved(const VmId &vm);

    // Something about leadership was written: reads it at once.
    void leadershipChanged();

    // A configuration came into force.
    void configurationChanged(const RouteConfiguration &configuration);

    // The records that were read last; nothing before the first.
    const std::optional<DatedRecords> &records() const
    {
        return m_records;
    }

    // The living VMs, ordered by name.
    std::vector<VmRecord> vms() const
    {
        return m_vms.liveVms(now());
    }

    // Whether who leads is known well enough to serve.
    bool isReady() const;

    // Whether this VM is cut off from the primaries of most groups while others may reach them, so
    // that callers are better off elsewhere.
    bool isIsolated() const;

private:
    void tick();
    void poll();
    void polled(const Result<DatedRecords> &records);
    void noteReachable(const Result<DatedRecords> &records);
    void take(const DatedRecords &records);
    void renew();
    void renewed(Instant sentAt);
    void noteChangesRead(const LeadershipSnapshot &snapshot);
    void leaseHolders(const std::function<void(std::vector<VmIncarnation>)> &done);
    bool hearsNothing(const UpstreamEntry &entry);
    void watchDatabases();
    bool isLostForMost(const DatabaseId &database) const;
    bool isOthersSuspect(const DatabaseId &database) const;
    void shareConnections();
    std::vector<SuccessionCandidate> candidates(const GroupId &group) const;
    std::vector<GroupId> groupsToConsider();
    Instant now() const;

    Upstreams &m_upstreams;
    ObjectStore &m_store;
    CoordinatorOptions m_options;
    VmRegistry m_vms;
    std::unique_ptr<Succession> m_succession;
    VmRecord m_own;
    VmNotice m_notice;
    OwnObject m_ownRecord;
    OwnObject m_ownNotice;
    Instant m_renewedAt;

    // Since when and until when the others know of this VM.
    Instant m_knownSince;
    Instant m_knownUntil;
    std::size_t m_pollsOut = 0;
    bool m_pollAgain = false;
    Instant m_polledAt;
    std::optional<DatedRecords> m_records;
    bool m_isReachable = false;
    std::optional<RouteConfiguration> m_configuration;
    // The living VMs among whom connections were shared out last.
    std::optional<std::uint64_t> m_sharedVersion;
    Instant m_livingChangedAt;
    bool m_isSettled = false;

    // The last of the groups that were considered in turn.
    GroupId m_consideredUpTo;
    bool m_isRestart = false;
    Instant m_startedAt;
    bool m_isStopping = false;
    Timers::Id m_tickTimer = 0;

    // Expires with this object; callbacks of the store hold it weakly.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fescuespring
