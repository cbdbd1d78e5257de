#include "coordination/coordinator.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fescuespring {

namespace {

using std::chrono::milliseconds;

constexpr Duration tickInterval = milliseconds(100);

// How often the records of leadership are read: a lease outlives two reads that fail.
constexpr Duration pollInterval = milliseconds(400);
constexpr std::size_t maximumPollsOut = 3;

// VMs that started together know one another when no other has been found for so long, or at the
// latest after the longer time.
constexpr Duration settlingTime = milliseconds(1200);
constexpr Duration longestSettling = milliseconds(5000);

// Groups are considered in turn, all within a second; where there are no more than this, all of
// them at each tick.
constexpr std::size_t groupsInTurn = 32;
constexpr std::size_t ticksForAllGroups = 10;

// A write of leadership that was not answered by then is sent again under the same condition, well
// before another VM takes the duty over for it.
constexpr milliseconds writeTimeout{400};

constexpr milliseconds listTimeout{600};

// With more VMs than this, changes wait for leases to end: all would write to the store at once.
constexpr std::size_t mostConfirming = 400;

// Silence after which a VM says that it hears nothing from a database.
constexpr Duration silentAfter = milliseconds(550);

// The same where another VM has already said so.
constexpr Duration suspectedSilentAfter = milliseconds(300);

// A primary that has been quiet for so long is asked: by few VMs that hold connections to it often,
// by the others seldom, as they ask at once where one of the few hears nothing.
constexpr Duration quietPrimary = milliseconds(900);
constexpr Duration longQuietPrimary = milliseconds(6000);
constexpr std::size_t frequentAskers = 4;

// The same for one that other VMs hear nothing from.
constexpr Duration suspectedQuiet = milliseconds(250);

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
                  [this](Instant sentAt) { renewed(sentAt); })
    , m_ownNotice(store, upstreams.context().timers, noticeKey(m_own.vm))
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
                    .groupSize =
                            [this](const GroupId &group) {
                                return m_upstreams.directory().groupSize(group, now());
                            },
                    .command =
                            [this](const DatabaseId &database, const Statement &statement,
                                   Duration timeout, Upstreams::CommandDone done) {
                                m_upstreams.command(database, statement, timeout, std::move(done));
                            },
                    .write =
                            [this](const ObjectWrite &write, ObjectStore::WriteDone done) {
                                m_store.write(write, writeTimeout, std::move(done));
                            },
                    .requestPromotion = m_options.order,
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
                                return m_vms.rank(m_options.vm, now());
                            }});
}

Coordinator::~Coordinator()
{
    m_upstreams.setMajorityLossCheck([](const DatabaseId &) { return false; });
    m_upstreams.context().timers.cancel(m_tickTimer);
}

Instant Coordinator::now() const
{
    return m_upstreams.context().timers.now();
}

void Coordinator::start()
{
    m_upstreams.setMajorityLossCheck(
            [this](const DatabaseId &database) { return isLostForMost(database); });
    m_upstreams.leadership().limitLease(Instant::max(), Instant::min());
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

bool Coordinator::isLostForMost(const DatabaseId &database) const
{
    // What others said before the store was lost is no help.
    const std::size_t vms = m_upstreams.ownerCount(database);
    return m_isReachable && m_vms.unresponsiveCount(database, now()) * 2 > vms;
}

void Coordinator::tick()
{
    m_tickTimer = m_upstreams.context().timers.after(tickInterval, [this] { tick(); });
    m_upstreams.directory().expire(now());
    if (now() >= m_polledAt + pollInterval)
        poll();
    watchDatabases();
    if (!m_isStopping) {
        m_succession->tick();
        if (now() >= m_renewedAt + vmRenewalInterval)
            renew();
    }
    shareConnections();
}

void Coordinator::leadershipChanged()
{
    if (m_pollsOut > 0)
        m_pollAgain = true;
    else
        poll();
}

void Coordinator::poll()
{
    if (m_pollsOut >= maximumPollsOut)
        return;
    m_polledAt = now();
    ++m_pollsOut;
    m_options.readRecords(
            [this, alive = std::weak_ptr(m_alive)](const Result<DatedRecords> &records) {
                if (!alive.expired())
                    polled(records);
            });
}

void Coordinator::polled(const Result<DatedRecords> &records)
{
    --m_pollsOut;
    const bool pollAgain = std::exchange(m_pollAgain, false);
    noteReachable(records);
    if (records)
        take(records.value());
    if (pollAgain)
        poll();
}

void Coordinator::noteReachable(const Result<DatedRecords> &records)
{
    Log &log = m_upstreams.context().log;
    const bool wasReachable = std::exchange(m_isReachable, records.has_value());
    if (records && !wasReachable)
        log.info("store-reached", {{"age", now() - records.value().askedAt}});
    if (records)
        return;
    m_upstreams.context()
            .counters
            .counter("fescuespring_store_failures_total", "reason", toString(records.error().code))
            .add();
    if (wasReachable)
        log.warning("store-lost", {{"reason", records.error().message}});
}

void Coordinator::take(const DatedRecords &records)
{
    Log &log = m_upstreams.context().log;
    const bool isNewer = !m_records || records.askedAt > m_records->askedAt;
    if (!isNewer)
        return;
    const bool differs = !m_records || records.objects != m_records->objects;
    if (!differs) {
        m_records->askedAt = records.askedAt;
        m_upstreams.leadership().revalidate(records.askedAt);
        return;
    }
    const Result<LeadershipSnapshot> snapshot = decodeSnapshot(records.objects);
    if (!snapshot) {
        log.error("leadership-unreadable", {{"error", describe(snapshot.error())}});
        return;
    }
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
    m_records = records;
    noteChangesRead(snapshot.value());
    if (m_options.onRecordsChanged)
        m_options.onRecordsChanged();
    if (!m_isStopping)
        m_succession->tick();
}

void Coordinator::renew()
{
    m_renewedAt = now();
    ++m_own.renewal;
    m_ownRecord.write(encodeVmRecord(m_own));
}

// Whoever announces a change asks the store which VMs there are. So what this VM reads counts only
// once its record is there, and ends before the others give up a VM whose record is not renewed.
void Coordinator::renewed(Instant sentAt)
{
    if (now() >= m_knownUntil) {
        m_knownSince = now();
        m_upstreams.context().log.info("presence-recorded", {{"renewal", m_own.renewal}});
    }
    m_knownUntil = sentAt + vmPresenceLease;
    m_upstreams.leadership().limitLease(m_knownSince, m_knownUntil);
}

// Tells whoever announced a change that it was read here, so that it need not wait for leases.
void Coordinator::noteChangesRead(const LeadershipSnapshot &snapshot)
{
    std::map<GroupId, ObjectVersion> read;
    bool isNew = false;
    for (const LeadershipRecord &record : snapshot.records) {
        if (!record.isChanging)
            continue;
        read[record.group] = record.version;
        const auto before = m_notice.changesRead.find(record.group);
        isNew = isNew || before == m_notice.changesRead.end() || before->second < record.version;
    }
    m_notice.changesRead = std::move(read);
    if (isNew && m_vms.liveVms(now()).size() <= mostConfirming)
        m_ownNotice.write(encodeVmNotice(m_notice));
}

void Coordinator::leaseHolders(const std::function<void(std::vector<VmIncarnation>)> &done)
{
    m_store.list(std::string(vmKeyPrefix), listTimeout,
                 [this, done, alive = std::weak_ptr(m_alive)](
                         const Result<std::vector<StoredObject>> &objects) {
                     if (alive.expired() || !objects)
                         return;
                     std::vector<VmIncarnation> holders;
                     for (const StoredObject &object : objects.value()) {
                         const auto record = decodeVmRecord(object.key, object.value);
                         // What cannot be read may be anybody: the lease is waited for.
                         if (!record)
                             return;
                         if (!m_vms.isExpired(record.value(), now()))
                             holders.push_back({record.value().vm, record.value().incarnation});
                     }
                     done(std::move(holders));
                 });
}

void Coordinator::announceStop()
{
    m_isStopping = true;
    m_notice.isStopping = true;
    m_ownNotice.write(encodeVmNotice(m_notice));
    m_succession->release();
}

void Coordinator::vmChanged(const VmRecord &record)
{
    // A record of a former life: the others that started with it are on record too.
    if (record.vm == m_own.vm && record.incarnation != m_own.incarnation)
        m_isRestart = true;
    m_vms.update(record, now());
}

void Coordinator::noticeChanged(const VmNotice &notice)
{
    m_vms.update(notice);
    if (!notice.unresponsiveDatabases.empty() && !m_isStopping)
        m_succession->tick();
}

void Coordinator::vmRemoved(const VmId &vm)
{
    m_vms.remove(vm);
}

void Coordinator::configurationChanged(const RouteConfiguration &configuration)
{
    const bool grantsTheSame = m_configuration && m_configuration->groups == configuration.groups;
    m_configuration = configuration;
    if (grantsTheSame)
        return;
    m_sharedVersion.reset();
    shareConnections();
}

void Coordinator::shareConnections()
{
    if (!m_configuration)
        return;
    const std::uint64_t version = m_vms.liveVersion(now());
    const bool isOther = version != m_sharedVersion;
    if (isOther)
        m_livingChangedAt = now();
    const bool wasSettled = m_isSettled;
    m_isSettled = wasSettled || m_isRestart || now() - m_livingChangedAt > settlingTime
                  || now() - m_startedAt > longestSettling;
    if (!isOther && m_isSettled == wasSettled)
        return;
    m_sharedVersion = version;
    m_upstreams.shareConnections(*m_configuration, m_vms.liveVms(now()), m_isSettled);
}

// Those whose turn it is, and those with a database that is silent.
std::vector<GroupId> Coordinator::groupsToConsider()
{
    const UpstreamDirectory &directory = m_upstreams.directory();
    const std::size_t share = directory.groupCount() / ticksForAllGroups + 1;
    std::vector<GroupId> groups =
            directory.groupsAfter(m_consideredUpTo, std::max(groupsInTurn, share));
    if (!groups.empty())
        m_consideredUpTo = groups.back();
    for (const auto &[database, vms] : m_vms.unresponsiveDatabases(now())) {
        if (const UpstreamEntry *entry = directory.find(database))
            groups.push_back(entry->target.group);
    }
    return groups;
}

std::vector<SuccessionCandidate> Coordinator::candidates(const GroupId &group) const
{
    std::vector<SuccessionCandidate> candidates;
    for (const UpstreamEntry *entry : m_upstreams.directory().group(group)) {
        const DatabaseId &database = entry->target.database;
        candidates.push_back({.database = database,
                              .isDraining = entry->isDraining,
                              .reportsPrimaryRole = entry->role == Role::Primary,
                              .vmsNotReached = m_vms.unresponsiveCount(database, now()),
                              .vms = m_upstreams.ownerCount(database)});
    }
    return candidates;
}

bool Coordinator::isOthersSuspect(const DatabaseId &database) const
{
    return m_vms.unresponsiveCount(database, now()) > 0;
}

// Whether a primary is silent here; asks it where it has been quiet. The word on a database is with
// those VMs that hold connections to it.
bool Coordinator::hearsNothing(const UpstreamEntry &entry)
{
    const DatabaseId &database = entry.target.database;
    const auto believed = m_upstreams.leadership().primary(entry.target.group);
    if (!believed || believed->database != database)
        return false;
    const auto seen = m_upstreams.ownObservation(database);
    if (!seen)
        return false;
    const bool isSuspect = isOthersSuspect(database);
    const Duration quiet = now() - seen->lastReplyAt;
    const bool asksOften = m_upstreams.ownerRank(database) < frequentAskers;
    const Duration patience = asksOften ? quietPrimary : longQuietPrimary;
    if (quiet > (isSuspect ? suspectedQuiet : patience))
        m_upstreams.probeOwn(database);
    const Duration silence =
            seen->unresponsiveSince ? now() - *seen->unresponsiveSince : Duration(0);
    return silence > (isSuspect ? suspectedSilentAfter : silentAfter);
}

void Coordinator::watchDatabases()
{
    m_upstreams.probeUnresponsive();
    std::set<DatabaseId> silent;
    m_upstreams.forEachOwned([this, &silent](const UpstreamEntry &entry) {
        if (hearsNothing(entry))
            silent.insert(entry.target.database);
    });
    if (silent == m_notice.unresponsiveDatabases)
        return;
    m_upstreams.context().log.info(
            "silent-primaries-changed",
            {{"count", silent.size()}, {"first", silent.empty() ? DatabaseId() : *silent.begin()}});
    m_notice.unresponsiveDatabases = std::move(silent);
    m_ownNotice.write(encodeVmNotice(m_notice));
}

} // namespace fescuespring
