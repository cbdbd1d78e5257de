#include "primarykeeper.h"

namespace fescuespring {

namespace {

constexpr Duration peerInterval = std::chrono::milliseconds(200);
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

void PrimaryKeeper::statusReceived(const DatabaseStatus &status, Instant askedAt, Instant now)
{
    perform(m_promoter.statusReceived(status, askedAt, now));
    announcePrimary();
}

void PrimaryKeeper::advance(Instant now)
{
    if (m_draining && !m_hooks.hasWritesInFlight()) {
        m_draining = false;
        perform(m_promoter.drained(now));
    }
    const std::optional<Instant> timer = m_promoter.nextTimer();
    if (timer && *timer <= now)
        perform(m_promoter.tick(now));
    finishReport();
    examine(now);
    if (!m_promoter.isChanging()) {
        startPlanned(now);
        repoint(now);
    }
}

void PrimaryKeeper::examine(Instant now)
{
    const LossVerdict verdict = m_detector.examine(m_view, now);
    if (verdict == LossVerdict::Alive || !m_mayPromote)
        return;
    askPeers(now);
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

void PrimaryKeeper::askPeers(Instant now)
{
    const std::optional<PrimaryView> primary = m_view.primary();
    if (!primary || !m_sliceHooks.askPeers || now - m_askedPeersAt < peerInterval)
        return;
    m_askedPeersAt = now;
    m_sliceHooks.askPeers(primary->database,
                          [this, alive = std::weak_ptr(m_alive)](const PeerReport &report) {
                              if (!alive.expired())
                                  m_detector.report(report);
                          });
}

// The platform has said that the primary's VM will leave: move the primary while it still serves.
void PrimaryKeeper::startPlanned(Instant now)
{
    const std::optional<PrimaryView> primary = m_view.primary();
    if (!primary || !m_mayPromote)
        return;
    const DatabaseView *database = m_view.find(primary->database);
    if (database == nullptr || !database->site.leaving || !database->reachable)
        return;
    // One owner is enough: the one in the data centre of the primary.
    if (database->site.dataCentre != m_options.dataCentre)
        return;
    perform(m_promoter.start({.kind = PromotionKind::Planned,
                              .leaving = primary->database,
                              .silentSince = now,
                              .foundAt = now},
                             m_view, now));
}

void PrimaryKeeper::repoint(Instant now)
{
    if (now - m_repointedAt < repointInterval)
        return;
    m_repointedAt = now;
    perform(repointStragglers(m_view));
}

void PrimaryKeeper::announcePrimary()
{
    const std::optional<PrimaryView> primary = m_view.primary();
    if (!primary)
        return;
    if (primary->database == m_announced.database && primary->term == m_announced.term)
        return;
    m_announced = *primary;
    if (m_sliceHooks.primaryChanged)
        m_sliceHooks.primaryChanged(m_options.group, m_announced);
}

void PrimaryKeeper::perform(const PromotionActions &actions)
{
    for (const PromotionAction &action : actions)
        perform(action);
    finishReport();
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
        m_draining = true;
        m_hooks.holdWrites(true);
        return;
    case PromotionActionKind::ReleaseWrites:
        m_draining = false;
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
    // Without a store the promoter's own patience decides; there is no call to answer.
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

void PrimaryKeeper::finishReport()
{
    const std::optional<PromotionReport> report = m_promoter.takeReport();
    if (report && m_sliceHooks.promotionEnded)
        m_sliceHooks.promotionEnded(m_options.group, *report);
}

} // namespace fescuespring
