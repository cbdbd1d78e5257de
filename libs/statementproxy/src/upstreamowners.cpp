#include "statementproxy/upstreams.h"

#include "upstreamaccess.h"

#include <cmath>
#include <utility>

// Which VM's connections are used: this VM's own, or those of one of the other owners.

namespace fescuespring {

namespace {

// Time without a reply on own connections after which the connections of another VM are used.
constexpr Duration ownConnectionTimeout = std::chrono::milliseconds(350);

// Time without a reply through other VMs after which a VM that owns no connections opens one.
constexpr Duration relayTimeout = std::chrono::milliseconds(700);

// Time without a reply through one VM after which the next is used, and time for which a VM whose
// relay connection was lost is not tried again.
constexpr Duration relayPeerTimeout = std::chrono::milliseconds(300);
constexpr Duration lostPeerBackoff = std::chrono::milliseconds(2500);

// Probes of a lender that does not respond.
constexpr Duration lenderProbeInterval = std::chrono::milliseconds(250);
constexpr Duration lenderProbeTimeout = std::chrono::milliseconds(350);

} // namespace

std::shared_ptr<LinkPool> Upstreams::pool(const DatabaseId &database) const
{
    const DatabasePools *pools = findPools(database);
    if (!pools)
        return nullptr;
    if (!pools->hasOtherOwners)
        return pools->own;
    const bool ownWorks = unresponsiveTime(*pools->own) < ownConnectionTimeout;
    const bool relayWorks = unresponsiveTime(*pools->relayed) < relayTimeout;
    if (pools->isOwner ? ownWorks || !relayWorks : ownWorks && !relayWorks)
        return pools->own;
    return pools->relayed;
}

std::shared_ptr<RelayPeer> Upstreams::peer(const VmRecord &record)
{
    std::shared_ptr<RelayPeer> &cached = m_peers[record.vm];
    if (cached)
        return cached;
    const VmId vm = record.vm;
    cached = m_context.connectPeer(record.relay, [this, vm](const Error &error) {
        m_context.log.info("relay-lost", {{"vm", vm}, {"error", error.message}});
        m_peerLostAt[vm] = m_context.timers.now();
        // Destroyed later, because the peer itself calls this function.
        const auto node = std::make_shared<decltype(m_peers)::node_type>(m_peers.extract(vm));
        m_context.timers.after(Duration(0), [node] {});
    });
    return cached;
}

const std::vector<VmRecord> &Upstreams::otherOwners(const DatabaseId &database,
                                                    DatabasePools &pools)
{
    if (!pools.otherOwners) {
        pools.otherOwners = m_ownerPlan.owners(placed(database), pools.owners, m_context.vm,
                                               m_context.dataCentre);
        std::erase_if(*pools.otherOwners,
                      [this](const VmRecord &record) { return record.vm == m_context.vm; });
    }
    return *pools.otherOwners;
}

std::shared_ptr<RelayPeer> Upstreams::peerFor(const VmRecord &record)
{
    if (!m_context.connectPeer)
        return nullptr;
    const auto lostAt = m_peerLostAt.find(record.vm);
    if (lostAt != m_peerLostAt.end() && m_context.timers.now() - lostAt->second <= lostPeerBackoff)
        return nullptr;
    return peer(record);
}

std::shared_ptr<RelayPeer> Upstreams::peerFor(const DatabaseId &database)
{
    const auto found = m_pools.find(database);
    DatabasePools *pools = found == m_pools.end() ? nullptr : found->second.get();
    if (!pools || !pools->hasOtherOwners)
        return nullptr;
    const std::vector<VmRecord> &owners = otherOwners(database, *pools);
    const Instant now = m_context.timers.now();
    const auto &unresponsiveSince = pools->relayed->observation().unresponsiveSince;
    const auto skipped =
            unresponsiveSince
                    ? static_cast<std::size_t>((now - *unresponsiveSince) / relayPeerTimeout)
                    : std::size_t{0};
    const std::size_t count = owners.size();
    // A VM that is not connected yet may have left; prefer the next connected one.
    std::shared_ptr<RelayPeer> connecting;
    for (std::size_t i = 0; i < count; ++i) {
        const VmRecord &record = owners[(skipped + i) % count];
        const auto lostAt = m_peerLostAt.find(record.vm);
        const bool wasLost = lostAt != m_peerLostAt.end();
        if (wasLost && now - lostAt->second <= lostPeerBackoff)
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

void Upstreams::setCustomers(const std::vector<Customer> &customers)
{
    m_areCustomersNamed = !customers.empty();
    std::map<CustomerId, double> operations;
    for (const Customer &customer : customers) {
        const double perSecond = customer.allowance.operationsPerSecond;
        if (std::isfinite(perSecond) && perSecond > 0)
            operations[customer.id] = perSecond;
    }
    m_customerShares = std::make_shared<const CustomerShares>(operations);
}

void Upstreams::serveCustomers(DatabasePool &pool) const
{
    pool.serveCustomers(m_areCustomersNamed,
                        [shares = m_customerShares](const CustomerId &customer) {
                            return shares->weight(customer);
                        });
}

std::vector<const VmRecord *> Upstreams::customerOrder(const DatabaseId &database,
                                                       DatabasePools &pools,
                                                       const CustomerId &customer)
{
    if (!pools.customerOwners) {
        pools.customerOwners = std::make_unique<CustomerOwners>(
                database, m_ownerPlan.owners(placed(database), pools.owners, m_context.vm,
                                             m_context.dataCentre));
    }
    return pools.customerOwners->order(customer, m_customerShares->share(customer), m_context.vm);
}

bool Upstreams::isLenderUsable(const DatabasePools &pools, const VmRecord &record) const
{
    const Instant now = m_context.timers.now();
    const auto lostAt = m_peerLostAt.find(record.vm);
    if (lostAt != m_peerLostAt.end() && now - lostAt->second <= lostPeerBackoff)
        return false;
    const auto unresponsiveSince = pools.relayed->unresponsiveSince(record.vm);
    return !unresponsiveSince || now - *unresponsiveSince < relayPeerTimeout;
}

std::shared_ptr<LinkPool> Upstreams::pool(const DatabaseId &database, const CustomerId &customer)
{
    const auto found = m_pools.find(database);
    if (customer.isEmpty() || found == m_pools.end() || !found->second->hasOtherOwners)
        return pool(database);
    DatabasePools &pools = *found->second;
    for (const VmRecord *owner : customerOrder(database, pools, customer)) {
        if (owner->vm == m_context.vm) {
            if (unresponsiveTime(*pools.own) < ownConnectionTimeout)
                return pools.own;
        } else if (isLenderUsable(pools, *owner) && peer(*owner)->isConnected()) {
            return pools.relayed;
        }
    }
    return pool(database);
}

RelayPool::Lender Upstreams::lenderFor(const DatabaseId &database, const CustomerId &customer)
{
    const auto found = m_pools.find(database);
    if (found == m_pools.end() || !found->second->hasOtherOwners)
        return {};
    RelayPool::Lender connecting;
    for (const VmRecord *owner : customerOrder(database, *found->second, customer)) {
        if (owner->vm == m_context.vm || !isLenderUsable(*found->second, *owner))
            continue;
        RelayPool::Lender lender{.vm = owner->vm, .peer = peer(*owner)};
        if (lender.peer->isConnected()) {
            m_peerLostAt.erase(owner->vm);
            return lender;
        }
        if (!connecting.peer && !m_peerLostAt.contains(owner->vm))
            connecting = lender;
    }
    if (connecting.peer)
        return connecting;
    return {.peer = peerFor(database)};
}

// A lender that does not respond is not used for customers until it has answered a probe. Its last
// probe is kept as long.
void Upstreams::probeLenders(const DatabaseId &database, DatabasePools &pools)
{
    const Instant now = m_context.timers.now();
    std::erase_if(pools.lenderProbedAt, [&](const auto &probed) {
        const bool responds = !pools.relayed->unresponsiveSince(probed.first);
        if (responds)
            m_context.log.info("lender-responds", {{"vm", probed.first}, {"database", database}});
        return responds;
    });
    for (const VmId &vm : pools.relayed->unresponsiveLenders()) {
        if (now - *pools.relayed->unresponsiveSince(vm) < relayPeerTimeout)
            continue;
        if (!pools.lenderProbedAt.contains(vm))
            m_context.log.info("lender-unresponsive", {{"vm", vm}, {"database", database}});
        Instant &probedAt = pools.lenderProbedAt[vm];
        if (now < probedAt + lenderProbeInterval)
            continue;
        for (const VmRecord &owner : otherOwners(database, pools)) {
            const auto lostAt = m_peerLostAt.find(vm);
            if (owner.vm != vm
                || (lostAt != m_peerLostAt.end() && now - lostAt->second <= lostPeerBackoff))
                continue;
            probedAt = now;
            commandOn(
                    pools.relayed, {.kind = StatementKind::Status}, lenderProbeTimeout,
                    [](const std::optional<StatementReply> &) {},
                    pools.relayed->acquireThrough({.vm = vm, .peer = peer(owner)}));
        }
    }
}

} // namespace fescuespring
