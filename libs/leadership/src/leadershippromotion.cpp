#include "leadership/promotionbounds.h"
#include "leadershipchange.h"

#include <algorithm>
#include <utility>

// The end of a LeadershipChange: the promotion of the chosen database, and the record of it.

namespace fescuespring::detail {

// The choice rests on one round of pauses. A replica that restarts ends its pause and receives
// again, and a VM that relies on an old record acknowledges what that replica holds. So the round
// must have begun when no VM did so any more, and be recent.
void LeadershipChange::promoteWhenSafe(const DatabaseAnswers &answers)
{
    if (m_wereRecordsObsolete && now() - m_roundBeganAt <= pauseRoundTime) {
        promote(m_chosen);
        return;
    }
    // A previous primary that does not answer would hold up the next round.
    const auto previous = std::ranges::find(answers, m_record.primary, &DatabaseAnswer::database);
    m_isPreviousUnresponsive = previous == answers.end() || !previous->status;
    queryWhenRecordsObsolete();
}

void LeadershipChange::queryWhenRecordsObsolete()
{
    if (areOldRecordsObsolete())
        queryDatabases();
    else
        after(stepRetry, &LeadershipChange::queryWhenRecordsObsolete);
}

// Whether a promotion that this VM or an earlier holder of the lock requested may still take
// effect.
bool LeadershipChange::isPromotionPending() const
{
    return m_owner->isOwnPromotionPending(m_group)
           || (!m_options.hasNoOtherPromoter && m_owner->isEarlierPromotionPending());
}

void LeadershipChange::promote(const DatabaseId &database)
{
    if (!mayPromote()) {
        after(stepRetry, &LeadershipChange::queryDatabases);
        return;
    }
    m_promotionRequestedAt = now();
    m_owner->m_promotionRequestedAt[m_group] = m_promotionRequestedAt;
    const std::uint64_t fencingToken = m_owner->m_lockVersion.value();
    m_owner->m_options.log.info("promotion-ordered",
                                {{"group", m_group},
                                 {"database", database},
                                 {"token", fencingToken},
                                 {"old-term", m_previousTerm},
                                 {"old-stopped", m_previousPosition.has_value()},
                                 {"all-read", haveAllRead()},
                                 {"databases", m_owner->m_ports.groupSize(m_group)},
                                 {"age", now() - m_startedAt}});
    if (m_isDiscardingTerm) {
        const std::optional<LogPoint> base = knownBase();
        m_owner->m_options.log.warning("promotion-discards-term",
                                       {{"group", m_group},
                                        {"database", database},
                                        {"term", m_previousTerm},
                                        {"position", m_chosenPosition.position},
                                        {"base", base.value_or(LogPoint()).position},
                                        {"beyond-base", !base || m_chosenPosition > *base}});
    }
    const auto mayBeSent = [weak = weak_from_this(), fencingToken] {
        const auto self = weak.lock();
        return self && self->canContinue() && self->holdsToken(fencingToken);
    };
    m_owner->m_ports.requestPromotion({.group = m_group,
                                       .database = database,
                                       .fencingToken = fencingToken,
                                       .mayBeSent = mayBeSent},
                                      [weak = weak_from_this()](PromotionOutcome outcome) {
                                          const auto self = weak.lock();
                                          if (self && self->canContinue())
                                              self->promotionAnswered(outcome);
                                      });
}

// This VM may have lost the lock since, and have taken it again under a higher token.
bool LeadershipChange::holdsToken(std::uint64_t fencingToken) const
{
    return mayPromote() && m_owner->m_lockVersion.value() == fencingToken;
}

void LeadershipChange::promotionAnswered(PromotionOutcome outcome)
{
    m_owner->m_options.log.info(
            "promotion-answered",
            {{"group", m_group}, {"database", m_chosen}, {"outcome", toString(outcome)}});
    if (outcome == PromotionOutcome::Refused) {
        m_refused.insert(m_chosen);
        after(stepRetry, &LeadershipChange::queryDatabases);
        return;
    }
    if (outcome == PromotionOutcome::NotDone) {
        after(stepRetry * 2, &LeadershipChange::queryDatabases);
        return;
    }
    awaitPromotion();
}

void LeadershipChange::awaitPromotion()
{
    if (now() - m_promotionRequestedAt > promotionTime) {
        m_owner->m_options.log.warning(
                "promotion-not-observed",
                {{"group", m_group}, {"database", m_chosen}, {"seen", m_lastStatusRow}});
        after(Duration(0), &LeadershipChange::queryDatabases);
        return;
    }
    m_owner->m_ports.command(m_chosen, {.kind = StatementKind::Status}, commandTimeout,
                             [weak = weak_from_this()](const std::optional<StatementReply> &reply) {
                                 const auto self = weak.lock();
                                 if (!self || !self->canContinue())
                                     return;
                                 if (reply && !reply->rows.empty())
                                     self->m_lastStatusRow = reply->rows.front();
                                 const bool leads = reply && reply->status
                                                    && reply->status->role == Role::Primary
                                                    && reply->status->term > self->m_previousTerm;
                                 if (leads)
                                     self->promoted(reply->status->term);
                                 else
                                     self->after(stepRetry / 2, &LeadershipChange::awaitPromotion);
                             });
}

void LeadershipChange::promoted(Term term)
{
    m_owner->m_promotionRequestedAt.erase(m_group);
    recordPrimary(m_chosen, term, m_chosenPosition);
}

void LeadershipChange::recordPrimary(const DatabaseId &database, Term term,
                                     std::optional<LogPoint> base)
{
    LeadershipRecord record = m_record;
    record.isChanging = false;
    record.primary = database;
    record.term = term;
    record.base = base;
    record.epoch = m_owner->m_options.view.epoch();
    m_owner->m_ports.write(
            {leadershipKey(m_group), encodeLeadership(record), record.version},
            [weak = weak_from_this(), record, database, term,
             base](const Result<WriteAnswer> &answer) {
                const auto self = weak.lock();
                if (!self || !self->canContinue())
                    return;
                self->m_owner->m_ports.refresh();
                if (answer && answer.value().written) {
                    LeadershipRecord written = record;
                    written.version = answer.value().version;
                    self->m_owner->m_options.view.applyRecord(written);
                    self->m_chosen = database;
                    self->end("recorded");
                    return;
                }
                const LeadershipRecord seen = self->m_owner->m_options.view.record(self->m_group);
                const bool isRecorded = !seen.isChanging
                                        && self->m_owner->m_options.view.isConfirmed(self->m_group);
                if (isRecorded) {
                    self->end("recorded-already");
                    return;
                }
                self->m_record = seen;
                self->m_owner->m_options.timers.after(stepRetry, [weak, database, term, base] {
                    const auto later = weak.lock();
                    if (later && later->canContinue())
                        later->recordPrimary(database, term, base);
                });
            });
}

void LeadershipChange::end(const char *outcome)
{
    m_isRunning = false;
    m_owner->m_options.log.info("leadership-change-ended", {{"group", m_group},
                                                            {"outcome", outcome},
                                                            {"primary", m_chosen},
                                                            {"age", now() - m_startedAt}});
    m_owner->changeEnded(m_group);
}

} // namespace fescuespring::detail
