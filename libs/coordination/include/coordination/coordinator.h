#pragma once

#include "coordination/departures.h"
#include "coordination/observerreports.h"
#include "coordination/ownobject.h"
#include "leadership/succession.h"
#include "statementproxy/upstreams.h"
#include "storefeed/feedreader.h"
#include "vmregistry/vmregistry.h"

#include <functional>
#include <map>
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

    // Distinguishes successive runs of this VM.
    std::string incarnation;

    // All VMs of the installation start for the first time, so no record was ever written.
    bool isFirstStart = false;

    // Reads the leadership records, from the store or from a VM that read them recently.
    std::function<void(std::function<void(const Result<DatedRecords> &)>)> readRecords = {};

    // Reads the list of all databases from the store and applies it to the directory; calls back
    // with whether it was read. May be empty: the directory is up to date.
    std::function<void(std::function<void(bool isRead)>)> readDatabases = {};

    // See SuccessionPorts::requestPromotion.
    std::function<void(const PromotionCall &, std::function<void(PromotionOutcome)>)>
            requestPromotion = {};

    // Called when the records differ from those read before. May be empty.
    std::function<void()> onRecordsChanged = {};
};

// Coordinates a VM with the others: reads the leadership records often enough to keep its lease,
// reports databases that do not answer it, evaluates the reports of the others, and replaces
// primaries while it holds the promotion lock.
//
//     Coordinator coordinator(upstreams, store, options);
//     coordinator.start();
//     coordinator.vmChanged(record);       // for each VM record read
//     coordinator.noticeChanged(notice);   // on a change of a VM notice
//     coordinator.leadershipChanged();     // on a change of a leadership record
//
// Single-threaded; the store calls back on the same thread.
class Coordinator
{
public:
    Coordinator(Upstreams &upstreams, ObjectStore &store, CoordinatorOptions options);
    ~Coordinator();
    Coordinator(const Coordinator &) = delete;
    Coordinator &operator=(const Coordinator &) = delete;

    void start();

    // Announces to the others that this VM is about to stop, and releases the promotion lock.
    void announceStop();

    void vmChanged(const VmRecord &record);
    void noticeChanged(const VmNotice &notice);
    void vmRemoved(const VmId &vm);

    // Reads the leadership records immediately because one was written.
    void leadershipChanged();

    // Called when a configuration takes effect.
    void configurationChanged(const RouteConfiguration &configuration);

    // The leadership records read last; empty before the first read.
    const std::optional<DatedRecords> &records() const
    {
        return m_records;
    }

    // The live VMs, ordered by name.
    std::vector<VmRecord> vms() const
    {
        return m_vms.liveVms(now());
    }

    // Whether the leadership records have been read, so that this VM can serve.
    bool isReady() const;

    // Whether this VM cannot reach the primaries of most groups while other VMs may, so that
    // callers should use another VM.
    bool isIsolated() const;

private:
    void tick();
    void considerChanges();
    void poll();
    void polled(const Result<DatedRecords> &records);
    void updateStoreReachability(const Result<DatedRecords> &records);
    void apply(const DatedRecords &records);
    void renew();
    void renewed(Instant sentAt, ObjectVersion version);
    void beginEpoch(StoreEpoch epoch);
    bool mayWriteOrigin() const;
    void writeOrigin();
    void confirmChangesRead(const LeadershipSnapshot &snapshot);
    void leaseHolders(const std::function<void(std::vector<VmIncarnation>)> &done);
    bool isViewCurrent() const;
    bool areDatabasesKnown();
    void readDatabases();
    void trackReports();
    bool isUnresponsive(const DatabaseId &database, const Upstreams::Observation &observation);
    bool canConfirm(const DatabaseId &database, const Upstreams::Observation &observation) const;
    void reportUnresponsiveDatabases();
    bool isLostToObservers(const DatabaseId &database) const;
    ObserverReports reports(const DatabaseId &database) const;
    bool isReportedByOthers(const DatabaseId &database) const;
    void shareConnections();
    std::vector<SuccessionCandidate> candidates(const GroupId &group) const;
    std::uint32_t synchronousReplicas(const GroupId &group) const;
    std::vector<GroupId> synchronousGroups() const;
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
    Departures m_departures;
    Instant m_lastRenewalAt;

    // Period in which the others see this VM as live.
    LeadershipView::Presence m_presence;
    std::size_t m_pendingPolls = 0;
    bool m_pollAgain = false;
    Instant m_lastPollAt;
    std::optional<DatedRecords> m_records;
    bool m_isStoreReachable = false;

    // The epoch of the store as last read; empty before the first read.
    std::optional<StoreEpoch> m_epoch;
    bool m_wasRestored = false;
    bool m_isWritingOrigin = false;

    // The list of databases was read from the store since the directory became complete.
    bool m_areDatabasesKnown = false;
    bool m_isReadingDatabases = false;

    // When the store was lost last, and from when on this VM is up to date again.
    Instant m_storeLostAt;
    Instant m_viewCurrentFrom;
    std::optional<RouteConfiguration> m_configuration;
    // Version of the live VMs for which connections were last shared.
    std::optional<std::uint64_t> m_sharedVersion;
    Instant m_liveVmsChangedAt;
    bool m_isSettled = false;

    // When the first of the current reports that a database is unresponsive was received.
    std::map<DatabaseId, Instant> m_reportedSince;

    // The last group considered in the rotation.
    GroupId m_lastConsideredGroup;
    bool m_isRestart = false;
    Instant m_startedAt;
    bool m_isStopping = false;
    Timers::Id m_tickTimer = 0;

    // Expires with this object; store callbacks hold it weakly.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fescuespring
