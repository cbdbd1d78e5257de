#include "leadership/succession.h"

#include "leadership/promotionbounds.h"
#include "leadershipchange.h"
#include "pausedreplicas.h"
#include "primaryconfirmation.h"
#include "store/objectversion.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace fescuespring {

namespace {

// Delay before this VM takes over the promotion lock, counted from when the change became due or,
// if the lock is held, from when this VM first observed its current version, whichever is later.

// Another VM holds the lock, and should have announced the change by then.
constexpr Duration shortTakeoverDelay = std::chrono::milliseconds(900);

// Another VM holds the lock, and may need the time of a whole change, or may have to wait.
constexpr Duration longTakeoverDelay = std::chrono::milliseconds(4000);

// No other VM holds the lock.
constexpr Duration unheldTakeoverDelay = std::chrono::milliseconds(0);

// Added for each rank of this VM among the live VMs, unless the lock is its own.
constexpr Duration rankStep = std::chrono::milliseconds(120);
constexpr std::size_t maximumRankSteps = 8;

// Time without need after which a holder releases the lock. Longer than any of its calls.
constexpr Duration idleLockTime = std::chrono::milliseconds(4000);

// Groups whose primaries are confirmed at once after a restore of the store.
constexpr std::size_t maximumConfirmations = 16;

constexpr Duration demoteInterval = std::chrono::milliseconds(500);
constexpr Duration demoteTimeout = std::chrono::milliseconds(300);

} // namespace

const char *toString(PromotionOutcome outcome)
{
    static constexpr std::array names{"accepted", "refused", "not-done", "unknown"};
    return names[static_cast<std::size_t>(outcome)];
}

Succession::Succession(SuccessionOptions options, SuccessionPorts ports)
    : m_options(std::move(options))
    , m_ports(std::move(ports))
    , m_paused(std::make_unique<detail::PausedReplicas>(m_options, m_ports))
{}

Succession::~Succession()
{
    for (const auto &[group, change] : m_changes)
        change->abandon();
    for (const auto &[group, confirmation] : m_confirmations)
        confirmation->abandon();
}

bool Succession::holdsPromotionLock() const
{
    const auto &lock = m_options.view.promotionLock();
    return lock && lock->holder == m_options.self && lock->incarnation == m_options.incarnation
           && lock->version == m_lockVersion && lock->epoch == m_options.view.epoch()
           && m_options.view.holdsLease(m_options.timers.now());
}

bool Succession::mayPromote() const
{
    return holdsPromotionLock() && m_options.timers.now() >= m_mayPromoteFrom;
}

void Succession::tick()
{
    if (!m_options.view.holdsLease(m_options.timers.now()))
        return;
    recordsRead();
    const std::vector<GroupId> groups = m_ports.groups();
    std::set<GroupId> due(groups.begin(), groups.end());
    for (const auto &[group, since] : m_neededSince)
        due.insert(group);
    for (const GroupId &group : due)
        evaluateGroup(group);
    releaseIfIdle();
}

void Succession::releaseIfIdle()
{
    const Instant now = m_options.timers.now();
    if (!m_changes.empty() || !m_confirmations.empty() || !m_neededSince.empty())
        m_lastNeededAt = now;
    if (now - m_lastNeededAt >= idleLockTime && !m_isReleasing)
        release();
}

Succession::ChangeReason Succession::changeReason(const GroupId &group) const
{
    const auto known = m_options.view.primary(group);
    const std::vector<SuccessionCandidate> candidates = m_ports.databases(group);
    if (!known && candidates.empty())
        return ChangeReason::None;
    if (!m_options.view.isConfirmed(group))
        return ChangeReason::Unconfirmed;
    if (m_options.view.isChangeAnnounced(group))
        return ChangeReason::AnnouncedEarlier;
    if (!known)
        return ChangeReason::Unconfirmed;
    for (const SuccessionCandidate &candidate : candidates) {
        if (candidate.database != known->database)
            continue;
        if (candidate.isDraining)
            return candidates.size() > 1 ? ChangeReason::Planned : ChangeReason::None;
        return candidate.isLost ? ChangeReason::Lost : ChangeReason::None;
    }
    return candidates.empty() ? ChangeReason::None : ChangeReason::Lost;
}

void Succession::evaluateGroup(const GroupId &group)
{
    if (m_changes.contains(group) || m_confirmations.contains(group))
        return;
    const ChangeReason reason = changeReason(group);
    if (reason == ChangeReason::None) {
        m_neededSince.erase(group);
        m_changeBeganAt.erase(group);
        demotePreviousPrimaries(group);
        resumePausedReplicas(group);
        return;
    }
    const Instant since = m_neededSince.try_emplace(group, m_options.timers.now()).first->second;
    if (!holdsPromotionLock()) {
        // While another VM confirms primaries, it need not have come to this group yet.
        const bool isUnconfirmed = reason == ChangeReason::Unconfirmed;
        acquireLock(isUnconfirmed ? std::max(since, m_recordChangedAt) : since,
                    mayTakeTime(reason, group));
        return;
    }
    if (m_ports.areDatabasesKnown && !m_ports.areDatabasesKnown())
        return;
    if (reason == ChangeReason::Unconfirmed)
        confirmPrimary(group);
    else
        startChange(group, reason == ChangeReason::Planned);
}

void Succession::startChange(const GroupId &group, bool isPlanned, Term seenTerm,
                             bool hasNoOtherPromoter)
{
    const auto change = std::make_shared<detail::LeadershipChange>(
            *this, group,
            detail::LeadershipChange::Options{.isPlanned = isPlanned,
                                              .seenTerm = seenTerm,
                                              .hasNoOtherPromoter = hasNoOtherPromoter});
    m_changes[group] = change;
    m_changeBeganAt.try_emplace(group, m_options.timers.now());
    change->start();
}

void Succession::confirmPrimary(const GroupId &group)
{
    if (m_confirmations.size() >= maximumConfirmations)
        return;
    const auto confirmation = std::make_shared<detail::PrimaryConfirmation>(*this, group);
    m_confirmations[group] = confirmation;
    confirmation->start();
}

void Succession::confirmationEnded(const GroupId &group)
{
    m_neededSince.erase(group);
    m_confirmations.erase(group);
}

// Whether the holder of the lock may have to wait, so that its change is not yet announced, or has
// not ended.
bool Succession::mayTakeTime(ChangeReason reason, const GroupId &group) const
{
    const bool awaitsSuccessor =
            reason == ChangeReason::Planned && m_ports.synchronousReplicas(group) > 0;
    return awaitsSuccessor || reason == ChangeReason::Unconfirmed
           || reason == ChangeReason::AnnouncedEarlier;
}

Duration Succession::takeoverDelay(bool mayTakeTime) const
{
    if (!isLockHeld() || m_options.view.promotionLock()->holder == m_options.self)
        return unheldTakeoverDelay;
    return mayTakeTime ? longTakeoverDelay : shortTakeoverDelay;
}

void Succession::recordsRead()
{
    const Instant now = m_options.timers.now();
    if (m_options.view.epoch() != m_observedEpoch) {
        m_observedEpoch = m_options.view.epoch();
        m_epochSince = now;
    }
    if (m_options.view.newestRecordVersion() != m_observedRecordVersion) {
        m_observedRecordVersion = m_options.view.newestRecordVersion();
        m_recordChangedAt = now;
    }
    const std::optional<PromotionLock> &lock = m_options.view.promotionLock();
    const ObjectVersion version = lock ? lock->version : ObjectVersion();
    if (version == m_observedLockVersion)
        return;
    m_observedLockVersion = version;
    m_holderSince = now;
}

bool Succession::isLockHeld() const
{
    const std::optional<PromotionLock> &lock = m_options.view.promotionLock();
    return lock && !lock->holder.isEmpty() && lock->epoch == m_options.view.epoch();
}

void Succession::acquireLock(Instant neededSince, bool mayTakeTime)
{
    const Instant now = m_options.timers.now();
    const std::optional<PromotionLock> previous = m_options.view.promotionLock();
    const StoreEpoch epoch = m_options.view.epoch();
    const bool isHeld = isLockHeld();
    const bool isMine = isHeld && previous->holder == m_options.self;
    const std::size_t steps = isMine ? 0 : std::min(m_ports.rank(), maximumRankSteps);
    const Instant since = isHeld ? std::max(neededSince, m_holderSince) : neededSince;
    const Duration wait = takeoverDelay(mayTakeTime) + rankStep * static_cast<int>(steps);
    if (m_isAcquiring || now < since + wait)
        return;
    m_isAcquiring = true;
    const PromotionLock lock{
            .holder = m_options.self, .incarnation = m_options.incarnation, .epoch = epoch};
    const ObjectVersion before = previous ? previous->version : ObjectVersion();
    // Without a lock of this epoch, a holder of an earlier one may still act.
    const bool isHistoryKnown =
            previous ? previous->epoch == epoch : m_options.view.isStoreOriginal();
    m_ports.write(
            {promotionLockKey(), encodePromotionLock(lock), before},
            [this, isHistoryKnown, epoch, hadPrevious = isHeld](const Result<WriteAnswer> &answer) {
                m_isAcquiring = false;
                m_ports.refresh();
                if (!answer || !answer.value().written || epochOf(answer.value().version) != epoch)
                    return;
                lockAcquired(answer.value().version, hadPrevious, isHistoryKnown);
            });
}

// An earlier holder read the lock as its own until now at the latest, or, if it is one of an
// earlier epoch, until this epoch began.
void Succession::lockAcquired(ObjectVersion version, bool hadPrevious, bool isHistoryKnown)
{
    const Instant now = m_options.timers.now();
    m_lockVersion = version;
    m_earlierLeasesEndAt = (hadPrevious ? now : m_epochSince) + leadershipLease + leadershipMargin;
    const bool mayOthersAct = hadPrevious || !isHistoryKnown;
    m_mayPromoteFrom = mayOthersAct ? std::max(now, m_earlierLeasesEndAt + promotionCallTime) : now;
    m_earlierPromotionsEndAt = mayOthersAct ? m_mayPromoteFrom + promotionTime : now;
    m_lastNeededAt = now;
    m_options.log.info(
            "duty-taken",
            {{"token", version}, {"had-previous", hadPrevious}, {"wait", m_mayPromoteFrom - now}});
}

void Succession::release()
{
    // The next holder of a released lock need not wait for the calls of another.
    const bool isPromoting = std::ranges::any_of(m_promotionRequestedAt, [this](const auto &item) {
        return isOwnPromotionPending(item.first);
    });
    if (!mayPromote() || !m_changes.empty() || !m_confirmations.empty() || isPromoting)
        return;
    m_isReleasing = true;
    const PromotionLock nobody{.epoch = m_options.view.epoch()};
    m_ports.write({promotionLockKey(), encodePromotionLock(nobody), m_lockVersion},
                  [this](const Result<WriteAnswer> &answer) {
                      m_isReleasing = false;
                      m_lastNeededAt = m_options.timers.now();
                      m_ports.refresh();
                      const bool isReleased = answer && answer.value().written;
                      m_options.log.info("duty-released", {{"written", isReleased}});
                  });
}

void Succession::demotePreviousPrimaries(const GroupId &group)
{
    const LeadershipRecord record = m_options.view.record(group);
    if (!holdsPromotionLock() || record.version == ObjectVersion())
        return;
    const Instant now = m_options.timers.now();
    for (const SuccessionCandidate &candidate : m_ports.databases(group)) {
        if (!candidate.reportsPrimaryRole || candidate.database == record.primary)
            continue;
        Instant &demotedAt = m_demotedAt[candidate.database];
        m_lastNeededAt = now;
        if (now < demotedAt + demoteInterval)
            continue;
        demotedAt = now;
        m_ports.command(candidate.database, {.kind = StatementKind::Demote, .term = record.term},
                        demoteTimeout, [](const std::optional<StatementReply> &) {});
    }
}

// A replica that a pending promotion of the group rests on must remain paused.
void Succession::resumePausedReplicas(const GroupId &group)
{
    const bool isPending = isOwnPromotionPending(group) || isEarlierPromotionPending();
    if (holdsPromotionLock() && !isPending && m_paused->resume(group))
        m_lastNeededAt = m_options.timers.now();
}

Instant Succession::changeBeganAt(const GroupId &group) const
{
    const auto began = m_changeBeganAt.find(group);
    return began == m_changeBeganAt.end() ? m_options.timers.now() : began->second;
}

// Whether a promotion that this VM requested, and has not seen take effect, may still do so.
bool Succession::isOwnPromotionPending(const GroupId &group) const
{
    const auto requested = m_promotionRequestedAt.find(group);
    return requested != m_promotionRequestedAt.end()
           && m_options.timers.now() < requested->second + promotionCallTime + promotionTime;
}

bool Succession::isEarlierPromotionPending() const
{
    return m_options.timers.now() < m_earlierPromotionsEndAt;
}

void Succession::changeEnded(const GroupId &group)
{
    m_neededSince.erase(group);
    m_changes.erase(group);
}

} // namespace fescuespring
