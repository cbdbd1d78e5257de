#pragma once

#include "admission/pausedetector.h"
#include "base/counters.h"
#include "base/latencyhistogram.h"
#include "base/timers.h"
#include "customers/customer.h"
#include "directory/routetable.h"
#include "directory/upstreamdirectory.h"
#include "leadership/leadershipview.h"
#include "leadership/termevidence.h"
#include "logging/log.h"
#include "relay/customerowners.h"
#include "relay/ownership.h"
#include "relay/relaypool.h"
#include "statementproxy/readerchoice.h"
#include "upstreampool/databasepool.h"
#include "vmregistry/vmregistry.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace fescuespring {

// State shared by the components of a VM that serve sessions. Not thread-safe.
struct ProxyContext
{
    Timers &timers;
    Log &log;
    Counters &counters;
    UpstreamConnector connect;

    // This VM; reads prefer databases of its data centre.
    VmId vm = {};
    DataCentreId dataCentre = {};

    // Time for which a database goes on serving after it has announced that it will leave.
    Duration departureNotice = std::chrono::seconds(7);

    // Connects to a VM that relays statements over its connections. Empty where this VM only uses
    // its own connections.
    std::function<std::shared_ptr<RelayPeer>(const Endpoint &,
                                             std::function<void(const Error &)> onLost)>
            connectPeer = {};

    // Bound on the operations of each customer.
    AllowanceBound allowanceBound = {.tolerance = 20};

    // Learns the capacity of databases, chooses readers by it, and refuses statements that are not
    // expected to start in time.
    bool isCapacityLearned = false;
};

// A read to be placed, for a choice by learned capacity.
struct ReadWork
{
    WorkKind kind = {};
    LinkRequest request = {};

    // Time left in which its answer is useful.
    Duration useful = std::chrono::hours(1);
};

class AllowanceService;

// The databases that this VM uses, their connections, and its view of each group's primary.
//
//     Upstreams upstreams(context);
//     upstreams.directory().update(entry);
//     const auto database = upstreams.chooseReader(group, excluded);
//     upstreams.pool(*database)->tryAcquire({.context = &session});
//
// Not thread-safe.
class Upstreams
{
public:
    using Refreshed = std::function<void()>;
    using Confirmed = std::function<void(bool)>;

    explicit Upstreams(ProxyContext context);
    ~Upstreams();
    Upstreams(const Upstreams &) = delete;
    Upstreams &operator=(const Upstreams &) = delete;

    UpstreamDirectory &directory()
    {
        return m_directory;
    }
    const UpstreamDirectory &directory() const
    {
        return m_directory;
    }
    LeadershipView &leadership()
    {
        return m_leadership;
    }
    // Limits the operations of customers.
    AllowanceService &allowances()
    {
        return *m_allowances;
    }
    const ProxyContext &context() const
    {
        return m_context;
    }

    // The preferred pool for a database. An owner uses its own connections unless only those of
    // other VMs respond; a VM that is not an owner uses those of other VMs, if there are any,
    // unless only its own respond. Null if the database is unknown.
    std::shared_ptr<LinkPool> pool(const DatabaseId &database) const;

    // The pool for a customer's statement: that of the first owner in the customer's order that
    // responds, this VM's own if that is this VM. Without a customer, pool(database).
    std::shared_ptr<LinkPool> pool(const DatabaseId &database, const CustomerId &customer);

    // This VM's own connections, for relaying statements of other VMs. Null if the database is
    // unknown.
    std::shared_ptr<DatabasePool> ownPool(const DatabaseId &database) const;

    // What this VM observes of a database that it is to report on.
    struct Observation
    {
        // Whether it holds connections to the database; otherwise it reaches the database through
        // other VMs and, if these do not respond, over a connection of its own.
        bool isOwner = false;

        // Its rank among the observers, owners first; all VMs compute the same order.
        std::size_t rank = 0;

        // Since when no path has brought a reply; empty if one does.
        std::optional<Instant> unresponsiveSince = {};
        Instant lastReplyAt;
    };

    // Empty if this VM is not an observer of the database.
    std::optional<Observation> observation(const DatabaseId &database) const;

    // Whether a database is the primary of its group as last known to this VM.
    bool isPrimary(const DatabaseId &database) const;

    // Number of VMs that observe a database.
    std::size_t observerCount(const DatabaseId &database) const;

    // Divides the connections that the configuration grants among the live VMs. While areAllKnown
    // is false, connections are opened on demand only.
    void shareConnections(const RouteConfiguration &configuration, std::vector<VmRecord> vms,
                          bool areAllKnown);

    // Whether all live VMs are known, so that connections are divided among them.
    bool areVmsKnown() const
    {
        return m_areVmsKnown;
    }

    // The relay connection to another VM, opened if there is none yet. Null if it was lost a short
    // time ago, or if this VM uses no other VMs.
    std::shared_ptr<RelayPeer> peerFor(const VmRecord &record);

    // The primary that may take statements now; empty if none is known, if it is not in the
    // directory, if it has been draining for too long, or if it is unresponsive and a change of
    // primary has been announced.
    std::optional<DatabaseId> usablePrimary(const GroupId &group) const;

    // The database of the group with the lowest read cost, without draining and excluded ones. If
    // capacity is learned, one by chance with shares that follow it; see readerchoice.h.
    std::optional<DatabaseId> chooseReader(const GroupId &group,
                                           const std::set<DatabaseId> &excluded,
                                           const ReadWork &work = {});

    // What a statement at the preferred pool of a database is to expect; empty if unknown or if
    // capacity is not learned.
    std::optional<ExpectedLoad> expected(const DatabaseId &database, const WorkKind &kind,
                                         const LinkRequest &request);

    // False for a database that has not replied to requests for too long, and for an unknown one.
    bool isResponsive(const DatabaseId &database) const;

    // Whether statements have found no usable primary for longer than a change of primary takes, so
    // that they are refused at once.
    bool isWithoutPrimary(const GroupId &group);

    // Whether the group's primary does not respond to this VM although it may respond to others, so
    // that this VM cannot serve statements that need the primary.
    bool isIsolated(const GroupId &group) const;

    // Whether callers should use another VM, as for most groups isIsolated holds or the leadership
    // of the primary cannot be confirmed here.
    bool isIsolatedFromMost() const;

    // Calls visit for each database that this VM observes.
    void forEachObserved(const std::function<void(const UpstreamEntry &)> &visit) const;

    // Whether the leadership of the group's primary, or a commit there, can be confirmed: by the
    // store's records, or by the databases of the group unless their last confirmation failed
    // recently. Without writes, the leadership may fail to be confirmed where a commit would not.
    bool canConfirmLeadership(const GroupId &group) const;
    bool canConfirmCommits(const GroupId &group) const;

    // Sets the check whether a database is lost to its observers; without one none counts as lost.
    void setLossCheck(std::function<bool(const DatabaseId &)> isLostToObservers);

    // Requests the log point that covers all acknowledged commits; refreshed is called when the
    // request has succeeded or failed.
    void refreshFloor(const GroupId &group, Refreshed refreshed);

    // Refreshes the floor in advance if the newest one is older than half of bound.
    void refreshFloorAhead(const GroupId &group, Duration bound);

    // Reports whether database, which committed point by a statement sent at sentAt, had not been
    // replaced at the time of the commit. confirmed is called immediately if the store's records
    // show it, otherwise after the databases of the group have shown that a majority holds the
    // commit. That also yields a floor.
    void confirmCommit(const GroupId &group, const DatabaseId &database, LogPoint point,
                       Instant sentAt, Confirmed confirmed);

    // Reports in the same way whether database, which has replied to a statement, leads its
    // group.
    void confirmLeadership(const GroupId &group, const DatabaseId &database, Confirmed confirmed);

    // The newest floor of a database's group; empty if it is too old to be useful to other VMs.
    std::optional<PrimaryFloor> floorToShare(const DatabaseId &database) const;

    // Records the floor that another VM reported with a relayed reply.
    void recordSharedFloor(const GroupId &group, const PrimaryFloor &floor);

    // Records the log position of a reply to a statement sent at sentAt, if database is the
    // primary.
    void recordReply(const GroupId &group, const DatabaseId &database, const StatementReply &reply,
                     Instant sentAt);

    // Sends a statement of this VM to a database; done receives nothing if no reply came in time.
    using CommandDone = std::function<void(const std::optional<StatementReply> &)>;
    void command(const DatabaseId &database, const Statement &statement, Duration timeout,
                 CommandDone done);
    void requestStatus(const DatabaseId &database, TermEvidence::StatusDone done);

    // Sends a status request over the path by which this VM observes a database: its own
    // connections if it is an owner, otherwise those of another VM.
    void probeObserved(const DatabaseId &database);

    // Probes every unresponsive pool, own or relayed, and requests the evidence of groups whose
    // primary cannot be confirmed, to detect their recovery; to be called about every 100 ms. An
    // observer that is not an owner also opens a connection to an unresponsive primary, as the
    // other VM may be the one that does not respond.
    void probeUnresponsive();

    // Closes all unused connections and opens no new ones.
    void close();

    // Duration of successful statements from arrival to reply; and duration from sending to the
    // database's reply, without this VM's wait for a connection.
    LatencyHistogram &servedTimes()
    {
        return m_servedTimes;
    }
    LatencyHistogram &databaseTimes()
    {
        return m_databaseTimes;
    }

private:
    // What shows that the primary had not been replaced when it committed.
    enum class CommitBasis {
        None,

        // This VM's lease on the leadership records.
        Lease,

        // The databases that hold the commit.
        Databases,
    };

    // The basis of the last commit of a group, as it was logged.
    struct CommitBasisSeen
    {
        CommitBasis basis = CommitBasis::None;
        bool isChanging = false;
        std::vector<DatabaseId> holders = {};

        bool operator==(const CommitBasisSeen &) const = default;
    };

    void entryChanged(const UpstreamEntry &entry, bool isNewIncarnation);
    Instant drainingSince(bool isFirstSeen) const;
    void entryGone(const UpstreamEntry &entry);
    struct DatabasePools;
    struct Command;

    PlacedDatabase placed(const DatabaseId &database) const;
    void updateShares(const DatabaseId &database, DatabasePools &pools);
    ConnectionShares sharesOf(const UpstreamTarget &target) const;
    const std::vector<VmRecord> &otherOwners(const DatabaseId &database, DatabasePools &pools);
    std::shared_ptr<RelayPeer> peerFor(const DatabaseId &database);
    std::shared_ptr<RelayPeer> peer(const VmRecord &record);
    void setCustomers(const std::vector<Customer> &customers);
    void serveCustomers(DatabasePool &pool) const;
    std::vector<const VmRecord *> customerOrder(const DatabaseId &database, DatabasePools &pools,
                                                const CustomerId &customer);
    bool isLenderUsable(const DatabasePools &pools, const VmRecord &record) const;
    RelayPool::Lender lenderFor(const DatabaseId &database, const CustomerId &customer);
    void probeLenders(const DatabaseId &database, DatabasePools &pools);
    void commandOn(const std::shared_ptr<LinkPool> &pool, const Statement &statement,
                   Duration timeout, CommandDone done, LinkLease lease = {});
    void commandEnded(const std::shared_ptr<Command> &command,
                      const std::optional<StatementReply> &reply);
    void dropCommand(Command &command);
    const DatabasePools *findPools(const DatabaseId &database) const;
    Duration unresponsiveTime(const LinkPool &pool) const;
    static bool isObserver(const DatabasePools &pools);
    bool isUnconfirmed(const GroupId &group) const;
    void recheckUnconfirmed();
    void probe(const std::shared_ptr<LinkPool> &pool, Instant &probedAt);
    TermEvidence::Electorate electorate(const GroupId &group) const;
    TermEvidence &evidence(const GroupId &group);
    void recordConfirmed(const GroupId &group);
    void recordCommitBasis(const GroupId &group, CommitBasis basis, LogPoint point,
                           const std::vector<DatabaseId> &holders);
    void recordUnconfirmed(const GroupId &group, const TermEvidence::Outcome &outcome);
    bool isKnownTerm(const GroupId &group, Term term) const;
    bool hasFailedRecently(const std::map<GroupId, Instant> &failedAt, const GroupId &group) const;
    bool applyEvidence(const GroupId &group, const TermEvidence::Outcome &outcome);
    void requestFloor(const GroupId &group);
    void floorRefreshed(const GroupId &group);
    double readCost(const UpstreamEntry &entry) const;
    std::optional<DatabaseId> chooseByCapacity(const GroupId &group,
                                               const std::set<DatabaseId> &excluded,
                                               const ReadWork &work);
    ReaderCandidate readerCandidate(const UpstreamEntry &entry, const ReadWork &work);
    ConcurrencyLimitOptions limitOptions() const;
    void tickCapacity();
    void recordReturns();
    void reportCapacity(const DatabaseId &database, DatabasePools &pools);

    ProxyContext m_context;
    LatencyHistogram m_servedTimes{m_context.counters, "fescuespring_statement_ms"};
    LatencyHistogram m_databaseTimes{m_context.counters, "fescuespring_database_ms"};
    Counter &m_commitsByLease =
            m_context.counters.counter("fescuespring_commits_confirmed_total", "by", "lease");
    Counter &m_commitsByDatabases =
            m_context.counters.counter("fescuespring_commits_confirmed_total", "by", "databases");
    LeadershipView m_leadership;
    UpstreamDirectory m_directory;
    std::map<DatabaseId, std::unique_ptr<DatabasePools>> m_pools;
    std::map<VmId, std::shared_ptr<RelayPeer>> m_peers;
    std::map<VmId, Instant> m_peerLostAt;
    std::unique_ptr<AllowanceService> m_allowances;
    std::set<std::shared_ptr<Command>> m_commands;
    std::map<GroupId, std::unique_ptr<TermEvidence>> m_evidence;
    std::map<GroupId, CommitBasisSeen> m_commitBasis;
    std::map<GroupId, std::vector<Refreshed>> m_refreshing;
    // When evidence last failed for commits, and for leadership without a commit.
    std::map<GroupId, Instant> m_evidenceFailedAt;
    std::map<GroupId, Instant> m_leadershipFailedAt;

    // The first of the failed confirmations since the last one that succeeded, or that found a
    // majority.
    std::map<GroupId, Instant> m_evidenceFailingSince;
    Instant m_evidenceRecheckedAt;

    // When a statement first found no usable primary, since one last found one.
    std::map<GroupId, Instant> m_withoutPrimarySince;
    std::map<GroupId, GroupLimits> m_limits;
    OwnerPlan m_ownerPlan;
    bool m_areVmsKnown = false;
    bool m_areCustomersNamed = false;
    std::shared_ptr<const CustomerShares> m_customerShares = std::make_shared<CustomerShares>();

    // For learned capacity. Pools refer to the detector and may outlive this object.
    std::shared_ptr<PauseDetector> m_pauses = std::make_shared<PauseDetector>();
    Timers::Id m_capacityTimer = 0;
    Instant m_capacityReportedAt;
    std::mt19937_64 m_random{std::hash<std::string>()(m_context.vm.value())};
    std::function<bool(const DatabaseId &)> m_isLostToObservers = [](const DatabaseId &) {
        return false;
    };
};

} // namespace fescuespring
