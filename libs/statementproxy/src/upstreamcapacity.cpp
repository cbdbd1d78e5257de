#include "statementproxy/upstreams.h"

#include "upstreamaccess.h"

#include <cmath>
#include <string>
#include <utility>

// Learned capacity: expected loads, the choice of readers by them, metrics and log lines.

namespace fescuespring {

namespace {

// Time of the way to a database in another data centre and back.
constexpr Duration remoteHop = std::chrono::milliseconds(2);

constexpr Duration reportInterval = std::chrono::seconds(1);

// A change of the limit by this factor is logged even if its reason is the same.
constexpr double loggedFactor = 1.5;

std::uint64_t hundredths(double value)
{
    return static_cast<std::uint64_t>(std::llround(value * 100));
}

} // namespace

ConcurrencyLimitOptions Upstreams::limitOptions() const
{
    if (!m_context.isCapacityLearned)
        return {};
    return {.isLearned = true, .wasPaused = [pauses = m_pauses](Instant from, Instant to) {
                return pauses->wasPaused(from, to);
            }};
}

std::optional<ExpectedLoad> Upstreams::expected(const DatabaseId &database, const WorkKind &kind,
                                                const LinkRequest &request)
{
    const auto linkPool = m_context.isCapacityLearned ? pool(database, request.customer) : nullptr;
    return linkPool ? linkPool->expected(kind, request) : std::nullopt;
}

ReaderCandidate Upstreams::readerCandidate(const UpstreamEntry &entry, const ReadWork &work)
{
    const DatabaseId &database = entry.target.database;
    const DatabaseObservation &observation = pool(database)->observation();
    const ExpectedLoad load = expected(database, work.kind, work.request).value_or(ExpectedLoad());
    const bool isServiceKnown = load.service > Duration(0);
    return {.wait = load.wait,
            .service = isServiceKnown ? load.service : observation.serviceTime,
            .hop = entry.dataCentre == m_context.dataCentre ? Duration(0) : remoteHop,
            .isPrimary = isPrimary(database),
            .isResponsive = isResponsive(database),
            .failuresInARow = observation.failuresInARow,
            .sinceReturn = m_context.timers.now() - findPools(database)->returnedAt};
}

std::optional<DatabaseId> Upstreams::chooseByCapacity(const GroupId &group,
                                                      const std::set<DatabaseId> &excluded,
                                                      const ReadWork &work)
{
    std::vector<DatabaseId> databases;
    std::vector<ReaderCandidate> candidates;
    for (const UpstreamEntry *entry : m_directory.group(group)) {
        const DatabaseId &database = entry->target.database;
        if (entry->isDraining || excluded.contains(database) || !m_pools.contains(database))
            continue;
        databases.push_back(database);
        candidates.push_back(readerCandidate(*entry, work));
    }
    const double random = std::uniform_real_distribution<>(0, 1)(m_random);
    const auto chosen = fescuespring::chooseReader(candidates, work.useful, random);
    return chosen ? std::optional(databases[*chosen]) : std::nullopt;
}

void Upstreams::tickCapacity()
{
    const Instant now = m_context.timers.now();
    m_pauses->tick(now);
    recordReturns();
    if (now - m_capacityReportedAt >= reportInterval) {
        m_capacityReportedAt = now;
        for (const auto &[database, pools] : m_pools)
            reportCapacity(database, *pools);
    }
    m_capacityTimer = m_context.timers.after(PauseDetector::period, [this] { tickCapacity(); });
}

void Upstreams::recordReturns()
{
    for (const auto &[database, pools] : m_pools) {
        const bool wasResponsive = std::exchange(pools->isResponsive, isResponsive(database));
        if (!wasResponsive && pools->isResponsive)
            pools->returnedAt = m_context.timers.now();
    }
}

void Upstreams::reportCapacity(const DatabaseId &database, DatabasePools &pools)
{
    const LearnedLimit *limit = pools.isOwner ? pools.own->limit().learned() : nullptr;
    if (!limit)
        return;
    const auto set = [&](std::string_view name, std::uint64_t value) {
        m_context.counters.counter(name, "database", database.value()).set(value);
    };
    const Duration service = limit->serviceTime({});
    set("fescuespring_database_limit_hundredths", hundredths(limit->limit()));
    set("fescuespring_database_slowdown_hundredths", hundredths(limit->slowdown()));
    set("fescuespring_database_service_us", static_cast<std::uint64_t>(service.count()));
    set("fescuespring_database_in_flight", limit->active());
    set("fescuespring_database_limit_reason", static_cast<std::uint64_t>(limit->lastChange()));
    const bool isSameSize = limit->limit() < loggedFactor * pools.loggedLimit
                            && pools.loggedLimit < loggedFactor * limit->limit();
    if (limit->lastChange() == pools.loggedChange && isSameSize)
        return;
    pools.loggedChange = limit->lastChange();
    pools.loggedLimit = limit->limit();
    const char *reason = toString(limit->lastChange());
    m_context.counters.counter("fescuespring_capacity_changes_total", "reason", reason).add();
    m_context.log.info("capacity-changed", {{"database", database},
                                            {"reason", reason},
                                            {"limit-hundredths", hundredths(limit->limit())},
                                            {"slowdown-hundredths", hundredths(limit->slowdown())},
                                            {"service", service},
                                            {"in-flight", limit->active()}});
}

} // namespace fescuespring
