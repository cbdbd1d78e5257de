#include "leadership/succession.h"

#include "leadershipchange.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace fescuespring {

namespace {

// How long a due change may stay undone by the holder of the duty before another VM takes it over:
// before it is announced, and from the announcement or the last change of holder on, when a whole
// change fits in. Each place in the order of VMs adds a step.
constexpr Duration takeoverPatience = std::chrono::milliseconds(900);
constexpr Duration changePatience = std::chrono::milliseconds(4000);
constexpr Duration firstPatience = std::chrono::milliseconds(0);
constexpr Duration rankStep = std::chrono::milliseconds(120);
constexpr std::size_t maximumRankSteps = 8;

// Time after which a call of the former holder of the duty is not under way any more.
constexpr Duration formerCallTime = std::chrono::milliseconds(1100);

constexpr Duration demoteInterval = std::chrono::milliseconds(500);
constexpr Duration demoteTimeout = std::chrono::milliseconds(300);

} // namespace

const char *toString(PromotionOutcome end)
{
    static constexpr std::array names{"accepted", "refused", "not-done", "unknown"};
    return names[static_cast<std::size_t>(end)];
}

Succession::Succession(SuccessionOptions options, SuccessionPorts ports)
    : m_options(std::move(options))
    , m_ports(std::move(ports))
{}

Succession::~Succession()
{
    for (const auto &[group, change] : m_changes)
        change->abandon();
}

bool Succession::holdsDuty() const
{
    const auto &duty = m_options.view.promotionLock();
    return duty && duty->holder == m_options.self && duty->incarnation == m_options.incarnation
           && duty->version == m_dutyVersion && m_options.view.holdsLease(m_options.timers.now());
}

bool Succession::mayOrder() const
{
    return holdsDuty() && m_options.timers.now() >= m_mayOrderFrom;
}

void Succession::tick()
{
    if (!m_options.view.holdsLease(m_options.timers.now()))
        return;
    noteHolder();
    const std::vector<GroupId> groups = m_ports.groups();
    std::set<GroupId> due(groups.begin(), groups.end());
    for (const auto &[group, since] : m_neededSince)
        due.insert(group);
    for (const GroupId &group : due)
        consider(group);
}

Succession::Need Succession::need(const GroupId &group) const
{
    const auto believed = m_options.view.primary(group);
    if (!believed)
        return Need::None;
    if (believed->isChanging)
        return Need::Unfinished;
    const std::vector<SuccessionCandidate> candidates = m_ports.databases(group);
    for (const SuccessionCandidate &candidate : candidates) {
        if (candidate.database != believed->database)
            continue;
        if (candidate.isDraining)
            return candidates.size() > 1 ? Need::Planned : Need::None;
        return candidate.vmsNotReached * 2 > candidate.vms ? Need::Lost : Need::None;
    }
    return candidates.empty() ? Need::None : Need::Lost;
}

void Succession::consider(const GroupId &group)
{
    if (m_changes.contains(group))
        return;
    const Need needed = need(group);
    if (needed == Need::None) {
        m_neededSince.erase(group);
        demoteFormer(group);
        return;
    }
    const Instant since = m_neededSince.try_emplace(group, m_options.timers.now()).first->second;
    if (!holdsDuty()) {
        takeDuty(since, needed == Need::Unfinished);
        return;
    }
    const auto change =
            std::make_shared<detail::LeadershipChange>(*this, group, needed == Need::Planned);
    m_changes[group] = change;
    change->start();
}

Duration Succession::patience(bool isAnnounced) const
{
    const std::optional<DutyRecord> &holder = m_options.view.promotionLock();
    const bool isHeld = holder && !holder->holder.isEmpty();
    if (!isHeld || holder->holder == m_options.self)
        return firstPatience;
    return isAnnounced ? changePatience : takeoverPatience;
}

void Succession::noteHolder()
{
    const std::optional<DutyRecord> &holder = m_options.view.promotionLock();
    const ObjectVersion version = holder ? holder->version : ObjectVersion();
    if (version == m_seenDutyVersion)
        return;
    m_seenDutyVersion = version;
    m_holderSince = m_options.timers.now();
}

void Succession::takeDuty(Instant neededSince, bool isAnnounced)
{
    const Instant now = m_options.timers.now();
    const std::optional<DutyRecord> former = m_options.view.promotionLock();
    const bool isHeld = former && !former->holder.isEmpty();
    const bool isMine = isHeld && former->holder == m_options.self;
    const std::size_t steps = isMine ? 0 : std::min(m_ports.rank(), maximumRankSteps);
    const Instant since = isHeld ? std::max(neededSince, m_holderSince) : neededSince;
    const Duration wait = patience(isAnnounced) + rankStep * static_cast<int>(steps);
    if (m_isTaking || now < since + wait)
        return;
    m_isTaking = true;
    const DutyRecord duty{.holder = m_options.self, .incarnation = m_options.incarnation};
    const ObjectVersion before = former ? former->version : ObjectVersion();
    m_ports.write({promotionLockKey(), encodeDuty(duty), before}, [this, hadFormer = isHeld](
                                                                          const Result<WriteAnswer>
                                                                                  &answer) {
        m_isTaking = false;
        m_ports.refresh();
        if (!answer || !answer.value().written)
            return;
        m_dutyVersion = answer.value().version;
        m_mayOrderFrom = m_options.timers.now();
        if (hadFormer)
            m_mayOrderFrom += leadershipLease + leadershipMargin + formerCallTime;
        m_options.log.info("duty-taken", {{"token", m_dutyVersion}, {"had-former", hadFormer}});
    });
}

void Succession::release()
{
    if (!holdsDuty() || !m_changes.empty())
        return;
    const DutyRecord nobody{};
    m_ports.write({promotionLockKey(), encodeDuty(nobody), m_dutyVersion},
                  [this](const Result<WriteAnswer> &answer) {
                      const bool isReleased = answer && answer.value().written;
                      m_options.log.info("duty-released", {{"written", isReleased}});
                  });
}

void Succession::demoteFormer(const GroupId &group)
{
    const LeadershipRecord record = m_options.view.record(group);
    if (!holdsDuty() || record.version == ObjectVersion())
        return;
    const Instant now = m_options.timers.now();
    for (const SuccessionCandidate &candidate : m_ports.databases(group)) {
        if (!candidate.reportsPrimaryRole || candidate.database == record.primary)
            continue;
        Instant &demotedAt = m_demotedAt[candidate.database];
        if (now < demotedAt + demoteInterval)
            continue;
        demotedAt = now;
        m_ports.command(candidate.database, {.kind = StatementKind::Demote, .term = record.term},
                        demoteTimeout, [](const std::optional<StatementReply> &) {});
    }
}

void Succession::changeEnded(const GroupId &group)
{
    m_neededSince.erase(group);
    m_changes.erase(group);
}

} // namespace fescuespring
