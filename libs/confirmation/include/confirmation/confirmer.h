#pragma once

#include "groupview/groupview.h"

#include <optional>
#include <vector>

namespace fescuespring {

// Identifies an answer that waits for confirmation; chosen by the caller.
using ConfirmationId = Number<struct ConfirmationTag>;

// An answer that must not be forwarded before the term it was given under is confirmed.
struct Confirmation
{
    ConfirmationId id = {};
    Term term = {};

    // The term must be shown to have been current at this moment or later: for a write, when its
    // answer arrived; for a read at the primary, when its request arrived.
    Instant since = {};

    Instant deadline = {};

    // Set for a write that must survive a change of primary: a majority must have received this
    // point.
    std::optional<LogPoint> durablePoint = {};
};

enum class ConfirmationOutcome {
    Confirmed,

    // The term was superseded or could not be confirmed in time. The outcome of a write is unknown;
    // a read may be routed again.
    TermNotConfirmed,

    // The term was confirmed, but too few databases were known to have received the write in time.
    // The outcome of the write is unknown.
    NotDurableInTime,
};

const char *toString(ConfirmationOutcome outcome);

// The reason under which an outcome is counted; None for Confirmed.
Reason reasonOf(ConfirmationOutcome outcome);

struct ConfirmationResult
{
    ConfirmationId id = {};
    ConfirmationOutcome outcome = ConfirmationOutcome::TermNotConfirmed;
};

struct ConfirmerOptions
{
    // If a majority does not answer a round within this time, another one is sent.
    Duration roundTimeout = std::chrono::milliseconds(20);

    // Time between rounds while a write only waits for copies.
    Duration copyPollInterval = std::chrono::milliseconds(1);
};

// Collects evidence that a primary had not been replaced when it answered: after its answer, a
// majority of the group is still at its term. The term of a database never decreases, and a new
// primary is promoted only after a majority has reached a higher term. One round of probes serves
// all answers that arrived before it was sent, like a read index. Clocks of other machines are not
// used, so a paused VM cannot confirm wrongly.
//
//     confirmer.await({.id = id, .term = term, .since = now, .deadline = deadline});
//     if (confirmer.startRound(now))
//         probeEveryDatabaseNow();
//     for (const ConfirmationResult &result : confirmer.advance(view, now))
//         finish(result);
//
// Call advance and then startRound after every status that arrives, and at nextEvent.
class Confirmer
{
public:
    explicit Confirmer(ConfirmerOptions options = {});

    void await(const Confirmation &confirmation);

    // If a round is due, counts it as sent and returns true; the caller then probes every database.
    bool startRound(Instant now);

    // Removes and returns the answers whose outcome is decided at now by view or their deadline.
    std::vector<ConfirmationResult> advance(const GroupView &view, Instant now);

    // Latest time for the next call of advance and startRound; nothing while no answer waits.
    std::optional<Instant> nextEvent() const;

    // When the last round was sent, until a majority has answered it.
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

    // When the last round was sent, and whether a majority has answered it.
    std::optional<Instant> m_roundSentAt;
    bool m_roundAnswered = true;
};

} // namespace fescuespring
