#include "statementproxy/upstreams.h"

#include "upstreamaccess.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fescuespring {

namespace {

// Silence after which a read goes elsewhere if it can.
constexpr Duration unresponsiveAfter = std::chrono::milliseconds(250);

// Time for which a failed round of statuses keeps statements from being sent that could not be
// acknowledged.
constexpr Duration evidenceFailureCounts = std::chrono::milliseconds(500);

// Silence of a primary after which this VM takes itself for cut off from it, unless most VMs hear
// nothing from it either.
constexpr Duration cutOffAfter = std::chrono::milliseconds(450);

// Silence of own connections after which another VM's are used.
constexpr Duration ownSilence = std::chrono::milliseconds(350);

// Silence by way of other VMs after which a VM that is to hold no connections opens one.
constexpr Duration othersSilence = std::chrono::milliseconds(700);

// Silence by way of one VM after which the next is asked, and time for which a lost one is not.
constexpr Duration peerSilence = std::chrono::milliseconds(300);
constexpr Duration peerRest = std::chrono::milliseconds(2500);

// Connections of a VM that is to hold none, for when no other VM can be asked.
constexpr std::uint32_t emergencyConnections = 1;

// Longest time that a primary which is leaving gets new statements while no successor leads.
constexpr Duration drainingUse = std::chrono::milliseconds(5500);

// Costs of a read at a database, relative to its service time: the primary's slots are needed for
// writes, another data centre is further away, and one that fails is to be avoided.
constexpr double primaryFactor = 1.6;
constexpr double remoteCost = 2000;
constexpr double failingFactor = 20;
constexpr double unresponsiveFactor = 200;
constexpr std::uint32_t failingFrom = 3;

} // namespace

Upstreams::Upstreams(ProxyContext context)
    : m_context(std::move(context))
    , m_directory({.onEntry = [this](const UpstreamEntry &entry,
                                     bool isNewLife) { entryChanged(entry, isNewLife); },
                   .onGone =
                           [this](const UpstreamEntry &entry) {
                               entryGone(entry);
                           }})
{}

const Upstreams::Access *Upstreams::access(const DatabaseId &database) const
{
    const auto found = m_accesses.find(database);
    return found == m_accesses.end() ? nullptr : found->second.get();
}

std::shared_ptr<LinkPool> Upstreams::pool(const DatabaseId &database) const
{
    const Access *known = access(database);
    if (!known)
        return nullptr;
    if (!known->hasOtherOwners)
        return known->own;
    const bool ownWorks = silence(*known->own) < ownSilence;
    const bool othersWork = silence(*known->byOthers) < othersSilence;
    if (known->isOwner ? ownWorks || !othersWork : ownWorks && !othersWork)
        return known->own;
    return known->byOthers;
}

Duration Upstreams::silence(const LinkPool &pool) const
{
    const auto &silentSince = pool.observation().silentSince;
    return silentSince ? m_context.timers.now() - *silentSince : Duration(0);
}

std::shared_ptr<DatabasePool> Upstreams::ownPool(const DatabaseId &database) const
{
    const Access *known = access(database);
    return known ? known->own : nullptr;
}

std::optional<DatabaseObservation> Upstreams::ownObservation(const DatabaseId &database) const
{
    const Access *known = access(database);
    if (!known || !known->isOwner)
        return std::nullopt;
    return known->own->observation();
}

std::size_t Upstreams::ownerRank(const DatabaseId &database) const
{
    const Access *known = access(database);
    return known ? known->rank : 0;
}

std::size_t Upstreams::ownerCount(const DatabaseId &database) const
{
    const Access *known = access(database);
    return known ? known->owners : 1;
}

void Upstreams::entryChanged(const UpstreamEntry &entry, bool isNewLife)
{
    const DatabaseId &database = entry.target.database;
    std::unique_ptr<Access> &known = m_accesses[database];
    if (!known || isNewLife) {
        if (known)
            known->own->close();
        known = std::make_unique<Access>();
        known->own =
                DatabasePool::make(m_context.timers, m_context.connect, {.target = entry.target});
        known->byOthers = RelayPool::make(
                {.timers = m_context.timers, .database = database, .peer = [this, database] {
                     return peerFor(database);
                 }});
        shareOut(database, *known);
        m_context.log.info("database-found", {{"database", database},
                                              {"group", entry.target.group},
                                              {"endpoint", entry.target.endpoint},
                                              {"draining", entry.isDraining}});
    }
    if (entry.role == Role::Primary)
        m_leadership.announcedPrimary(entry.target.group, database);
    if (!entry.isDraining)
        known->own->warmUp();
    else if (!known->drainingSince)
        known->drainingSince = m_context.timers.now();
}

void Upstreams::entryGone(const UpstreamEntry &entry)
{
    m_context.log.info("database-gone",
                       {{"database", entry.target.database}, {"group", entry.target.group}});
    const auto found = m_accesses.find(entry.target.database);
    if (found == m_accesses.end())
        return;
    found->second->own->close();
    m_accesses.erase(found);
}

ConnectionShares Upstreams::sharesOf(const UpstreamTarget &target) const
{
    const GroupId &group = target.group;
    const UpstreamEntry *entry = m_directory.find(target.database);
    const auto limits = m_limits.find(group);
    const std::uint32_t granted =
            limits == m_limits.end() ? GroupLimits().connections : limits->second.connections;
    return fescuespring::shareOut({.connections = granted,
                                   .slots = entry ? entry->slots : 1,
                                   .vms = m_ownerPlan.size(),
                                   .databases = m_accesses.size()});
}

void Upstreams::shareOut(const DatabaseId &database, Access &access)
{
    const ConnectionShares shares = sharesOf(access.own->target());
    access.owners = shares.owners;
    access.otherOwners.reset();
    access.rank = shares.owners;
    access.isOwner = false;
    access.hasOtherOwners = false;
    if (m_areVmsKnown) {
        access.rank = m_ownerPlan.rank(database, shares.owners, m_context.vm);
        access.isOwner = !m_context.connectPeer || access.rank < shares.owners;
        access.hasOtherOwners =
                m_context.connectPeer
                && std::min(shares.owners, m_ownerPlan.size()) > (access.isOwner ? 1U : 0U);
    }
    if (access.isOwner)
        access.own->setLimits(shares.kept, shares.maximum, shares.fewestStatements);
    else
        access.own->setLimits(0, emergencyConnections, 1);
}

void Upstreams::shareConnections(const RouteConfiguration &configuration, std::vector<VmRecord> vms,
                                 bool areAllKnown)
{
    m_limits = configuration.groups;
    m_ownerPlan = OwnerPlan(std::move(vms));
    m_areVmsKnown = areAllKnown;
    for (const auto &[database, known] : m_accesses) {
        shareOut(database, *known);
        if (known->isOwner && !known->drainingSince)
            known->own->warmUp();
    }
}

std::shared_ptr<RelayPeer> Upstreams::peer(const VmRecord &record)
{
    std::shared_ptr<RelayPeer> &known = m_peers[record.vm];
    if (known)
        return known;
    const VmId vm = record.vm;
    known = m_context.connectPeer(record.relay, [this, vm](const Error &error) {
        m_context.log.info("relay-lost", {{"vm", vm}, {"error", error.message}});
        m_peerLostAt[vm] = m_context.timers.now();
        // The peer is the caller.
        const auto node = std::make_shared<decltype(m_peers)::node_type>(m_peers.extract(vm));
        m_context.timers.after(Duration(0), [node] {});
    });
    return known;
}

const std::vector<VmRecord> &Upstreams::otherOwners(const DatabaseId &database, Access &access)
{
    if (!access.otherOwners) {
        access.otherOwners =
                m_ownerPlan.owners(database, access.owners, m_context.vm, m_context.dataCentre);
        std::erase_if(*access.otherOwners,
                      [this](const VmRecord &record) { return record.vm == m_context.vm; });
    }
    return *access.otherOwners;
}

std::shared_ptr<RelayPeer> Upstreams::peerFor(const DatabaseId &database)
{
    const auto found = m_accesses.find(database);
    Access *known = found == m_accesses.end() ? nullptr : found->second.get();
    if (!known || !known->hasOtherOwners)
        return nullptr;
    const std::vector<VmRecord> &owners = otherOwners(database, *known);
    const Instant now = m_context.timers.now();
    const auto &silentSince = known->byOthers->observation().silentSince;
    const auto skipped = silentSince ? static_cast<std::size_t>((now - *silentSince) / peerSilence)
                                     : std::size_t{0};
    const std::size_t count = owners.size();
    // A VM that is not connected yet may be gone; the next one serves until it is.
    std::shared_ptr<RelayPeer> connecting;
    for (std::size_t i = 0; i < count; ++i) {
        const VmRecord &record = owners[(skipped + i) % count];
        const auto lostAt = m_peerLostAt.find(record.vm);
        const bool wasLost = lostAt != m_peerLostAt.end();
        if (wasLost && now - lostAt->second <= peerRest)
            continue;
        std::shared_ptr<RelayPeer> candidate = peer(record);
        if (candidate->isConnected()) {
            if (wasLost)
                m_peerLostAt.erase(lostAt);
            return candidate;
        }
        if (!connecting && !wasLost)
            connecting = candidate;
    }
    return connecting;
}

std::optional<DatabaseId> Upstreams::usablePrimary(const GroupId &group) const
{
    const auto believed = m_leadership.primary(group);
    if (!believed)
        return std::nullopt;
    // Until the change takes effect the old primary serves, if it can, under evidence of the
    // others.
    if (believed->isMoving && !isResponsive(believed->database))
        return std::nullopt;
    const UpstreamEntry *entry = m_directory.find(believed->database);
    if (!entry)
        return std::nullopt;
    const Access *known = access(believed->database);
    const bool hasLeft = known && known->drainingSince
                         && m_context.timers.now() - *known->drainingSince > drainingUse;
    if (hasLeft)
        return std::nullopt;
    return believed->database;
}

bool Upstreams::isResponsive(const DatabaseId &database) const
{
    const auto known = pool(database);
    if (!known)
        return false;
    const auto &silentSince = known->observation().silentSince;
    return !silentSince || m_context.timers.now() - *silentSince < unresponsiveAfter;
}

bool Upstreams::isCutOff(const GroupId &group) const
{
    const auto believed = m_leadership.primary(group);
    const auto known = believed ? pool(believed->database) : nullptr;
    if (!known || believed->isMoving || m_isLostForMost(believed->database))
        return false;
    const auto &silentSince = known->observation().silentSince;
    return silentSince && m_context.timers.now() - *silentSince > cutOffAfter;
}

bool Upstreams::isIsolatedFromMost() const
{
    std::size_t cutOff = 0;
    for (const auto &[database, known] : m_accesses) {
        const bool mayBeSilent =
                known->own->observation().silentSince || known->byOthers->observation().silentSince;
        if (!mayBeSilent)
            continue;
        const UpstreamEntry *entry = m_directory.find(database);
        const auto believed = entry ? m_leadership.primary(entry->target.group) : std::nullopt;
        if (believed && believed->database == database && isCutOff(entry->target.group))
            ++cutOff;
    }
    return cutOff * 2 > m_directory.groupCount();
}

void Upstreams::forEachOwned(const std::function<void(const UpstreamEntry &)> &visit) const
{
    for (const auto &[database, known] : m_accesses) {
        const UpstreamEntry *entry = known->isOwner ? m_directory.find(database) : nullptr;
        if (entry)
            visit(*entry);
    }
}

bool Upstreams::canShowLeading(const GroupId &group) const
{
    const Instant now = m_context.timers.now();
    const auto believed = m_leadership.primary(group);
    if (believed && m_leadership.isLeading(group, believed->database, now))
        return true;
    const auto failedAt = m_evidenceFailedAt.find(group);
    return failedAt == m_evidenceFailedAt.end() || now - failedAt->second > evidenceFailureCounts;
}

double Upstreams::readCost(const UpstreamEntry &entry) const
{
    const auto known = pool(entry.target.database);
    const DatabaseObservation &seen = known->observation();
    const auto inFlight = static_cast<double>(known->load());
    double cost = static_cast<double>(seen.serviceTime.count()) * (1 + inFlight);
    if (entry.dataCentre != m_context.dataCentre)
        cost += remoteCost;
    const auto believed = m_leadership.primary(entry.target.group);
    if (believed && believed->database == entry.target.database)
        cost *= primaryFactor;
    if (seen.failuresInARow >= failingFrom)
        cost *= failingFactor;
    if (!isResponsive(entry.target.database))
        cost *= unresponsiveFactor;
    return cost;
}

std::optional<DatabaseId> Upstreams::chooseReader(const GroupId &group,
                                                  const std::set<DatabaseId> &excluded) const
{
    std::optional<DatabaseId> chosen;
    double lowest = 0;
    for (const UpstreamEntry *entry : m_directory.group(group)) {
        const DatabaseId &database = entry->target.database;
        if (entry->isDraining || excluded.contains(database) || !m_accesses.contains(database))
            continue;
        const double cost = readCost(*entry);
        if (chosen && cost >= lowest)
            continue;
        chosen = database;
        lowest = cost;
    }
    return chosen;
}

void Upstreams::setMajorityLossCheck(std::function<bool(const DatabaseId &)> isLostForMost)
{
    m_isLostForMost = std::move(isLostForMost);
}

void Upstreams::close()
{
    for (const auto &[database, known] : m_accesses)
        known->own->close();
}

} // namespace fescuespring
