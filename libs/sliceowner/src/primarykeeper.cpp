#include "primarykeeper.h"

namespace fescuespring {

namespace {

constexpr Duration peerRequestInterval = std::chrono::milliseconds(200);
constexpr Duration repointInterval = std::chrono::milliseconds(300);

} // namespace

PrimaryKeeper::PrimaryKeeper(const SliceOwnerOptions &options, const SliceHooks &sliceHooks,
                             GroupView &view, GroupProber &prober, Hooks hooks)
    : m_options(options)
    , m_sliceHooks(sliceHooks)
    , m_view(view)
    , m_prober(prober)
    , m_hooks(std::move(hooks))
    , m_detector({.vantagePoints = options.vantagePoints})
    , m_promoter({.vm = options.vm, .random = sliceHooks.random})
    , m_mayPromote(options.mayPromote)
{}

void PrimaryKeeper::statusReceived(const DatabaseStatus &status, Instant requestedAt, Instant now)
{
    perform(m_promoter.statusReceived(status, requestedAt, now));
    reportPrimaryChange();
}

void PrimaryKeeper::advance(Instant now)
{
    if (m_drainingWrites && !m_hooks.hasWritesInFlight()) {
        m_drainingWrites = false;
        perform(m_promoter.drained(now));
    }
    const std::optional<Instant> timer = m_promoter.nextTimer();
    if (timer && *timer <= now)
        perform(m_promoter.tick(now));
    deliverReport();
    checkForLoss(now);
    if (!m_promoter.isChanging()) {
        startPlannedChange(now);
        repointReplicas(now);
    }
}

void PrimaryKeeper::checkForLoss(Instant now)
{
    const LossVerdict verdict = m_detector.examine(m_view, now);
    if (verdict == LossVerdict::Alive || !m_mayPromote)
        return;
    requestPeerReports(now);
    const bool isDue = verdict == LossVerdict::Lost || verdict == LossVerdict::Isolated;
    if (!isDue || m_promoter.isChanging())
        return;
    const std::optional<PrimaryView> primary = m_view.primary();
    const bool isIsolated = verdict == LossVerdict::Isolated && primary;
    perform(m_promoter.start({.kind = PromotionKind::Unplanned,
                              .avoid = isIsolated ? primary->database : DatabaseId(),
                              .silentSince = m_detector.silentSince(),
                              .foundAt = now},
                             m_view, now));
}

void PrimaryKeeper::requestPeerReports(Instant now)
{
    const std::optional<PrimaryView> primary = m_view.primary();
    if (!primary || !m_sliceHooks.requestPeerReports
        || now - m_peersRequestedAt < peerRequestInterval)
        return;
    m_peersRequestedAt = now;
    m_sliceHooks.requestPeerReports(
            primary->database, [this, alive = std::weak_ptr(m_alive)](const PeerReport &report) {
                if (!alive.expired())
                    m_detector.report(report);
            });
}

// Changes the primary while it still serves, if the platform has announced that its VM will leave.
void PrimaryKeeper::startPlannedChange(Instant now)
{
    const std::optional<PrimaryView> primary = m_view.primary();
    if (!primary || !m_mayPromote)
        return;
    const DatabaseView *database = m_view.find(primary->database);
    if (database == nullptr || !database->site.leaving || !database->reachable)
        return;
    // Only the owner in the primary's data centre starts the change.
    if (database->site.dataCentre != m_options.dataCentre)
        return;
    perform(m_promoter.start({.kind = PromotionKind::Planned,
                              .leaving = primary->database,
                              .silentSince = now,
                              .foundAt = now},
                             m_view, now));
}

void PrimaryKeeper::repointReplicas(Instant now)
{
    if (now - m_repointedAt < repointInterval)
        return;
    m_repointedAt = now;
    perform(repointStragglers(m_view));
}

void PrimaryKeeper::reportPrimaryChange()
{
    const std::optional<PrimaryView> primary = m_view.primary();
    if (!primary)
        return;
    if (primary->database == m_reportedPrimary.database && primary->term == m_reportedPrimary.term)
        return;
    m_reportedPrimary = *primary;
    if (m_sliceHooks.primaryChanged)
        m_sliceHooks.primaryChanged(m_options.group, m_reportedPrimary);
}

void PrimaryKeeper::perform(const PromotionActions &actions)
{
    for (const PromotionAction &action : actions)
        perform(action);
    deliverReport();
}

void PrimaryKeeper::perform(const PromotionAction &action)
{
    switch (action.kind) {
    case PromotionActionKind::ReadRecord:
        readRecord(action.call);
        return;
    case PromotionActionKind::WriteRecord:
        writeRecord(action);
        return;
    case PromotionActionKind::HoldWrites:
        m_drainingWrites = true;
        m_hooks.holdWrites(true);
        return;
    case PromotionActionKind::ReleaseWrites:
        m_drainingWrites = false;
        m_hooks.holdWrites(false);
        return;
    case PromotionActionKind::Probe:
        m_prober.probe(action.database);
        return;
    case PromotionActionKind::Fence:
        m_prober.fence(action.database, action.term);
        return;
    case PromotionActionKind::Promote:
        m_prober.promote(action.database, action.term);
        return;
    case PromotionActionKind::Follow:
        m_prober.follow(action.database, action.term, action.primary);
        return;
    }
}

void PrimaryKeeper::readRecord(std::uint64_t call)
{
    // Without a store the call is never answered and the promoter times out.
    if (!m_sliceHooks.readRecord)
        return;
    m_sliceHooks.readRecord([this, call, alive = std::weak_ptr(m_alive)](
                                    const Result<std::optional<StoredRecord>> &stored) {
        if (alive.expired())
            return;
        const Instant now = EventLoop::now();
        perform(stored ? m_promoter.recordRead(call, stored.value(), now)
                       : m_promoter.storeFailed(call, now));
    });
}

void PrimaryKeeper::writeRecord(const PromotionAction &action)
{
    if (!m_sliceHooks.writeRecord)
        return;
    m_sliceHooks.writeRecord(action.record, action.ifVersion,
                             [this, call = action.call, alive = std::weak_ptr(m_alive)](
                                     const Result<ObjectVersion> &written) {
                                 if (alive.expired())
                                     return;
                                 const Instant now = EventLoop::now();
                                 if (written)
                                     perform(m_promoter.recordWritten(call, written.value(), now));
                                 else if (written.error().code == ErrorCode::Conflict)
                                     perform(m_promoter.recordConflict(call, now));
                                 else
                                     perform(m_promoter.storeFailed(call, now));
                             });
}

void PrimaryKeeper::deliverReport()
{
    const std::optional<PromotionReport> report = m_promoter.takeReport();
    if (report && m_sliceHooks.promotionEnded)
        m_sliceHooks.promotionEnded(m_options.group, *report);
}

} // namespace fescuespring
