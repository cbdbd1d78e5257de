#pragma once

#include "base/counters.h"
#include "base/latencyhistogram.h"
#include "base/timers.h"
#include "directory/routetable.h"
#include "directory/upstreamdirectory.h"
#include "leadership/leadershipview.h"
#include "leadership/termevidence.h"
#include "logging/log.h"
#include "relay/ownership.h"
#include "relay/relaypool.h"
#include "upstreampool/databasepool.h"
#include "vmregistry/vmregistry.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace fescuespring {

// What the parts of a VM that serve sessions share. All of it belongs to one thread.
struct ProxyContext
{
    Timers &timers;
    Log &log;
    Counters &counters;
    UpstreamConnector connect;

    // This VM; databases of the same data centre are nearer.
    VmId vm = {};
    DataCentreId dataCentre = {};

    // Connects to a VM that lends its connections. Empty where this VM uses its own only.
    std::function<std::shared_ptr<RelayPeer>(const Endpoint &,
                                             std::function<void(const Error &)> onLost)>
            connectPeer = {};
};

// The databases that this VM uses, with their connections, and what is known of who leads.
//
//     Upstreams upstreams(context);
//     upstreams.directory().update(entry);
//     const auto database = upstreams.chooseReader(group, excluded);
//     upstreams.pool(*database)->tryAcquire(&session);
//
// One thread only.
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
    const ProxyContext &context() const
    {
        return m_context;
    }

    // The best way to a database: own connections where this VM holds some and they work, else
    // those of another VM. Null if there is no such database.
    std::shared_ptr<LinkPool> pool(const DatabaseId &database) const;

    // Own connections, for lending them to other VMs.
    std::shared_ptr<DatabasePool> ownPool(const DatabaseId &database) const;

    // What this VM's own connections say of a database; nothing where it is to hold none.
    std::optional<DatabaseObservation> ownObservation(const DatabaseId &database) const;

    // This VM's place among those that hold connections to a database, the same for all who ask.
    std::size_t ownerRank(const DatabaseId &database) const;

    // VMs that hold connections to a database.
    std::size_t ownerCount(const DatabaseId &database) const;

    // Shares the connections that the configuration grants among the living VMs. While these are
    // not all known yet, nothing is opened ahead of need.
    void shareConnections(const RouteConfiguration &configuration, std::vector<VmRecord> vms,
                          bool areAllKnown);

    // Whether the living VMs are all known, so that connections are shared out among them.
    bool areVmsKnown() const
    {
        return m_areVmsKnown;
    }

    // The primary that may take statements now; nothing while none is known, or while it is silent
    // and a change is announced.
    std::optional<DatabaseId> usablePrimary(const GroupId &group) const;

    // The database of the group that is likely to answer a read first, excluded ones left out.
    std::optional<DatabaseId> chooseReader(const GroupId &group,
                                           const std::set<DatabaseId> &excluded) const;

    // Whether a database is expected to answer: not leaving and not silent for long.
    bool isResponsive(const DatabaseId &database) const;

    // Whether this VM hears nothing from the group's primary while others may: what needs it cannot
    // be served here.
    bool isCutOff(const GroupId &group) const;

    // The same for most groups, so that callers are better off elsewhere.
    bool isIsolatedFromMost() const;

    // Calls visit for each database that this VM holds connections to, as one of its owners.
    void forEachOwned(const std::function<void(const UpstreamEntry &)> &visit) const;

    // Whether an answer of the group's primary could be shown to count: by the store's records, or,
    // as far as the last attempt told, by the group itself.
    bool canShowLeading(const GroupId &group) const;

    // How the others' word on a database is asked for; false until set.
    void setMajorityLossCheck(std::function<bool(const DatabaseId &)> isLostForMost);

    // Asks for the point that covers all acknowledged commits; refreshed is called when the answer
    // is there or will not come.
    void refreshFloor(const GroupId &group, Refreshed refreshed);

    // Asks ahead where the newest such point is older than half of bound.
    void refreshFloorAhead(const GroupId &group, Duration bound);

    // Whether database, which committed under term, had not been replaced when it did: called at
    // once where the store's records show it, else after the other databases were asked.
    void confirmCommit(const GroupId &group, const DatabaseId &database, Term term,
                       Confirmed confirmed);

    // Whether database, which has answered a read, leads its group; shown in the same way.
    void confirmLeading(const GroupId &group, const DatabaseId &database, Confirmed confirmed);

    // The newest point of the primary of a database's group, if it is young enough to be of use to
    // other VMs.
    std::optional<PrimaryFloor> floorToShare(const DatabaseId &database) const;

    // What a lender knows of a group's primary.
    void noteSharedFloor(const GroupId &group, const PrimaryFloor &floor);

    // An answer of a database to something sent at sentAt; raises what is known of its group.
    void noteAnswer(const GroupId &group, const DatabaseId &database, const StatementReply &reply,
                    Instant sentAt);

    // Sends a statement of this VM to a database; nothing where it was not answered in time.
    using CommandDone = std::function<void(const std::optional<StatementReply> &)>;
    void command(const DatabaseId &database, const Statement &statement, Duration timeout,
                 CommandDone done);
    void askStatus(const DatabaseId &database, TermEvidence::StatusDone done);

    // Asks over this VM's own connections, to learn whether they work.
    void probeOwn(const DatabaseId &database);

    // Asks every database that is silent on a way that this VM uses, so that it is noticed when the
    // way works again; to be called every 100 ms or so.
    void probeUnresponsive();

    // Closes every connection that is not in use, and opens no more.
    void close();

    // Times that callers saw, and those that a database took, its queue and this VM's included.
    LatencyHistogram &servedTimes()
    {
        return m_servedTimes;
    }
    LatencyHistogram &databaseTimes()
    {
        return m_databaseTimes;
    }

private:
    void entryChanged(const UpstreamEntry &entry, bool isNewLife);
    void entryGone(const UpstreamEntry &entry);
    struct Access;
    struct Command;

    void shareOut(const DatabaseId &database, Access &access);
    ConnectionShares sharesOf(const UpstreamTarget &target) const;
    const std::vector<VmRecord> &otherOwners(const DatabaseId &database, Access &access);
    std::shared_ptr<RelayPeer> peerFor(const DatabaseId &database);
    std::shared_ptr<RelayPeer> peer(const VmRecord &record);
    void commandOn(const std::shared_ptr<LinkPool> &pool, const Statement &statement,
                   Duration timeout, CommandDone done);
    void commandEnded(const std::shared_ptr<Command> &command,
                      const std::optional<StatementReply> &reply);
    void dropCommand(Command &command);
    const Access *access(const DatabaseId &database) const;
    Duration silence(const LinkPool &pool) const;
    void probe(const std::shared_ptr<LinkPool> &pool, Instant &probedAt);
    TermEvidence::Electorate electorate(const GroupId &group) const;
    TermEvidence &evidence(const GroupId &group);
    void askOthers(const GroupId &group, const DatabaseId &database, Term term,
                   Confirmed confirmed);
    bool takeEvidence(const GroupId &group, const TermEvidence::Outcome &outcome);
    void askForFloor(const GroupId &group);
    void floorAnswered(const GroupId &group);
    double readCost(const UpstreamEntry &entry) const;

    ProxyContext m_context;
    LatencyHistogram m_servedTimes{m_context.counters, "fescuespring_statement_ms"};
    LatencyHistogram m_databaseTimes{m_context.counters, "fescuespring_database_ms"};
    LeadershipView m_leadership;
    UpstreamDirectory m_directory;
    std::map<DatabaseId, std::unique_ptr<Access>> m_accesses;
    std::map<VmId, std::shared_ptr<RelayPeer>> m_peers;
    std::map<VmId, Instant> m_peerLostAt;
    std::set<std::shared_ptr<Command>> m_commands;
    std::map<GroupId, std::unique_ptr<TermEvidence>> m_evidence;
    std::map<GroupId, std::vector<Refreshed>> m_refreshing;
    std::map<GroupId, Instant> m_evidenceFailedAt;
    std::map<GroupId, GroupLimits> m_limits;
    OwnerPlan m_ownerPlan;
    bool m_areVmsKnown = false;
    std::function<bool(const DatabaseId &)> m_isLostForMost = [](const DatabaseId &) {
        return false;
    };
};

} // namespace fescuespring
