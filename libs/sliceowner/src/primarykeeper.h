#pragma once

#include "groupprober.h"
#include "promotion/lossdetector.h"
#include "promotion/promoter.h"
#include "sliceowner/sliceowner.h"

#include <memory>
#include <optional>

namespace fescuespring {

// Sees to it that a group has a primary: weighs the evidence of a loss, runs the change, moves the
// primary away from a database that is leaving, and repoints those that come back. Loop thread
// only.
class PrimaryKeeper
{
public:
    struct Hooks
    {
        // Keep new writes back or let them go; held writes are reported by writesDrained.
        std::function<void(bool)> holdWrites;
        std::function<bool()> hasWritesInFlight;
    };

    PrimaryKeeper(const SliceOwnerOptions &options, const SliceHooks &sliceHooks, GroupView &view,
                  GroupProber &prober, Hooks hooks);

    void setMayPromote(bool mayPromote)
    {
        m_mayPromote = mayPromote;
    }

    void statusReceived(const DatabaseStatus &status, Instant askedAt, Instant now);

    // A write that needs a second copy ended without one.
    void recordUnreplicatedWrite(Instant now)
    {
        m_detector.recordUnreplicatedWrite(now);
    }

    // To be called about every 10 ms, and at nextTimer.
    void advance(Instant now);
    std::optional<Instant> nextTimer() const
    {
        return m_promoter.nextTimer();
    }

private:
    void examine(Instant now);
    void askPeers(Instant now);
    void startPlanned(Instant now);
    void repoint(Instant now);
    void announcePrimary();
    void perform(const PromotionActions &actions);
    void perform(const PromotionAction &action);
    void readRecord(std::uint64_t call);
    void writeRecord(const PromotionAction &action);
    void finishReport();

    SliceOwnerOptions m_options;
    const SliceHooks &m_sliceHooks;
    GroupView &m_view;
    GroupProber &m_prober;
    Hooks m_hooks;
    LossDetector m_detector;
    Promoter m_promoter;
    PrimaryView m_announced;
    bool m_mayPromote = true;
    bool m_draining = false;
    Instant m_askedPeersAt;
    Instant m_repointedAt;

    // Callbacks of hooks may come after the end of this object.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fescuespring
