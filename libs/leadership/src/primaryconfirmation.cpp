#include "primaryconfirmation.h"

#include "leadership/promotionbounds.h"
#include "leadershipchange.h"

#include <algorithm>
#include <utility>

namespace fescuespring::detail {

namespace {

constexpr Duration stepRetry = std::chrono::milliseconds(100);
constexpr Duration commandTimeout = std::chrono::milliseconds(250);

// A confirmation that takes longer makes room for those of other groups, and starts again.
constexpr Duration confirmationTime = std::chrono::seconds(3);

} // namespace

PrimaryConfirmation::PrimaryConfirmation(Succession &owner, GroupId group)
    : GroupTask(owner, std::move(group))
{}

const char *PrimaryConfirmation::reasonToEnd() const
{
    const LeadershipView &view = m_owner->m_options.view;
    if (view.isConfirmed(m_group) && view.primary(m_group))
        return "recorded-already";
    return now() - m_startedAt > confirmationTime ? "timeout" : nullptr;
}

void PrimaryConfirmation::start()
{
    const Duration wait = m_owner->m_earlierLeasesEndAt - m_owner->m_options.timers.now();
    if (wait > Duration(0))
        after(wait, &PrimaryConfirmation::queryDatabases);
    else
        queryDatabases();
}

void PrimaryConfirmation::queryDatabases()
{
    const std::vector<SuccessionCandidate> candidates = m_owner->m_ports.databases(m_group);
    if (candidates.empty()) {
        after(stepRetry, &PrimaryConfirmation::queryDatabases);
        return;
    }
    const auto answers = std::make_shared<Answers>();
    for (const SuccessionCandidate &candidate : candidates) {
        m_owner->m_ports.command(
                candidate.database, {.kind = StatementKind::Status}, commandTimeout,
                [weak = weak_from_this(), answers, requested = candidates.size(),
                 candidate](const std::optional<StatementReply> &reply) {
                    const auto self = weak.lock();
                    answers->push_back({candidate, reply ? reply->status : std::nullopt});
                    if (answers->size() == requested && self && self->canContinue())
                        self->evaluate(*answers);
                });
    }
}

// The database that leads the latest term; null if none leads.
const PrimaryConfirmation::Answer *PrimaryConfirmation::leader(const Answers &answers)
{
    const Answer *latest = nullptr;
    for (const Answer &answer : answers) {
        const bool leads = answer.status && answer.status->role == Role::Primary;
        if (leads && (!latest || answer.status->term > latest->status->term))
            latest = &answer;
    }
    return latest;
}

// Whether no database of the group is in a later term: all answer; or a majority leads the term or
// receives its log. An earlier term alone proves nothing, as a database that receives no updates
// does not learn of a later one. A database that is leaving still counts, as it answers now.
bool PrimaryConfirmation::isConfirmed(const Answers &answers, Term term) const
{
    const std::size_t groupSize = m_owner->m_ports.groupSize(m_group);
    std::size_t answering = 0;
    std::size_t receiving = 0;
    for (const Answer &answer : answers) {
        if (!answer.status)
            continue;
        if (answer.status->term > term)
            return false;
        ++answering;
        receiving += receives(answer, term) ? 1 : 0;
    }
    return answering >= groupSize || receiving * 2 > groupSize;
}

// Whether a database leads the term, or has received an entry beyond the position at which the
// primary was when it first answered.
bool PrimaryConfirmation::receives(const Answer &answer, Term term) const
{
    const UpstreamStatus &status = *answer.status;
    if (status.role == Role::Primary)
        return status.term == term;
    return m_leaderPosition && status.received.term == term && status.heldTerm <= term
           && status.received > *m_leaderPosition;
}

// Whether no promotion that was requested earlier can still take effect: its time is over, or a
// majority of the group would report the pause for it, and no database is paused.
bool PrimaryConfirmation::isQuiet(const Answers &answers, Term term) const
{
    if (m_owner->isOwnPromotionPending(m_group))
        return false;
    if (m_owner->mayPromote() && !m_owner->isEarlierPromotionPending())
        return true;
    const auto answering = std::ranges::count_if(answers, [this](const Answer &answer) {
        return answer.status && wouldReportPause(*answer.status, now());
    });
    const bool isPaused = std::ranges::any_of(answers, [term](const Answer &answer) {
        return answer.status && answer.status->heldTerm > term;
    });
    return !isPaused
           && static_cast<std::size_t>(answering) * 2 > m_owner->m_ports.groupSize(m_group);
}

// Resumes the databases that a change of primary paused which did not end before the restore.
bool PrimaryConfirmation::resumePaused(const Answers &answers, Term term)
{
    bool hasPaused = false;
    for (const Answer &answer : answers)
        hasPaused |= resumeIfPaused(answer.candidate.database, answer.status, term, commandTimeout);
    return hasPaused;
}

// Whether the group needs another primary: the known one is lost to its observers, gone, or none is
// known; or all databases answer and none leads, as a change of primary stopped it that did not
// end.
bool PrimaryConfirmation::isLost(const Answers &answers) const
{
    const DatabaseId known = m_owner->m_options.view.record(m_group).primary;
    const auto primary = std::ranges::find(
            answers, known, [](const Answer &answer) { return answer.candidate.database; });
    if (primary == answers.end() || primary->candidate.isLost)
        return true;
    return std::ranges::all_of(answers, [](const Answer &answer) {
        return answer.status && answer.status->role != Role::Primary;
    });
}

void PrimaryConfirmation::evaluate(const Answers &answers)
{
    Term latest;
    for (const Answer &answer : answers)
        latest = std::max(latest, answer.status ? answer.status->term : Term());
    const Answer *leading = leader(answers);
    const bool leadsLatest = leading && leading->status->term == latest;
    if (!isQuiet(answers, latest)) {
        after(stepRetry, &PrimaryConfirmation::queryDatabases);
        return;
    }
    if (leadsLatest && isConfirmed(answers, latest)) {
        if (resumePaused(answers, latest))
            after(stepRetry, &PrimaryConfirmation::queryDatabases);
        else
            recordPrimary(leading->candidate.database, *leading->status);
        return;
    }
    // Replicas are paused until they resume, so none of them can receive what would confirm.
    if (leadsLatest && !m_leaderPosition)
        m_leaderPosition = leading->status->received;
    if (leadsLatest)
        resumePaused(answers, latest);
    if (leadsLatest || !isLost(answers)) {
        after(stepRetry, &PrimaryConfirmation::queryDatabases);
        return;
    }
    Succession &owner = *m_owner;
    const GroupId group = m_group;
    end("no-primary");
    owner.startChange(group, false, latest, true);
}

void PrimaryConfirmation::recordPrimary(const DatabaseId &database, const UpstreamStatus &status)
{
    LeadershipView &view = m_owner->m_options.view;
    const LeadershipRecord known = view.record(m_group);
    std::optional<LogPoint> base = known.term == status.term ? known.base : std::nullopt;
    if (status.received.term < status.term)
        base = status.received;
    const LeadershipRecord record{.group = m_group,
                                  .primary = database,
                                  .term = status.term,
                                  .version = known.version,
                                  .epoch = view.epoch(),
                                  .base = base};
    m_owner->m_ports.write({leadershipKey(m_group), encodeLeadership(record), record.version},
                           [weak = weak_from_this(), record](const Result<WriteAnswer> &answer) {
                               const auto self = weak.lock();
                               if (!self || !self->m_isRunning)
                                   return;
                               self->m_owner->m_ports.refresh();
                               if (answer && answer.value().written) {
                                   LeadershipRecord written = record;
                                   written.version = answer.value().version;
                                   self->m_owner->m_options.view.applyRecord(written);
                                   self->end("recorded");
                                   return;
                               }
                               // The next read shows whether the record was written.
                               if (self->canContinue())
                                   self->after(stepRetry, &PrimaryConfirmation::queryDatabases);
                           });
}

void PrimaryConfirmation::end(const char *outcome)
{
    m_isRunning = false;
    const LeadershipRecord record = m_owner->m_options.view.record(m_group);
    m_owner->m_options.log.info("primary-confirmation-ended",
                                {{"group", m_group},
                                 {"outcome", outcome},
                                 {"primary", record.primary},
                                 {"term", record.term},
                                 {"age", m_owner->m_options.timers.now() - m_startedAt}});
    m_owner->confirmationEnded(m_group);
}

} // namespace fescuespring::detail
