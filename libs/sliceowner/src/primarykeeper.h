#pragma once

#include "groupprober.h"
#include "promotion/lossdetector.h"
#include "promotion/promoter.h"
#include "sliceowner/sliceowner.h"

#include <memory>
#include <optional>

namespace fescuespring {

// Ensures that a group has a primary: evaluates the evidence of a loss, runs changes of primary,
// also away from a database that is about to leave, and repoints replicas that come back. Loop
// thread only.
class PrimaryKeeper
{
public:
    struct Hooks
    {
        // Holds new writes (true) or releases them (false).
        std::function<void(bool)> holdWrites;
        std::function<bool()> hasWritesInFlight;
    };

    PrimaryKeeper(const SliceOwnerOptions &options, const SliceHooks &sliceHooks, GroupView &view,
                  GroupProber &prober, Hooks hooks);

    void setMayPromote(bool mayPromote)
    {
        m_mayPromote = mayPromote;
    }

    void statusReceived(const DatabaseStatus &status, Instant requestedAt, Instant now);

    // A write that requires a second copy ended without one.
    void recordUnreplicatedWrite(Instant now)
    {
        m_detector.recordUnreplicatedWrite(now);
    }

    // Must be called about every 10 ms, and at nextTimer().
    void advance(Instant now);
    std::optional<Instant> nextTimer() const
    {
        return m_promoter.nextTimer();
    }

private:
    void checkForLoss(Instant now);
    void requestPeerReports(Instant now);
    void startPlannedChange(Instant now);
    void repointReplicas(Instant now);
    void reportPrimaryChange();
    void perform(const PromotionActions &actions);
    void perform(const PromotionAction &action);
    void readRecord(std::uint64_t call);
    void writeRecord(const PromotionAction &action);
    void deliverReport();

    SliceOwnerOptions m_options;
    const SliceHooks &m_sliceHooks;
    GroupView &m_view;
    GroupProber &m_prober;
    Hooks m_hooks;
    LossDetector m_detector;
    Promoter m_promoter;
    PrimaryView m_reportedPrimary;
    bool m_mayPromote = true;
    bool m_drainingWrites = false;
    Instant m_peersRequestedAt;
    Instant m_repointedAt;

    // Expires with this object: callbacks of hooks may be called after its destruction.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fescuespring
