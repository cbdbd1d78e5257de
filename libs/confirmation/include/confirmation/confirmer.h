#pragma once

#include "groupview/groupview.h"

#include <optional>
#include <vector>

namespace fescuespring {

// Names one answer that waits for confirmation; chosen by the caller.
using ConfirmationId = Number<struct ConfirmationTag>;

// An answer that may not be passed on before the term it was given under is confirmed.
struct Confirmation
{
    ConfirmationId id = {};
    Term term = {};

    // The term must be seen to have held at this moment or later: for a write when its answer
    // arrived, for a read at the primary when its request arrived.
    Instant since = {};

    Instant deadline = {};

    // Set for a write that must survive a change of primary: a majority must hold this point.
    std::optional<LogPoint> durablePoint = {};
};

enum class ConfirmationOutcome {
    Confirmed,

    // The term was overtaken, or could not be confirmed in time. A write's fate is unknown; a read
    // may be routed again.
    TermNotConfirmed,

    // The term held, but too few databases were known to hold the write in time. Its fate is
    // unknown.
    NotDurableInTime,
};

const char *toString(ConfirmationOutcome outcome);

// The counted reason of an outcome; None for Confirmed.
Reason reasonOf(ConfirmationOutcome outcome);

struct ConfirmationResult
{
    ConfirmationId id = {};
    ConfirmationOutcome outcome = ConfirmationOutcome::TermNotConfirmed;
};

struct ConfirmerOptions
{
    // A round that is not answered by a majority within this time is followed by another.
    Duration roundTimeout = std::chrono::milliseconds(20);

    // Time between rounds while a write only waits for its second copy.
    Duration copyPollInterval = std::chrono::milliseconds(1);
};

// Gathers the evidence for answers of a primary: after the answer came, a majority of the group is
// still at its term. A database cannot go back to a lower term, and a successor is made only after
// a majority has gone beyond it, so the primary had not been replaced when it answered. One round
// of probes serves all answers that came before it was sent, as a read index does. No clock of any
// other machine counts, so a paused holder cannot be wrong about it.
//
//     confirmer.await({.id = id, .term = term, .since = now, .deadline = deadline}, view);
//     if (confirmer.takeRound(now))
//         probeEveryDatabaseNow();
//     for (const ConfirmationResult &result : confirmer.advance(view, now))
//         finish(result);
//
// After every status that arrives, and at nextEvent: advance, then takeRound.
class Confirmer
{
public:
    explicit Confirmer(ConfirmerOptions options = {});

    void await(const Confirmation &confirmation);

    // True if every database is to be probed now; the round counts as sent.
    bool startRound(Instant now);

    // The answers whose fate is decided by what view holds now.
    std::vector<ConfirmationResult> advance(const GroupView &view, Instant now);

    // When to call takeRound and advance at the latest; nothing while none waits.
    std::optional<Instant> nextEvent() const;

    // When the last round was sent, while it is not yet answered by a majority.
    std::optional<Instant> openRound() const
    {
        return m_roundAnswered ? std::nullopt : m_roundSentAt;
    }

    std::size_t waiting() const
    {
        return m_waiting.size();
    }

private:
    struct Waiting
    {
        Confirmation confirmation = {};
        bool termHeld = false;
    };

    std::optional<ConfirmationOutcome> decide(Waiting &waiting, const GroupView &view,
                                              Instant now) const;
    Instant nextRound() const;

    ConfirmerOptions m_options;
    std::vector<Waiting> m_waiting;

    // When the last round was sent and whether it has done its work.
    std::optional<Instant> m_roundSentAt;
    bool m_roundAnswered = true;
};

} // namespace fescuespring
