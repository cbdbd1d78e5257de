#include "confirmation/confirmer.h"

#include <algorithm>
#include <array>

namespace fescuespring {

namespace {

constexpr std::array outcomeNames{"confirmed", "term-not-confirmed", "not-durable-in-time"};

} // namespace

const char *toString(ConfirmationOutcome outcome)
{
    return outcomeNames[static_cast<std::size_t>(outcome)];
}

Reason reasonOf(ConfirmationOutcome outcome)
{
    switch (outcome) {
    case ConfirmationOutcome::Confirmed:
        return Reason::None;
    case ConfirmationOutcome::TermNotConfirmed:
        return Reason::TermNotConfirmed;
    case ConfirmationOutcome::NotDurableInTime:
        return Reason::NotDurableInTime;
    }
    return Reason::TermNotConfirmed;
}

Confirmer::Confirmer(ConfirmerOptions options)
    : m_options(options)
{}

void Confirmer::await(const Confirmation &confirmation)
{
    m_waiting.push_back({.confirmation = confirmation});
}

bool Confirmer::startRound(Instant now)
{
    if (m_waiting.empty() || now < nextRound())
        return false;
    m_roundSentAt = now;
    m_roundAnswered = false;
    return true;
}

std::vector<ConfirmationResult> Confirmer::advance(const GroupView &view, Instant now)
{
    std::vector<ConfirmationResult> results;
    std::erase_if(m_waiting, [&](Waiting &waiting) {
        const auto outcome = decide(waiting, view, now);
        if (!outcome)
            return false;
        results.push_back({.id = waiting.confirmation.id, .outcome = *outcome});
        return true;
    });
    if (!m_roundAnswered && m_roundSentAt) {
        const auto primary = view.primary();
        const auto held = primary ? view.heldUntil(primary->term) : std::nullopt;
        m_roundAnswered = held && *held >= *m_roundSentAt;
    }
    return results;
}

std::optional<ConfirmationOutcome> Confirmer::decide(Waiting &waiting, const GroupView &view,
                                                     Instant now) const
{
    const Confirmation &confirmation = waiting.confirmation;
    if (!waiting.termHeld) {
        const auto held = view.heldUntil(confirmation.term);
        waiting.termHeld = held && *held >= confirmation.since;
    }
    const bool isDurable =
            !confirmation.durablePoint
            || view.copiesOf(*confirmation.durablePoint, confirmation.term) >= view.majority();
    if (waiting.termHeld && isDurable)
        return ConfirmationOutcome::Confirmed;
    const bool isSuperseded = view.isSuperseded(confirmation.term);
    if (!isSuperseded && now < confirmation.deadline)
        return std::nullopt;
    return waiting.termHeld ? ConfirmationOutcome::NotDurableInTime
                            : ConfirmationOutcome::TermNotConfirmed;
}

Instant Confirmer::nextRound() const
{
    if (!m_roundSentAt)
        return Instant::min();
    if (!m_roundAnswered)
        return *m_roundSentAt + m_options.roundTimeout;
    const bool isTermNeeded = std::any_of(m_waiting.begin(), m_waiting.end(),
                                          [](const Waiting &waiting) { return !waiting.termHeld; });
    return isTermNeeded ? *m_roundSentAt : *m_roundSentAt + m_options.copyPollInterval;
}

std::optional<Instant> Confirmer::nextEvent() const
{
    if (m_waiting.empty())
        return std::nullopt;
    Instant next = nextRound();
    for (const Waiting &waiting : m_waiting)
        next = std::min(next, waiting.confirmation.deadline);
    return next;
}

} // namespace fescuespring
