#include "leadershipchange.h"

#include <algorithm>
#include <utility>

namespace fescuespring::detail {

namespace {

// A change that takes longer is abandoned and started again.
constexpr Duration changeTime = std::chrono::seconds(12);

} // namespace

LeadershipChange::LeadershipChange(Succession &owner, GroupId group, Options options)
    : GroupTask(owner, std::move(group))
    , m_options(options)
{}

const char *LeadershipChange::reasonToEnd() const
{
    return now() - m_startedAt > changeTime ? "timeout" : nullptr;
}

void LeadershipChange::start()
{
    m_record = m_owner->m_options.view.record(m_group);
    m_mustNotPause = m_record.isChanging;
    m_previousTerm = std::max(
            {m_record.term, m_options.seenTerm, m_owner->m_options.view.knownTerm(m_group)});
    m_owner->m_options.log.info("leadership-change-started",
                                {{"group", m_group},
                                 {"primary", m_record.primary},
                                 {"term", m_record.term},
                                 {"planned", m_options.isPlanned},
                                 {"resumed", m_record.isChanging},
                                 {"databases", m_owner->m_ports.groupSize(m_group)},
                                 {"confirmed", m_owner->m_options.view.isConfirmed(m_group)}});
    if (m_previousTerm == Term())
        requestTerms();
    else
        awaitSuccessor();
}

std::uint32_t LeadershipChange::synchronousReplicas() const
{
    return m_owner->m_ports.synchronousReplicas(m_group);
}

// A primary that is leaving serves on until a replica follows it, if a replica must hold each
// acknowledged commit: once it is stopped, no other may be promoted.
void LeadershipChange::awaitSuccessor()
{
    const LeadershipView &view = m_owner->m_options.view;
    const bool isAnnounced = view.record(m_group).isChanging || !view.isConfirmed(m_group);
    const std::vector<SuccessionCandidate> candidates = m_owner->m_ports.databases(m_group);
    const bool mustWait = m_options.isPlanned && !isAnnounced && synchronousReplicas() > 0;
    if (!mustWait || candidates.empty()) {
        announce();
        return;
    }
    query(candidates, false, &LeadershipChange::evaluateSuccessors);
}

void LeadershipChange::evaluateSuccessors(const DatabaseAnswers &answers)
{
    std::optional<LogPoint> position;
    for (const DatabaseAnswer &answer : answers) {
        const bool leads = answer.status && answer.status->role == Role::Primary;
        if (leads && answer.database == m_record.primary)
            position = answer.status->received;
    }
    // Replicas receive a commit some time after the primary.
    const std::optional<LogPoint> earlier = std::exchange(m_servingPosition, position);
    const bool isFollowed = earlier && successorChoice().isFollowed(answers, *earlier);
    // A primary that does not answer does not serve either.
    if (!position || isFollowed) {
        announce();
        return;
    }
    if (earlier && !std::exchange(m_hasLoggedWait, true)) {
        m_owner->m_options.log.info("planned-change-waits", {{"group", m_group},
                                                             {"primary", m_record.primary},
                                                             {"position", earlier->position},
                                                             {"answers", answers.size()}});
    }
    after(stepRetry * 2, &LeadershipChange::awaitSuccessor);
}

void LeadershipChange::requestTerms()
{
    const std::vector<SuccessionCandidate> candidates = m_owner->m_ports.databases(m_group);
    // One database may be lost, so the replies of all others are enough to determine the group's
    // term. After the timeout, one reply is enough.
    const std::size_t enough = std::max<std::size_t>(1, candidates.size() - 1);
    const auto replies = std::make_shared<std::size_t>(0);
    for (const SuccessionCandidate &candidate : candidates) {
        m_owner->m_ports.command(
                candidate.database, {.kind = StatementKind::Status}, commandTimeout,
                [weak = weak_from_this(), replies,
                 enough](const std::optional<StatementReply> &reply) {
                    const auto self = weak.lock();
                    if (!self || !self->canContinue() || !reply || !reply->status)
                        return;
                    self->m_previousTerm = std::max(self->m_previousTerm, reply->status->term);
                    if (++*replies == enough)
                        self->announceIfTermKnown();
                });
    }
    after(commandTimeout + stepRetry, &LeadershipChange::announceIfTermKnown);
}

void LeadershipChange::announceIfTermKnown()
{
    if (m_isTermDetermined)
        return;
    if (m_previousTerm == Term()) {
        requestTerms();
        return;
    }
    m_isTermDetermined = true;
    awaitSuccessor();
}

// The base of the previous term, unless the record is of an earlier one.
std::optional<LogPoint> LeadershipChange::knownBase() const
{
    const LeadershipRecord record = m_owner->m_options.view.record(m_group);
    return record.term == m_previousTerm ? record.base : std::nullopt;
}

void LeadershipChange::announce()
{
    LeadershipRecord record = m_owner->m_options.view.record(m_group);
    // No lease covers an unconfirmed record, so the change of its primary needs no announcement.
    const bool isAnnounced = record.isChanging && record.term >= m_previousTerm;
    if (isAnnounced || !m_owner->m_options.view.isConfirmed(m_group)) {
        m_record = record;
        announced();
        return;
    }
    record.isChanging = true;
    record.base = knownBase();
    record.term = m_previousTerm;
    record.epoch = m_owner->m_options.view.epoch();
    m_owner->m_ports.write({leadershipKey(m_group), encodeLeadership(record), record.version},
                           [weak = weak_from_this(), record](const Result<WriteAnswer> &answer) {
                               const auto self = weak.lock();
                               if (!self || !self->canContinue())
                                   return;
                               if (answer && answer.value().written) {
                                   self->m_record = record;
                                   self->m_record.version = answer.value().version;
                                   self->m_owner->m_options.view.applyRecord(self->m_record);
                                   self->m_owner->m_ports.refresh();
                                   self->announced();
                                   return;
                               }
                               // Either another VM wrote the record or the answer was lost; the
                               // next read shows which.
                               self->m_owner->m_ports.refresh();
                               self->after(stepRetry * 2, &LeadershipChange::announce);
                           });
}

void LeadershipChange::announced()
{
    m_announcedAt = now();
    if (m_owner->m_ports.leaseHolders) {
        m_owner->m_ports.leaseHolders(
                [weak = weak_from_this()](std::vector<VmIncarnation> holders) {
                    const auto self = weak.lock();
                    if (self && self->m_isRunning)
                        self->m_leaseHolders = std::move(holders);
                });
    }
    // In a planned change the primary serves until the leases have expired. A lost primary does not
    // serve, so the change is prepared in the meantime.
    if (m_options.isPlanned)
        stopWhenSafe();
    else
        stopPreviousPrimary();
}

bool LeadershipChange::mayPromote() const
{
    return m_options.hasNoOtherPromoter ? m_owner->holdsPromotionLock() : m_owner->mayPromote();
}

// Whether no VM relies any more on records that it read before the announcement.
bool LeadershipChange::areOldRecordsObsolete() const
{
    const bool isAnnounced = m_owner->m_options.view.isConfirmed(m_group);
    if (!isAnnounced)
        return now() >= m_owner->m_earlierLeasesEndAt;
    return now() >= m_announcedAt + leadershipLease + leadershipMargin || haveAllRead();
}

bool LeadershipChange::haveAllRead() const
{
    return m_leaseHolders
           && std::ranges::all_of(*m_leaseHolders, [this](const VmIncarnation &holder) {
                  return m_owner->m_ports.hasRead(holder, m_group, m_record.version);
              });
}

void LeadershipChange::stopWhenSafe()
{
    if (areOldRecordsObsolete())
        stopPreviousPrimary();
    else
        after(stepRetry, &LeadershipChange::stopWhenSafe);
}

void LeadershipChange::stopPreviousPrimary()
{
    if (m_record.primary.isEmpty()) {
        queryDatabases();
        return;
    }
    // Demotes it at a term above its own. The new primary must reach its last log position, unless
    // none does so within catchUpTime.
    m_owner->m_ports.command(
            m_record.primary, {.kind = StatementKind::Demote, .term = m_previousTerm.next()},
            commandTimeout, [weak = weak_from_this()](const std::optional<StatementReply> &reply) {
                const auto self = weak.lock();
                if (!self || !self->canContinue())
                    return;
                if (reply && reply->status && reply->status->role == Role::Replica)
                    self->m_previousPosition = reply->status->received;
                self->m_isPreviousUnresponsive = !reply;
                self->m_catchUpUntil = self->now() + catchUpTime;
                self->queryDatabases();
            });
}

void LeadershipChange::queryDatabases()
{
    std::vector<SuccessionCandidate> candidates = m_owner->m_ports.databases(m_group);
    if (candidates.empty()) {
        after(stepRetry * 2, &LeadershipChange::queryDatabases);
        return;
    }
    if (std::exchange(m_isPreviousUnresponsive, false) && candidates.size() > 1) {
        std::erase_if(candidates, [this](const SuccessionCandidate &candidate) {
            return candidate.database == m_record.primary;
        });
    }
    // Replicas keep receiving until one has the whole log of the stopped primary or catchUpTime is
    // over. If the previous primary did not report its position, the replicas are paused at once,
    // as it could still send commits to some of them.
    const bool mustPause = (!m_previousPosition || m_isCatchUpOver) && !m_mustNotPause;
    m_mustNotPause = false;
    query(candidates, mustPause, &LeadershipChange::evaluateAnswers);
}

} // namespace fescuespring::detail
