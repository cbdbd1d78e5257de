#include "explorer/explorer.h"
#include "explorer/termworld.h"

#include "termworldnames.h"

#include <array>

// Descriptions and fingerprints of a TermWorld.

namespace fescuespring {

namespace {

constexpr std::array stepNames{"a VM with a lease writes at",
                               "the VM without a lease writes at",
                               "the VM without a lease reads at",
                               "the VM without a lease asks",
                               "updates reach",
                               "the holder is cut off from",
                               "the holder reaches again",
                               "power is lost at",
                               "power returns at",
                               "gone for good:",
                               "the holder announces a change",
                               "the holder pauses and chooses",
                               "the promotion takes effect",
                               "the holder records",
                               "the holder is lost"};

std::string text(LogPoint point)
{
    return std::to_string(point.term.value()) + "." + std::to_string(point.position.value());
}

void addPoint(FingerprintHash &hash, const std::optional<LogPoint> &point)
{
    hash.add(point ? text(*point) : std::string("-"));
}

} // namespace

std::string TermWorld::describe(const Step &step) const
{
    const UpstreamStatus reported = status(step.index);
    return std::string(stepNames.at(static_cast<std::size_t>(step.kind))) + " "
           + detail::termDatabase(step.index).value() + " ("
           + (reported.role == Role::Primary ? "primary" : "replica") + " of term "
           + std::to_string(reported.term.value()) + ", received " + text(reported.received)
           + ", held " + std::to_string(reported.heldTerm.value()) + ")";
}

std::uint64_t TermWorld::fingerprint() const
{
    FingerprintHash hash;
    hash.add(m_violation ? 1U : 0U);
    for (const Node &node : m_nodes) {
        hash.add(static_cast<std::uint64_t>(node.role));
        hash.add(node.term.value());
        hash.add(node.heldTerm.value());
        hash.add((node.isUp ? 1U : 0U) + (node.isCut ? 2U : 0U) + (node.isGone ? 4U : 0U));
        hash.add(node.startedAt + pauseToEffectTime <= m_now ? 1U : 0U);
        if (m_pending)
            hash.add(node.startedAt + pauseToEffectTime <= m_pending->request.sentAt ? 1U : 0U);
        hash.add(node.log.size());
        for (const Entry &entry : node.log)
            hash.add(entry.term.value() * 100 + entry.write);
    }
    for (const Write &write : m_writes) {
        hash.add(write.term.value() * 8 + (write.isAcknowledged ? 1U : 0U)
                 + (write.isDropped ? 2U : 0U) + (write.wasReplaced ? 4U : 0U));
    }
    hash.add(m_primary);
    hash.add(m_term.value());
    hash.add(m_record.primary.value());
    hash.add(m_record.term.value() * 2 + (m_record.isChanging ? 1U : 0U));
    addPoint(hash, m_record.base);
    addPoint(hash, m_previousPosition);
    if (m_order) {
        hash.add(m_order->database * 8 + (m_order->isUnbounded ? 1U : 0U)
                 + (m_order->isInFlight ? 2U : 0U) + (m_isHolderOfOrder ? 4U : 0U));
    }
    if (m_pending) {
        hash.add(m_pending->newestTerm.value());
        addPoint(hash, m_pending->request.commit);
        hash.add(m_pending->request.highestTerm.value());
        addPoint(hash, m_pending->request.leader
                               ? std::optional(m_pending->request.leader->received)
                               : std::nullopt);
        for (const auto &ballot : m_pending->request.ballots) {
            hash.add((ballot.agrees ? 1U : 0U) + (ballot.holds ? 2U : 0U)
                     + (ballot.status ? 4U : 0U) + (ballot.excludesPause ? 8U : 0U));
            // Before the primary has answered, the last answer is still to be judged.
            if (ballot.status && !m_pending->request.leader) {
                hash.add(text(ballot.status->received));
                hash.add(ballot.status->term.value() * 10 + ballot.status->heldTerm.value());
                hash.add(wouldReportPause(*ballot.status, m_pending->request.sentAt) ? 1U : 0U);
            }
        }
    }
    const TermWorldOptions &left = m_options;
    for (const unsigned count : {left.writes, left.isolatedWrites, left.isolatedReads, left.cuts,
                                 left.crashes, left.departures, left.lostHolders, left.changes})
        hash.add(count);
    return hash.value();
}

} // namespace fescuespring
