#include "statementproxy/upstreams.h"

#include "statementproxy/allowanceservice.h"
#include "upstreamaccess.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fescuespring {

namespace {

// Time without a reply after which a database counts as unresponsive.
constexpr Duration unresponsiveAfter = std::chrono::milliseconds(250);

// Time after a failed confirmation during which statements that need one are not sent, as they
// could not be acknowledged.
constexpr Duration evidenceFailureTtl = std::chrono::milliseconds(500);

// Time without a reply from a primary after which this VM considers itself isolated from it, unless
// the primary is lost for most VMs.
constexpr Duration isolatedAfter = std::chrono::milliseconds(450);

// Connections that a VM that owns none may open while no other VM responds.
constexpr std::uint32_t fallbackConnections = 1;

// Maximum time for which a draining primary gets new statements while it has no successor.
constexpr Duration maximumDrainingUse = std::chrono::milliseconds(5500);

// Time without a usable primary after which a statement is not held for one: a change of primary
// that takes longer waits for a database.
constexpr Duration longestChange = std::chrono::seconds(3);

// Weights for the cost of a read, which is based on the service time: the primary's slots are
// needed for writes, another data centre adds latency, and failing databases are avoided.
constexpr double primaryFactor = 1.6;
constexpr double remoteCost = 2000;
constexpr double failingFactor = 20;
constexpr double unresponsiveFactor = 200;
constexpr std::uint32_t failingThreshold = 3;

} // namespace

Upstreams::Upstreams(ProxyContext context)
    : m_context(std::move(context))
    , m_directory(
              {.onEntry = [this](const UpstreamEntry &entry,
                                 bool isNewIncarnation) { entryChanged(entry, isNewIncarnation); },
               .onGone =
                       [this](const UpstreamEntry &entry) {
                           entryGone(entry);
                       }})
    , m_allowances(std::make_unique<AllowanceService>(*this, m_context.allowanceBound))
{
    if (m_context.isCapacityLearned)
        tickCapacity();
}

const Upstreams::DatabasePools *Upstreams::findPools(const DatabaseId &database) const
{
    const auto found = m_pools.find(database);
    return found == m_pools.end() ? nullptr : found->second.get();
}

Duration Upstreams::unresponsiveTime(const LinkPool &pool) const
{
    const auto &unresponsiveSince = pool.observation().unresponsiveSince;
    return unresponsiveSince ? m_context.timers.now() - *unresponsiveSince : Duration(0);
}

std::shared_ptr<DatabasePool> Upstreams::ownPool(const DatabaseId &database) const
{
    const DatabasePools *pools = findPools(database);
    return pools ? pools->own : nullptr;
}

std::optional<Upstreams::Observation> Upstreams::observation(const DatabaseId &database) const
{
    const DatabasePools *pools = findPools(database);
    if (!pools || !isObserver(*pools))
        return std::nullopt;
    const DatabaseObservation &own = pools->own->observation();
    Observation observation{.isOwner = pools->isOwner,
                            .rank = pools->rank,
                            .unresponsiveSince = own.unresponsiveSince,
                            .lastReplyAt = own.lastReplyAt};
    if (pools->isOwner)
        return observation;
    const DatabaseObservation &relayed = pools->relayed->observation();
    observation.lastReplyAt = std::max(own.lastReplyAt, relayed.lastReplyAt);
    observation.unresponsiveSince =
            own.unresponsiveSince && relayed.unresponsiveSince
                    ? std::max(own.unresponsiveSince, relayed.unresponsiveSince)
                    : std::nullopt;
    return observation;
}

bool Upstreams::isObserver(const DatabasePools &pools)
{
    return pools.isOwner || pools.rank < pools.observers;
}

bool Upstreams::isPrimary(const DatabaseId &database) const
{
    const UpstreamEntry *entry = m_directory.find(database);
    const auto primary = entry ? m_leadership.primary(entry->target.group) : std::nullopt;
    return primary && primary->database == database;
}

std::size_t Upstreams::observerCount(const DatabaseId &database) const
{
    const DatabasePools *pools = findPools(database);
    return pools ? pools->observers : 1;
}

void Upstreams::entryChanged(const UpstreamEntry &entry, bool isNewIncarnation)
{
    const DatabaseId &database = entry.target.database;
    std::unique_ptr<DatabasePools> &pools = m_pools[database];
    if (!pools || isNewIncarnation) {
        if (pools)
            pools->own->close();
        pools = std::make_unique<DatabasePools>();
        pools->own = DatabasePool::make(
                m_context.timers, m_context.connect,
                {.target = entry.target, .counters = &m_context.counters, .limit = limitOptions()});
        serveCustomers(*pools->own);
        pools->returnedAt = m_context.timers.now();
        pools->relayed = RelayPool::make({.timers = m_context.timers,
                                          .database = database,
                                          .peer = [this, database] { return peerFor(database); },
                                          .lenderFor =
                                                  [this, database](const CustomerId &customer) {
                                                      return lenderFor(database, customer);
                                                  }});
        updateShares(database, *pools);
        m_context.log.info("database-found", {{"database", database},
                                              {"group", entry.target.group},
                                              {"endpoint", entry.target.endpoint},
                                              {"draining", entry.isDraining}});
    }
    if (entry.role == Role::Primary)
        m_leadership.setReportedPrimary(entry.target.group, database);
    if (!entry.isDraining)
        pools->own->warmUp();
    else if (!pools->drainingSince)
        pools->drainingSince = drainingSince(isNewIncarnation);
}

// A database that is first seen while it is leaving may have announced that long ago: it is used
// for as long as a change of primary takes.
Instant Upstreams::drainingSince(bool isFirstSeen) const
{
    const Instant now = m_context.timers.now();
    return isFirstSeen ? now - (maximumDrainingUse - longestChange) : now;
}

void Upstreams::entryGone(const UpstreamEntry &entry)
{
    m_context.log.info("database-gone",
                       {{"database", entry.target.database}, {"group", entry.target.group}});
    const auto found = m_pools.find(entry.target.database);
    if (found == m_pools.end())
        return;
    found->second->own->close();
    m_pools.erase(found);
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
                                   .databases = m_pools.size()});
}

PlacedDatabase Upstreams::placed(const DatabaseId &database) const
{
    const UpstreamEntry *entry = m_directory.find(database);
    return {database, entry ? entry->dataCentre : DataCentreId()};
}

void Upstreams::updateShares(const DatabaseId &database, DatabasePools &pools)
{
    const ConnectionShares shares = sharesOf(pools.own->target());
    pools.owners = shares.owners;
    pools.otherOwners.reset();
    pools.customerOwners.reset();
    pools.observers = m_ownerPlan.observerCount(shares.owners);
    pools.rank = pools.observers;
    pools.isOwner = false;
    pools.hasOtherOwners = false;
    if (m_areVmsKnown) {
        pools.rank = m_ownerPlan.rank(placed(database), pools.observers, m_context.vm);
        pools.isOwner = !m_context.connectPeer || pools.rank < shares.owners;
        pools.hasOtherOwners =
                m_context.connectPeer
                && std::min(shares.owners, m_ownerPlan.size()) > (pools.isOwner ? 1U : 0U);
    }
    if (pools.isOwner)
        pools.own->setLimits(shares.kept, shares.maximum, shares.minimumStatements);
    else
        pools.own->setLimits(0, fallbackConnections, 1);
}

void Upstreams::shareConnections(const RouteConfiguration &configuration, std::vector<VmRecord> vms,
                                 bool areAllKnown)
{
    m_limits = configuration.groups;
    setCustomers(configuration.customers);
    m_allowances->setVms(vms);
    m_ownerPlan = OwnerPlan(std::move(vms));
    m_areVmsKnown = areAllKnown;
    for (const auto &[database, pools] : m_pools) {
        serveCustomers(*pools->own);
        updateShares(database, *pools);
        if (pools->isOwner && !pools->drainingSince)
            pools->own->warmUp();
    }
}

std::optional<DatabaseId> Upstreams::usablePrimary(const GroupId &group) const
{
    const auto primary = m_leadership.primary(group);
    if (!primary)
        return std::nullopt;
    // Until the change takes effect, the previous primary serves if it responds, confirmed by
    // evidence from the other databases.
    if (primary->isChanging && !isResponsive(primary->database))
        return std::nullopt;
    const UpstreamEntry *entry = m_directory.find(primary->database);
    if (!entry)
        return std::nullopt;
    const DatabasePools *pools = findPools(primary->database);
    const bool hasLeft = pools && pools->drainingSince
                         && m_context.timers.now() - *pools->drainingSince > maximumDrainingUse;
    if (hasLeft)
        return std::nullopt;
    return primary->database;
}

bool Upstreams::isWithoutPrimary(const GroupId &group)
{
    if (usablePrimary(group)) {
        m_withoutPrimarySince.erase(group);
        return false;
    }
    const Instant now = m_context.timers.now();
    const Instant since = m_withoutPrimarySince.try_emplace(group, now).first->second;
    return now - since > longestChange;
}

bool Upstreams::isResponsive(const DatabaseId &database) const
{
    const auto linkPool = pool(database);
    if (!linkPool)
        return false;
    const auto &unresponsiveSince = linkPool->observation().unresponsiveSince;
    return !unresponsiveSince || m_context.timers.now() - *unresponsiveSince < unresponsiveAfter;
}

bool Upstreams::isIsolated(const GroupId &group) const
{
    const auto primary = m_leadership.primary(group);
    const auto linkPool = primary ? pool(primary->database) : nullptr;
    const bool isReplaced = m_leadership.isChangeAnnounced(group);
    if (!linkPool || isReplaced || m_isLostToObservers(primary->database))
        return false;
    return unresponsiveTime(*linkPool) > isolatedAfter;
}

// In a data centre that is cut off together with a primary, the primary responds, but may have been
// replaced elsewhere.
bool Upstreams::isUnconfirmed(const GroupId &group) const
{
    const Instant now = m_context.timers.now();
    const auto failingSince = m_evidenceFailingSince.find(group);
    const auto primary = m_leadership.primary(group);
    return failingSince != m_evidenceFailingSince.end() && primary
           && !m_leadership.isChangeAnnounced(group) && now - failingSince->second > isolatedAfter
           && !m_leadership.isLeading(group, primary->database, now);
}

bool Upstreams::isIsolatedFromMost() const
{
    std::size_t isolated = 0;
    for (const auto &[database, pools] : m_pools) {
        const bool isUnresponsive = pools->own->observation().unresponsiveSince
                                    || pools->relayed->observation().unresponsiveSince;
        if (!isUnresponsive && m_evidenceFailingSince.empty())
            continue;
        if (!isPrimary(database))
            continue;
        const GroupId &group = m_directory.find(database)->target.group;
        if (isIsolated(group) || isUnconfirmed(group))
            ++isolated;
    }
    return isolated * 2 > m_directory.groupCount();
}

void Upstreams::forEachObserved(const std::function<void(const UpstreamEntry &)> &visit) const
{
    for (const auto &[database, pools] : m_pools) {
        const UpstreamEntry *entry = isObserver(*pools) ? m_directory.find(database) : nullptr;
        if (entry)
            visit(*entry);
    }
}

bool Upstreams::canConfirmLeadership(const GroupId &group) const
{
    return !hasFailedRecently(m_leadershipFailedAt, group);
}

bool Upstreams::canConfirmCommits(const GroupId &group) const
{
    return !hasFailedRecently(m_evidenceFailedAt, group);
}

bool Upstreams::hasFailedRecently(const std::map<GroupId, Instant> &failedAt,
                                  const GroupId &group) const
{
    const Instant now = m_context.timers.now();
    const auto primary = m_leadership.primary(group);
    if (primary && m_leadership.isLeading(group, primary->database, now))
        return false;
    const auto failed = failedAt.find(group);
    return failed != failedAt.end() && now - failed->second <= evidenceFailureTtl;
}

double Upstreams::readCost(const UpstreamEntry &entry) const
{
    const auto linkPool = pool(entry.target.database);
    const DatabaseObservation &observation = linkPool->observation();
    const auto inFlight = static_cast<double>(linkPool->load());
    double cost = static_cast<double>(observation.serviceTime.count()) * (1 + inFlight);
    if (entry.dataCentre != m_context.dataCentre)
        cost += remoteCost;
    const auto primary = m_leadership.primary(entry.target.group);
    if (primary && primary->database == entry.target.database)
        cost *= primaryFactor;
    if (observation.failuresInARow >= failingThreshold)
        cost *= failingFactor;
    if (!isResponsive(entry.target.database))
        cost *= unresponsiveFactor;
    return cost;
}

std::optional<DatabaseId> Upstreams::chooseReader(const GroupId &group,
                                                  const std::set<DatabaseId> &excluded,
                                                  const ReadWork &work)
{
    if (m_context.isCapacityLearned)
        return chooseByCapacity(group, excluded, work);
    std::optional<DatabaseId> chosen;
    double lowest = 0;
    for (const UpstreamEntry *entry : m_directory.group(group)) {
        const DatabaseId &database = entry->target.database;
        if (entry->isDraining || excluded.contains(database) || !m_pools.contains(database))
            continue;
        const double cost = readCost(*entry);
        if (chosen && cost >= lowest)
            continue;
        chosen = database;
        lowest = cost;
    }
    return chosen;
}

void Upstreams::setLossCheck(std::function<bool(const DatabaseId &)> isLostToObservers)
{
    m_isLostToObservers = std::move(isLostToObservers);
}

void Upstreams::close()
{
    for (const auto &[database, pools] : m_pools)
        pools->own->close();
}

} // namespace fescuespring
