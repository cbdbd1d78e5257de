#pragma once

#include "groupview/groupview.h"

#include <optional>
#include <vector>

namespace fescuespring {

// Another slice owner's view of the group's primary.
struct PeerReport
{
    VmId vm = {};
    Term term = {};
    bool primaryReachable = false;
    Instant heardAt = {};
};

enum class LossVerdict {
    // The primary answers, or has not been unresponsive for long enough.
    Alive,

    // It does not answer this VM, but the evidence is insufficient: exchange views with the other
    // owners.
    Suspected,

    // A change of primary is due.
    Lost,

    // It answers, but a majority of the databases receives nothing from it and writes that need a
    // second copy fail: a change of primary that avoids it is due (PromotionRequest::avoid).
    Isolated,
};

const char *toString(LossVerdict verdict);

struct LossOptions
{
    // Number of owners that probe the group, including this one; one per data centre with a slice.
    std::size_t vantagePoints = 3;

    // Time without an answer after which the primary is suspected, and lost if most vantage points
    // agree.
    Duration suspectAfter = std::chrono::milliseconds(600);

    // Time without an answer after which it is lost even if the other vantage points do not report.
    Duration lostWithoutPeersAfter = std::chrono::milliseconds(1500);

    // Time without an answer after which it is lost even if a replica still receives from it.
    Duration lostDespiteReplicaAfter = std::chrono::milliseconds(2500);

    // Time for which a group may have no primary of its highest term, for example because a
    // promoter crashed after fencing, before another promoter takes over.
    Duration noPrimaryAfter = std::chrono::milliseconds(500);

    // Time for which a majority must have received nothing from a primary that answers and has
    // newer entries before the primary counts as isolated.
    Duration isolatedAfter = std::chrono::milliseconds(2500);

    // Peer reports older than this are ignored.
    Duration reportLifetime = std::chrono::milliseconds(600);

    // A longer interval between two calls of examine means that this VM was paused; time without an
    // answer is then counted from the end of the pause.
    Duration pauseAfter = std::chrono::milliseconds(300);
};

// Weighs the evidence that a group has lost its primary. A single lost probe is not sufficient, nor
// is a single vantage point while others report: an isolated VM must not promote.
//
//     detector.report(peerReport);
//     if (detector.examine(view, now) == LossVerdict::Lost)
//         promoter.start(...);
class LossDetector
{
public:
    explicit LossDetector(LossOptions options = {});

    void report(PeerReport report);

    // Records that a write that needs a second copy ended without one (NotDurableInTime). Without
    // such a write there is no reason to replace a primary that answers.
    void recordUnreplicatedWrite(Instant now);

    // Must be called at least every pauseAfter, even without new evidence.
    LossVerdict examine(const GroupView &view, Instant now);

    // When the primary last answered, for the report of a change.
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

    // Log position of a database and when it was first observed there.
    struct Progress
    {
        DatabaseId database;
        LogPoint received;
        Instant since;
    };

    LossVerdict examineWithoutPrimary(Instant now);
    bool isIsolated(const GroupView &view, const PrimaryView &primary, Instant now) const;
    void updateProgress(const GroupView &view, Instant now);
    LossVerdict examineUnresponsive(const GroupView &view, const PrimaryView &primary,
                                    Instant now) const;
    Votes votes(Term term, Instant now) const;
    bool isReceivedByReplica(const GroupView &view, const PrimaryView &primary, Instant now) const;
    bool reachesMajority(const GroupView &view, Instant now) const;

    LossOptions m_options;
    std::vector<PeerReport> m_reports;
    std::vector<Progress> m_progress;
    std::optional<Instant> m_unreplicatedWriteAt;
    std::optional<Instant> m_lastExamined;
    Instant m_resumedAt;
    std::optional<Instant> m_noPrimarySince;
    Instant m_silentSince;
};

} // namespace fescuespring
