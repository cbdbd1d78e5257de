#pragma once

#include "groupview/groupview.h"

#include <optional>
#include <vector>

namespace fescuespring {

// What another slice owner of the group says of the primary.
struct PeerReport
{
    VmId vm = {};
    Term term = {};
    bool primaryReachable = false;
    Instant heardAt = {};
};

enum class LossVerdict {
    // The primary answers, or has been silent for too short a time.
    Alive,

    // It is silent here, but the evidence does not suffice: exchange views with the other owners.
    Suspected,

    // A change of primary is due.
    Lost,

    // It answers, but a majority hears nothing of it any more and writes that need a copy fail: a
    // change that passes it over is due (PromotionRequest::avoid).
    Isolated,
};

const char *toString(LossVerdict verdict);

struct LossOptions
{
    // Owners that probe the group, this one included; one for each data centre with a slice.
    std::size_t vantagePoints = 3;

    // Silence after which the primary is suspected, and lost if most vantage points agree.
    Duration suspectAfter = std::chrono::milliseconds(600);

    // Silence after which it is lost although the other vantage points cannot be heard.
    Duration aloneAfter = std::chrono::milliseconds(1500);

    // Silence after which it is lost although a replica still hears from it.
    Duration contestedAfter = std::chrono::milliseconds(2500);

    // Time a group may be without a primary of its highest term, as when a promoter died after
    // fencing, before another takes over.
    Duration headlessAfter = std::chrono::milliseconds(500);

    // Time for which a majority must have received nothing from a primary that answers and has
    // newer entries, before the primary counts as isolated.
    Duration isolatedAfter = std::chrono::milliseconds(2500);

    // Reports of peers older than this are not counted.
    Duration reportLifetime = std::chrono::milliseconds(600);

    // A longer time between two calls of examine means that this VM was paused; silence is then
    // counted from the end of the pause.
    Duration pauseAfter = std::chrono::milliseconds(300);
};

// Weighs the evidence that a group has lost its primary. One lost probe is no evidence, nor is one
// vantage point while others can be heard: a VM that is itself cut off must not promote.
//
//     detector.report(peerReport);
//     if (detector.examine(view, now) == LossVerdict::Lost)
//         promoter.start(...);
class LossDetector
{
public:
    explicit LossDetector(LossOptions options = {});

    void report(PeerReport report);

    // A write that needs a second copy ended without one (NotDurableInTime). Without such a write
    // nothing is gained by passing over a primary that answers.
    void recordUnreplicatedWrite(Instant now);

    // To be called at least every pauseAfter, also while nothing happens.
    LossVerdict examine(const GroupView &view, Instant now);

    // When the primary last gave a sign of life, for the account of a change.
    Instant silentSince() const
    {
        return m_silentSince;
    }

private:
    struct Votes
    {
        std::size_t lost = 0;
        std::size_t alive = 0;
    };

    // How far a replica had come when it last received something.
    struct Progress
    {
        DatabaseId database;
        LogPoint received;
        Instant since;
    };

    LossVerdict examineHeadless(Instant now);
    bool isIsolated(const GroupView &view, const PrimaryView &primary, Instant now) const;
    void noteProgress(const GroupView &view, Instant now);
    LossVerdict examineSilent(const GroupView &view, const PrimaryView &primary, Instant now) const;
    Votes votes(Term term, Instant now) const;
    bool isHeardByReplica(const GroupView &view, const PrimaryView &primary, Instant now) const;
    bool reachesMajority(const GroupView &view, Instant now) const;

    LossOptions m_options;
    std::vector<PeerReport> m_reports;
    std::vector<Progress> m_progress;
    std::optional<Instant> m_lackedCopyAt;
    std::optional<Instant> m_lastExamined;
    Instant m_resumedAt;
    std::optional<Instant> m_headlessSince;
    Instant m_silentSince;
};

} // namespace fescuespring
