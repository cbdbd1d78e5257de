#include "coordination/coordinator.h"

#include "recordwrites.h"

#include "statementproxy/allowanceservice.h"
#include "store/objectversion.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fescuespring {

namespace {

using std::chrono::milliseconds;

constexpr Duration tickInterval = milliseconds(100);

// Interval at which the leadership records are read; a lease outlasts two failed reads.
constexpr Duration pollInterval = milliseconds(400);
constexpr std::size_t maximumPendingPolls = 3;

// The set of VMs that started together counts as complete when it has not changed for settlingTime,
// and at the latest after maximumSettlingTime.
constexpr Duration settlingTime = milliseconds(1200);
constexpr Duration maximumSettlingTime = milliseconds(5000);

// Time after the return of the store until this VM has read what the others reported meanwhile, and
// its connections have recovered if it was cut off. Until then it neither reports nor replaces
// primaries.
constexpr Duration catchUpTime = milliseconds(1000);

// Time without an answer after which a VM reports a database as unresponsive.
constexpr Duration unresponsiveAfter = milliseconds(550);

// The same if another VM has already reported it.
constexpr Duration suspectedUnresponsiveAfter = milliseconds(300);

// A primary from which nothing was received for this long is probed. Few of the VMs that hold
// connections to it probe frequently; the others probe seldom, but as soon as one of the few
// reports it as unresponsive.
constexpr Duration frequentProbeAfter = milliseconds(900);
constexpr Duration seldomProbeAfter = milliseconds(6000);
constexpr std::size_t frequentProbers = 4;

// The same for a primary that other VMs report as unresponsive.
constexpr Duration suspectedProbeAfter = milliseconds(250);

} // namespace

Coordinator::Coordinator(Upstreams &upstreams, ObjectStore &store, CoordinatorOptions options)
    : m_upstreams(upstreams)
    , m_store(store)
    , m_options(std::move(options))
    , m_own{.vm = m_options.vm,
            .dataCentre = m_options.dataCentre,
            .peers = m_options.peers,
            .relay = m_options.relay,
            .incarnation = m_options.incarnation}
    , m_notice{.vm = m_options.vm, .incarnation = m_options.incarnation}
    , m_ownRecord(store, upstreams.context().timers, vmKey(m_own.vm),
                  [this](Instant sentAt, ObjectVersion version) { renewed(sentAt, version); })
    , m_ownNotice(store, upstreams.context().timers, noticeKey(m_own.vm))
    , m_departures({.timers = upstreams.context().timers,
                    .log = upstreams.context().log,
                    .directory = upstreams.directory(),
                    .store = store,
                    .groups = [this] { return synchronousGroups(); },
                    .rank =
                            [this] {
                                return m_vms.rank(m_options.vm, now());
                            }})
    , m_startedAt(now())
{
    const ProxyContext &context = m_upstreams.context();
    m_succession = std::make_unique<Succession>(
            SuccessionOptions{.timers = context.timers,
                              .log = context.log,
                              .counters = context.counters,
                              .view = m_upstreams.leadership(),
                              .self = m_options.vm,
                              .incarnation = m_options.incarnation},
            SuccessionPorts{
                    .groups = [this] { return groupsToConsider(); },
                    .databases = [this](const GroupId &group) { return candidates(group); },
                    .areDatabasesKnown = [this] { return areDatabasesKnown(); },
                    .groupSize =
                            [this](const GroupId &group) {
                                return m_upstreams.directory().groupSize(group, now());
                            },
                    .otherMembers =
                            [this](const GroupId &group, const DatabaseId &without) {
                                return m_upstreams.directory().otherMembers(group, without, now());
                            },
                    .synchronousReplicas =
                            [this](const GroupId &group) { return synchronousReplicas(group); },
                    .command =
                            [this](const DatabaseId &database, const Statement &statement,
                                   Duration timeout, Upstreams::CommandDone done) {
                                m_upstreams.command(database, statement, timeout, std::move(done));
                            },
                    .write =
                            [this](const ObjectWrite &write, ObjectStore::WriteDone done) {
                                m_store.write(write, detail::recordWriteTimeout, std::move(done));
                            },
                    .requestPromotion = m_options.requestPromotion,
                    .refresh = [this] { leadershipChanged(); },
                    .leaseHolders =
                            [this](const std::function<void(std::vector<VmIncarnation>)> &done) {
                                leaseHolders(done);
                            },
                    .hasRead =
                            [this](const VmIncarnation &life, const GroupId &group,
                                   ObjectVersion announcement) {
                                const VmNotice *notice = m_vms.notice(life.vm, life.incarnation);
                                if (!notice)
                                    return false;
                                const auto read = notice->changesRead.find(group);
                                return read != notice->changesRead.end()
                                       && read->second >= announcement;
                            },
                    .rank =
                            [this] {
                                return m_vms.rankAfterReports(m_options.vm, now());
                            }});
}

Coordinator::~Coordinator()
{
    m_upstreams.setLossCheck([](const DatabaseId &) { return false; });
    m_upstreams.context().timers.cancel(m_tickTimer);
}

Instant Coordinator::now() const
{
    return m_upstreams.context().timers.now();
}

void Coordinator::start()
{
    m_upstreams.setLossCheck(
            [this](const DatabaseId &database) { return isLostToObservers(database); });
    m_upstreams.leadership().limitLease({.since = Instant::max(), .end = Instant::min()});
    poll();
    renew();
    tick();
}

bool Coordinator::isReady() const
{
    return m_upstreams.leadership().askedAt().has_value();
}

bool Coordinator::isIsolated() const
{
    return m_upstreams.isIsolatedFromMost();
}

bool Coordinator::isLostToObservers(const DatabaseId &database) const
{
    // Reports received before the store became unreachable are out of date.
    return m_isStoreReachable && isLost(reports(database));
}

ObserverReports Coordinator::reports(const DatabaseId &database) const
{
    const auto since = m_reportedSince.find(database);
    return {.observers = m_upstreams.observerCount(database),
            .unresponsive = m_vms.unresponsiveCount(database, now()),
            .confirming = m_vms.confirmingCount(database, now()),
            .sinceFirstReport =
                    since == m_reportedSince.end() ? Duration(0) : now() - since->second};
}

bool Coordinator::isViewCurrent() const
{
    return now() >= m_viewCurrentFrom;
}

void Coordinator::trackReports()
{
    const auto &reported = m_vms.unresponsiveDatabases(now());
    std::erase_if(m_reportedSince,
                  [&reported](const auto &entry) { return !reported.contains(entry.first); });
    for (const auto &[database, vms] : reported)
        m_reportedSince.try_emplace(database, now());
}

void Coordinator::tick()
{
    m_tickTimer = m_upstreams.context().timers.after(tickInterval, [this] { tick(); });
    m_upstreams.directory().expire(now());
    if (now() >= m_lastPollAt + pollInterval)
        poll();
    trackReports();
    reportUnresponsiveDatabases();
    if (!m_isStopping) {
        considerChanges();
        if (now() >= m_lastRenewalAt + vmRenewalInterval)
            renew();
    }
    shareConnections();
}

void Coordinator::considerChanges()
{
    // Without a configuration it is unknown whether commits need a replica.
    if (m_isStopping || !m_configuration || !isViewCurrent())
        return;
    if (!m_upstreams.directory().isComplete())
        return;
    m_departures.update();
    if (mayWriteOrigin())
        writeOrigin();
    else
        m_succession->tick();
}

void Coordinator::leadershipChanged()
{
    if (m_pendingPolls > 0)
        m_pollAgain = true;
    else
        poll();
}

void Coordinator::poll()
{
    if (m_pendingPolls >= maximumPendingPolls)
        return;
    m_lastPollAt = now();
    ++m_pendingPolls;
    m_options.readRecords(
            [this, alive = std::weak_ptr(m_alive)](const Result<DatedRecords> &records) {
                if (!alive.expired())
                    polled(records);
            });
}

void Coordinator::polled(const Result<DatedRecords> &records)
{
    --m_pendingPolls;
    const bool pollAgain = std::exchange(m_pollAgain, false);
    updateStoreReachability(records);
    if (records) {
        UpstreamDirectory &directory = m_upstreams.directory();
        directory.storeAnswered(records.value().askedAt, now());
        m_areDatabasesKnown = m_areDatabasesKnown && directory.isComplete();
        apply(records.value());
    }
    if (pollAgain)
        poll();
}

void Coordinator::updateStoreReachability(const Result<DatedRecords> &records)
{
    Log &log = m_upstreams.context().log;
    const bool wasReachable = std::exchange(m_isStoreReachable, records.has_value());
    if (records && !wasReachable) {
        log.info("store-reached", {{"age", now() - records.value().askedAt}});
        if (now() - m_storeLostAt > leadershipLease)
            m_viewCurrentFrom = now() + catchUpTime;
    }
    if (records)
        return;
    if (wasReachable)
        m_storeLostAt = now();
    m_upstreams.context()
            .counters
            .counter("fescuespring_store_failures_total", "reason", toString(records.error().code))
            .add();
    if (wasReachable)
        log.warning("store-lost", {{"reason", records.error().message}});
}

void Coordinator::apply(const DatedRecords &records)
{
    Log &log = m_upstreams.context().log;
    const bool isNewer =
            !m_records
            || (records.askedAt > m_records->askedAt && records.epoch >= m_records->epoch);
    if (!isNewer)
        return;
    if (m_epoch != records.epoch)
        beginEpoch(records.epoch);
    const bool differs = !m_records || records.objects != m_records->objects
                         || records.epoch != m_records->epoch;
    if (!differs) {
        m_records->askedAt = records.askedAt;
        m_upstreams.leadership().revalidate(records.askedAt);
        return;
    }
    const Result<LeadershipSnapshot> snapshot = decodeSnapshot(records.objects, records.epoch);
    if (!snapshot) {
        log.error("leadership-unreadable", {{"error", describe(snapshot.error())}});
        return;
    }
    for (const std::string &key : snapshot.value().ignoredKeys)
        log.warning("leadership-object-ignored", {{"key", key}});
    for (const LeadershipRecord &record : snapshot.value().records) {
        const LeadershipRecord before = m_upstreams.leadership().record(record.group);
        if (before.version == record.version)
            continue;
        log.info("leadership-read", {{"group", record.group},
                                     {"primary", record.primary},
                                     {"term", record.term},
                                     {"moving", record.isChanging},
                                     {"version", record.version},
                                     {"age", now() - records.askedAt}});
    }
    m_upstreams.leadership().snapshot(snapshot.value(), records.askedAt);
    m_succession->recordsRead();
    m_departures.read(snapshot.value().departures);
    m_records = records;
    confirmChangesRead(snapshot.value());
    if (m_options.onRecordsChanged)
        m_options.onRecordsChanged();
    considerChanges();
}

// Called with the first epoch read, and with each later one: the store was restored and may have
// lost what this VM wrote, and what others wrote may be from before the restore.
void Coordinator::beginEpoch(StoreEpoch epoch)
{
    const std::optional<StoreEpoch> before = std::exchange(m_epoch, epoch);
    if (!before)
        return;
    m_wasRestored = true;
    m_viewCurrentFrom = now() + catchUpTime;
    m_upstreams.context().log.warning("store-restored", {{"before", *before}, {"now", epoch}});
    m_upstreams.context().counters.counter("fescuespring_store_restores_total").add();
    renew();
    if (m_ownNotice.isWritten())
        m_ownNotice.write(encodeVmNotice(m_notice));
}

void Coordinator::vmChanged(const VmRecord &record)
{
    // A record of a previous incarnation: the other VMs are already in the store too.
    if (record.vm == m_own.vm && record.incarnation != m_own.incarnation) {
        m_isRestart = true;
        m_upstreams.allowances().setRestarted();
    }
    m_vms.update(record, now());
}

void Coordinator::noticeChanged(const VmNotice &notice)
{
    m_vms.update(notice);
    trackReports();
    if (!notice.unresponsiveDatabases.empty())
        considerChanges();
}

void Coordinator::vmRemoved(const VmId &vm)
{
    m_vms.remove(vm);
}

void Coordinator::configurationChanged(const RouteConfiguration &configuration)
{
    const bool areGroupsUnchanged =
            m_configuration && m_configuration->groups == configuration.groups;
    m_configuration = configuration;
    if (areGroupsUnchanged)
        return;
    m_sharedVersion.reset();
    shareConnections();
}

void Coordinator::shareConnections()
{
    if (!m_configuration)
        return;
    const std::uint64_t version = m_vms.liveVersion(now());
    const bool hasChanged = version != m_sharedVersion;
    if (hasChanged)
        m_liveVmsChangedAt = now();
    const bool wasSettled = m_isSettled;
    m_isSettled = wasSettled || m_isRestart || now() - m_liveVmsChangedAt > settlingTime
                  || now() - m_startedAt > maximumSettlingTime;
    if (!hasChanged && m_isSettled == wasSettled)
        return;
    m_sharedVersion = version;
    m_upstreams.shareConnections(*m_configuration, m_vms.liveVms(now()), m_isSettled);
}

bool Coordinator::isReportedByOthers(const DatabaseId &database) const
{
    return m_vms.unresponsiveCount(database, now()) > 0;
}

// Whether a primary does not answer this VM; probes it if nothing was received for some time.
bool Coordinator::isUnresponsive(const DatabaseId &database,
                                 const Upstreams::Observation &observation)
{
    const bool isSuspect = isReportedByOthers(database);
    const Duration sinceLastReceived = now() - observation.lastReplyAt;
    const bool probesFrequently = observation.isOwner && observation.rank < frequentProbers;
    const Duration probeAfter = probesFrequently ? frequentProbeAfter : seldomProbeAfter;
    if (sinceLastReceived > (isSuspect ? suspectedProbeAfter : probeAfter))
        m_upstreams.probeObserved(database);
    const Duration unanswered =
            observation.unresponsiveSince ? now() - *observation.unresponsiveSince : Duration(0);
    // A VM that is not an owner has already waited for the connections of others.
    const bool mayReportEarly = isSuspect || !observation.isOwner;
    return unanswered > (mayReportEarly ? suspectedUnresponsiveAfter : unresponsiveAfter);
}

// Whether a database that others report has answered this VM since.
bool Coordinator::canConfirm(const DatabaseId &database,
                             const Upstreams::Observation &observation) const
{
    const auto reportedSince = m_reportedSince.find(database);
    return reportedSince != m_reportedSince.end()
           && observation.lastReplyAt > reportedSince->second;
}

void Coordinator::reportUnresponsiveDatabases()
{
    m_upstreams.probeUnresponsive();
    std::set<DatabaseId> unresponsive;
    std::set<DatabaseId> confirmed;
    m_upstreams.forEachObserved([&](const UpstreamEntry &entry) {
        const DatabaseId &database = entry.target.database;
        const auto observation = m_upstreams.observation(database);
        if (!isViewCurrent() || !observation || !m_upstreams.isPrimary(database))
            return;
        if (isUnresponsive(database, *observation))
            unresponsive.insert(database);
        else if (canConfirm(database, *observation))
            confirmed.insert(database);
    });
    if (unresponsive == m_notice.unresponsiveDatabases && confirmed == m_notice.confirmedDatabases)
        return;
    m_upstreams.context().log.info(
            "unresponsive-primaries-changed",
            {{"count", unresponsive.size()},
             {"first", unresponsive.empty() ? DatabaseId() : *unresponsive.begin()},
             {"confirmed", confirmed.size()}});
    m_notice.unresponsiveDatabases = std::move(unresponsive);
    m_notice.confirmedDatabases = std::move(confirmed);
    m_ownNotice.write(encodeVmNotice(m_notice));
}

} // namespace fescuespring
