#include "statementproxy/upstreams.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fescuespring {

namespace {

constexpr Duration statusTimeout = std::chrono::milliseconds(350);

// Silence after which a read goes elsewhere if it can.
constexpr Duration unresponsiveAfter = std::chrono::milliseconds(250);

// Silence of a primary after which this VM takes itself for cut off from it, unless most VMs hear
// nothing from it either.
constexpr Duration cutOffAfter = std::chrono::milliseconds(450);

// Share of a database's connections that the VMs keep open together; the rest is for rises of
// demand, for questions, and for VMs that are not counted yet.
constexpr double keptShare = 0.45;

constexpr std::uint32_t extraConnections = 4;

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
                   .onGone = [this](const UpstreamEntry &entry) { entryGone(entry); }})
{}

Upstreams::~Upstreams() = default;

std::shared_ptr<DatabasePool> Upstreams::pool(const DatabaseId &database) const
{
    const auto found = m_pools.find(database);
    return found == m_pools.end() ? nullptr : found->second;
}

void Upstreams::entryChanged(const UpstreamEntry &entry, bool isNewLife)
{
    std::shared_ptr<DatabasePool> &pool = m_pools[entry.target.database];
    if (!pool || isNewLife) {
        if (pool)
            pool->close();
        m_drainingSince.erase(entry.target.database);
        pool = DatabasePool::make(m_context.timers, m_context.connect, {.target = entry.target});
        applyLimits(*pool, entry.target.group);
        m_context.log.info("database-found", {{"database", entry.target.database},
                                              {"group", entry.target.group},
                                              {"endpoint", entry.target.endpoint},
                                              {"draining", entry.isDraining}});
    }
    if (entry.role == Role::Primary)
        m_leadership.announcedPrimary(entry.target.group, entry.target.database);
    if (entry.isDraining)
        m_drainingSince.try_emplace(entry.target.database, m_context.timers.now());
    else
        pool->warmUp();
}

void Upstreams::entryGone(const UpstreamEntry &entry)
{
    m_context.log.info("database-gone", {{"database", entry.target.database},
                                         {"group", entry.target.group}});
    const auto found = m_pools.find(entry.target.database);
    if (found == m_pools.end())
        return;
    found->second->close();
    m_pools.erase(found);
    m_drainingSince.erase(entry.target.database);
}

void Upstreams::applyLimits(DatabasePool &pool, const GroupId &group)
{
    const auto limits = m_limits.find(group);
    const std::uint32_t granted
            = limits == m_limits.end() ? GroupLimits().connections : limits->second.connections;
    const double share = granted * keptShare / static_cast<double>(m_vmCount);
    const auto kept = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(std::round(share)));
    pool.setLimits(kept, kept + extraConnections);
}

void Upstreams::shareConnections(const RouteConfiguration &configuration, std::size_t vmCount)
{
    m_limits = configuration.groups;
    m_vmCount = std::max<std::size_t>(1, vmCount);
    for (const auto &[database, pool] : m_pools)
        applyLimits(*pool, pool->target().group);
}

std::optional<DatabaseId> Upstreams::usablePrimary(const GroupId &group) const
{
    const auto believed = m_leadership.primary(group);
    if (!believed)
        return std::nullopt;
    // Until the change takes effect the old primary serves, if it can, under evidence of the others.
    if (believed->isMoving && !isResponsive(believed->database))
        return std::nullopt;
    const UpstreamEntry *entry = m_directory.find(believed->database);
    if (!entry)
        return std::nullopt;
    const auto draining = m_drainingSince.find(believed->database);
    const bool hasLeft = draining != m_drainingSince.end()
                         && m_context.timers.now() - draining->second > drainingUse;
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

double Upstreams::readCost(const UpstreamEntry &entry) const
{
    const auto known = pool(entry.target.database);
    const DatabaseObservation &seen = known->observation();
    const auto inFlight = static_cast<double>(known->inUse() + known->waiting());
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
    for (const UpstreamEntry &entry : m_directory.group(group)) {
        const DatabaseId &database = entry.target.database;
        if (entry.isDraining || excluded.contains(database) || !m_pools.contains(database))
            continue;
        const double cost = readCost(entry);
        if (chosen && cost >= lowest)
            continue;
        chosen = database;
        lowest = cost;
    }
    return chosen;
}

void Upstreams::command(const DatabaseId &database, const Statement &statement, Duration timeout,
                        CommandDone done)
{
    const auto known = pool(database);
    if (!known) {
        m_context.timers.after(Duration(0), [done] { done(std::nullopt); });
        return;
    }
    struct Call
    {
        LinkLease lease;
        DatabasePool::TicketId ticket = 0;
        Timers::Id timer = 0;
        CommandDone done;
    };
    const auto call = std::make_shared<Call>();
    call->done = std::move(done);
    Timers &timers = m_context.timers;
    const auto finish = [&timers](const std::shared_ptr<Call> &ending,
                                  const std::optional<StatementReply> &reply) {
        timers.cancel(std::exchange(ending->timer, 0));
        ending->lease.release();
        if (const CommandDone callback = std::exchange(ending->done, nullptr))
            callback(reply);
    };
    call->timer = timers.after(timeout, [call, known, finish] {
        call->timer = 0;
        known->cancel(call->ticket);
        finish(call, std::nullopt);
    });
    const auto run = [call, statement, finish](LinkLease lease) {
        call->lease = std::move(lease);
        call->lease->run({.command = {.statement = statement}}, [call, finish](
                                                                        const LinkOutcome &end) {
            if (end.end == LinkEnd::Answered)
                finish(call, end.reply);
            else
                finish(call, std::nullopt);
        });
    };
    if (LinkLease lease = known->tryAcquire(nullptr))
        run(std::move(lease));
    else
        call->ticket = known->wait(nullptr, 0, run);
}

void Upstreams::askStatus(const DatabaseId &database, TermEvidence::StatusDone done)
{
    m_context.counters.counter("fescuespring_status_questions_total").add();
    command(database, {.kind = StatementKind::Status}, statusTimeout,
            [done = std::move(done)](const std::optional<StatementReply> &reply) {
                done(reply && reply->isSuccess() ? reply->status : std::nullopt);
            });
}

TermEvidence &Upstreams::evidence(const GroupId &group)
{
    std::unique_ptr<TermEvidence> &known = m_evidence[group];
    if (known)
        return *known;
    known = std::make_unique<TermEvidence>(TermEvidence::Options{
            .timers = m_context.timers,
            .databases =
                    [this, group] {
                        std::vector<DatabaseId> databases;
                        for (const UpstreamEntry &entry : m_directory.group(group))
                            databases.push_back(entry.target.database);
                        return databases;
                    },
            .askStatus = [this](const DatabaseId &database,
                                TermEvidence::StatusDone done) { askStatus(database, done); }});
    return *known;
}

void Upstreams::confirmCommit(const GroupId &group, const DatabaseId &database, Term term,
                              Confirmed confirmed)
{
    if (m_leadership.isLeading(group, database, m_context.timers.now())) {
        confirmed(true);
        return;
    }
    askOthers(group, database, term, std::move(confirmed));
}

void Upstreams::confirmLeading(const GroupId &group, const DatabaseId &database,
                               Confirmed confirmed)
{
    if (m_leadership.isLeading(group, database, m_context.timers.now())) {
        confirmed(true);
        return;
    }
    askOthers(group, database, Term(), std::move(confirmed));
}

void Upstreams::askOthers(const GroupId &group, const DatabaseId &database, Term term,
                          Confirmed confirmed)
{
    m_context.counters.counter("fescuespring_evidence_rounds_total").add();
    evidence(group).confirm(database, term,
                            [this, group, isCommit = term != Term(),
                             confirmed = std::move(confirmed)](
                                    const TermEvidence::Outcome &outcome) {
                                const bool leads = takeEvidence(group, outcome);
                                confirmed(isCommit ? outcome.isConfirmed : leads);
                            });
}

bool Upstreams::takeEvidence(const GroupId &group, const TermEvidence::Outcome &outcome)
{
    if (!outcome.isConfirmed || !outcome.primaryPosition)
        return false;
    // A term that is new here began after what this VM knows, perhaps after what is to be shown.
    const Term known = m_leadership.knownTerm(group);
    if (known != Term() && known != outcome.primaryTerm)
        return false;
    m_leadership.primaryShowed(group, *outcome.primaryPosition, outcome.askedAt);
    return true;
}

void Upstreams::noteAnswer(const GroupId &group, const DatabaseId &database,
                           const StatementReply &reply, Instant sentAt)
{
    if (!reply.position || !m_leadership.isLeading(group, database, m_context.timers.now()))
        return;
    m_leadership.primaryShowed(group, *reply.position, sentAt);
}

void Upstreams::refreshFloor(const GroupId &group, Refreshed refreshed)
{
    auto &waiting = m_refreshing[group];
    waiting.push_back(std::move(refreshed));
    if (waiting.size() > 1)
        return;
    const auto believed = m_leadership.primary(group);
    if (!believed) {
        m_context.timers.after(std::chrono::milliseconds(30), [this, group] {
            floorAnswered(group);
        });
        return;
    }
    const Instant askedAt = m_context.timers.now();
    if (m_leadership.isLeading(group, believed->database, askedAt)) {
        askStatus(believed->database, [this, group, database = believed->database,
                                       askedAt](const std::optional<UpstreamStatus> &status) {
            const bool leads = status && status->role == Role::Primary
                               && m_leadership.isLeading(group, database,
                                                         m_context.timers.now());
            if (leads)
                m_leadership.primaryShowed(group, status->received, askedAt);
            floorAnswered(group);
        });
        return;
    }
    askOthers(group, believed->database, Term(), [this, group](bool) { floorAnswered(group); });
}

void Upstreams::floorAnswered(const GroupId &group)
{
    const std::vector<Refreshed> waiting = std::exchange(m_refreshing[group], {});
    for (const Refreshed &refreshed : waiting)
        refreshed();
}

void Upstreams::refreshFloorAhead(const GroupId &group, Duration bound)
{
    const auto age = m_leadership.newestFloorAge(group, m_context.timers.now());
    const auto refreshing = m_refreshing.find(group);
    const bool isAsked = refreshing != m_refreshing.end() && !refreshing->second.empty();
    if (!isAsked && (!age || *age > bound / 2))
        refreshFloor(group, [] {});
}

void Upstreams::judgeLossBy(std::function<bool(const DatabaseId &)> isLostForMost)
{
    m_isLostForMost = std::move(isLostForMost);
}

void Upstreams::close()
{
    for (const auto &[database, pool] : m_pools)
        pool->close();
}

} // namespace fescuespring
