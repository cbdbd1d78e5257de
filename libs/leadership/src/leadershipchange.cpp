#include "leadershipchange.h"

#include <algorithm>
#include <utility>

namespace fescuespring::detail {

namespace {

constexpr Duration stepRetry = std::chrono::milliseconds(50);
constexpr Duration commandTimeout = std::chrono::milliseconds(250);

// Longest wait for a replica to receive what the stopped primary had.
constexpr Duration catchUpTime = std::chrono::milliseconds(600);

// Time from an order that is known to have arrived until it has taken effect, with room.
constexpr Duration promotionTime = std::chrono::milliseconds(1500);

// A change that has not come to an end by then starts anew.
constexpr Duration changeTime = std::chrono::seconds(12);

} // namespace

LeadershipChange::LeadershipChange(Succession &owner, GroupId group, bool isPlanned)
    : m_owner(&owner)
    , m_group(std::move(group))
    , m_isPlanned(isPlanned)
    , m_startedAt(owner.m_options.timers.now())
{}

void LeadershipChange::abandon()
{
    m_isRunning = false;
    m_owner = nullptr;
}

Instant LeadershipChange::now() const
{
    return m_owner->m_options.timers.now();
}

void LeadershipChange::after(Duration delay, void (LeadershipChange::*step)())
{
    m_owner->m_options.timers.after(delay, [weak = weak_from_this(), step] {
        const auto self = weak.lock();
        if (self && self->goesOn())
            (self.get()->*step)();
    });
}

bool LeadershipChange::goesOn()
{
    if (!m_isRunning)
        return false;
    if (!m_owner->holdsDuty()) {
        end("duty-lost");
        return false;
    }
    if (now() - m_startedAt > changeTime) {
        end("timeout");
        return false;
    }
    return true;
}

void LeadershipChange::start()
{
    m_record = m_owner->m_options.view.record(m_group);
    m_oldTerm = std::max(m_record.term, m_owner->m_options.view.knownTerm(m_group));
    m_owner->m_options.log.info("leadership-change-begins", {{"group", m_group},
                                                             {"primary", m_record.primary},
                                                             {"term", m_record.term},
                                                             {"planned", m_isPlanned},
                                                             {"resumed", m_record.isChanging}});
    if (m_oldTerm == Term())
        learnTerm();
    else
        announce();
}

void LeadershipChange::learnTerm()
{
    const std::vector<SuccessionCandidate> candidates = m_owner->m_ports.databases(m_group);
    // One may be lost; the others know its term.
    const std::size_t enough = std::max<std::size_t>(1, candidates.size() - 1);
    const auto heard = std::make_shared<std::size_t>(0);
    for (const SuccessionCandidate &candidate : candidates) {
        m_owner->m_ports.command(
                candidate.database, {.kind = StatementKind::Status}, commandTimeout,
                [weak = weak_from_this(), heard,
                 enough](const std::optional<StatementReply> &reply) {
                    const auto self = weak.lock();
                    if (!self || !self->goesOn() || !reply || !reply->status)
                        return;
                    self->m_oldTerm = std::max(self->m_oldTerm, reply->status->term);
                    if (++*heard == enough)
                        self->termLearnt();
                });
    }
    after(commandTimeout + stepRetry, &LeadershipChange::termLearnt);
}

void LeadershipChange::termLearnt()
{
    if (m_isTermLearnt)
        return;
    if (m_oldTerm == Term()) {
        learnTerm();
        return;
    }
    m_isTermLearnt = true;
    announce();
}

void LeadershipChange::announce()
{
    LeadershipRecord record = m_owner->m_options.view.record(m_group);
    if (record.isChanging) {
        m_record = record;
        announced();
        return;
    }
    record.isChanging = true;
    record.term = m_oldTerm;
    m_owner->m_ports.write({leadershipKey(m_group), encodeLeadership(record), record.version},
                           [weak = weak_from_this(), record](const Result<WriteAnswer> &answer) {
                               const auto self = weak.lock();
                               if (!self || !self->goesOn())
                                   return;
                               if (answer && answer.value().written) {
                                   self->m_record = record;
                                   self->m_record.version = answer.value().version;
                                   self->m_owner->m_options.view.learn(self->m_record);
                                   self->m_owner->m_ports.refresh();
                                   self->announced();
                                   return;
                               }
                               // Another writer, or an answer lost: what was read next tells.
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
    // A primary that is leaving serves until others cannot trust old records any more; for one that
    // is lost everything is made ready meanwhile.
    if (m_isPlanned)
        stopWhenLapsed();
    else
        stopOldPrimary();
}

// Whether nobody trusts any more what was read before the announcement.
bool LeadershipChange::isLapsed() const
{
    return now() >= m_announcedAt + leadershipLease + leadershipMargin || haveAllRead();
}

bool LeadershipChange::haveAllRead() const
{
    return m_leaseHolders
           && std::ranges::all_of(*m_leaseHolders, [this](const VmIncarnation &holder) {
                  return m_owner->m_ports.hasRead(holder, m_group, m_record.version);
              });
}

void LeadershipChange::stopWhenLapsed()
{
    if (isLapsed())
        stopOldPrimary();
    else
        after(stepRetry, &LeadershipChange::stopWhenLapsed);
}

void LeadershipChange::stopOldPrimary()
{
    // The term to stop it at lies above its own; what it had is the goal of the successor.
    m_owner->m_ports.command(
            m_record.primary, {.kind = StatementKind::Demote, .term = m_oldTerm.next()},
            commandTimeout, [weak = weak_from_this()](const std::optional<StatementReply> &reply) {
                const auto self = weak.lock();
                if (!self || !self->goesOn())
                    return;
                if (reply && reply->status && reply->status->role == Role::Replica)
                    self->m_oldPosition = reply->status->received;
                self->m_isOldSilent = !reply;
                self->m_catchUpUntil = self->now() + catchUpTime;
                self->askAll();
            });
}

void LeadershipChange::askAll()
{
    std::vector<SuccessionCandidate> candidates = m_owner->m_ports.databases(m_group);
    if (candidates.empty()) {
        after(stepRetry * 2, &LeadershipChange::askAll);
        return;
    }
    if (std::exchange(m_isOldSilent, false) && candidates.size() > 1) {
        std::erase_if(candidates, [this](const SuccessionCandidate &candidate) {
            return candidate.database == m_record.primary;
        });
    }
    const auto answers = std::make_shared<std::vector<Answer>>();
    // Replicas go on receiving until one has what the stopped primary had; if that does not answer,
    // its commits must not go on arriving at some replica only.
    const bool mustPause = (!m_oldPosition || m_isCaughtUp) && !m_isKeeping;
    m_isKeeping = false;
    for (const SuccessionCandidate &candidate : candidates) {
        Statement statement{.kind = StatementKind::Status};
        if (mustPause && candidate.database != m_record.primary)
            statement = {.kind = StatementKind::Pause, .term = m_oldTerm.next()};
        m_owner->m_ports.command(
                candidate.database, statement, commandTimeout,
                [weak = weak_from_this(), answers, asked = candidates.size(),
                 database = candidate.database](const std::optional<StatementReply> &reply) {
                    const auto self = weak.lock();
                    if (!self || !self->goesOn())
                        return;
                    self->answered(
                            answers, asked,
                            {database, reply && reply->isSuccess() ? reply->status : std::nullopt});
                });
    }
}

void LeadershipChange::answered(const std::shared_ptr<std::vector<Answer>> &answers,
                                std::size_t asked, Answer answer)
{
    answers->push_back(std::move(answer));
    if (answers->size() == asked)
        choose(*answers);
}

bool LeadershipChange::isDraining(const DatabaseId &database) const
{
    for (const SuccessionCandidate &candidate : m_owner->m_ports.databases(m_group)) {
        if (candidate.database == database)
            return candidate.isDraining;
    }
    return true;
}

const LeadershipChange::Answer *LeadershipChange::furthest(const std::vector<Answer> &answers) const
{
    const Answer *best = nullptr;
    for (const Answer &answer : answers) {
        if (!answer.status || m_refused.contains(answer.database))
            continue;
        // The old primary comes last: it is leaving, was lost, or is being replaced.
        const bool isOld = answer.database == m_record.primary;
        if (isOld && (m_isPlanned || answers.size() > 1))
            continue;
        if (!best || answer.status->received > best->status->received
            || (answer.status->received == best->status->received && isDraining(best->database)))
            best = &answer;
    }
    return best;
}

// The old primary in another life: a database that leads the old term under another name. Only
// where every database answers and none knows a later term, so that nobody was promoted meanwhile.
const LeadershipChange::Answer *
LeadershipChange::returnedPrimary(const std::vector<Answer> &answers) const
{
    const Answer *returned = nullptr;
    for (const Answer &answer : answers) {
        if (!answer.status || answer.status->term > m_oldTerm)
            return nullptr;
        if (answer.status->role == Role::Primary && answer.status->term == m_oldTerm)
            returned = &answer;
    }
    const bool isOther = returned && returned->database != m_record.primary;
    return isOther && !isDraining(returned->database) ? returned : nullptr;
}

// It has its log, so nothing is lost, and the platform takes it for the primary still: it is
// written down as such, once no order of a former holder can be under way and the others receive
// again.
void LeadershipChange::keep(const DatabaseId &database, const std::vector<Answer> &answers)
{
    if (!m_owner->mayOrder()) {
        after(stepRetry, &LeadershipChange::askAll);
        return;
    }
    bool isHeld = false;
    for (const Answer &answer : answers) {
        if (answer.status->heldTerm <= m_oldTerm)
            continue;
        isHeld = true;
        m_owner->m_ports.command(answer.database, {.kind = StatementKind::Resume}, commandTimeout,
                                 [](const std::optional<StatementReply> &) {});
    }
    m_isKeeping = true;
    if (isHeld) {
        after(stepRetry, &LeadershipChange::askAll);
        return;
    }
    m_owner->m_options.log.info("returned-primary-kept", {{"group", m_group},
                                                          {"database", database},
                                                          {"term", m_oldTerm},
                                                          {"former", m_record.primary},
                                                          {"age", now() - m_startedAt}});
    recordNew(database, m_oldTerm);
}

void LeadershipChange::choose(const std::vector<Answer> &answers)
{
    for (const Answer &answer : answers) {
        const bool leadsLater = answer.status && answer.status->role == Role::Primary
                                && answer.status->term > m_oldTerm;
        if (leadsLater) {
            recordNew(answer.database, answer.status->term);
            return;
        }
    }
    if (const Answer *returned = returnedPrimary(answers)) {
        keep(returned->database, answers);
        return;
    }
    const Answer *best = furthest(answers);
    if (!best) {
        m_refused.clear();
        after(stepRetry * 2, &LeadershipChange::askAll);
        return;
    }
    const bool isBehind = m_oldPosition && best->status->received < *m_oldPosition;
    const bool isStaying = !isDraining(best->database);
    if ((isBehind || !isStaying) && now() < m_catchUpUntil) {
        after(stepRetry / 2, &LeadershipChange::askAll);
        return;
    }
    if (m_oldPosition && !m_isCaughtUp) {
        m_isCaughtUp = true;
        askAll();
        return;
    }
    if (!isMajorityHeld(answers)) {
        m_owner->m_options.counters.counter("fescuespring_changes_without_majority_total").add();
        after(stepRetry, &LeadershipChange::askAll);
        return;
    }
    m_chosen = best->database;
    orderWhenLapsed();
}

// Those that hold for a later term receive nothing, so the choice stays right meanwhile.
void LeadershipChange::orderWhenLapsed()
{
    if (isLapsed())
        order(m_chosen);
    else
        after(stepRetry, &LeadershipChange::orderWhenLapsed);
}

bool LeadershipChange::isMajorityHeld(const std::vector<Answer> &answers) const
{
    std::size_t held = 0;
    for (const Answer &answer : answers) {
        if (!answer.status)
            continue;
        const bool isStopped =
                answer.database == m_record.primary && answer.status->role == Role::Replica;
        if (isStopped || answer.status->heldTerm > m_oldTerm)
            ++held;
    }
    return held * 2 > m_owner->m_ports.groupSize(m_group);
}

void LeadershipChange::order(const DatabaseId &database)
{
    if (!m_owner->mayOrder()) {
        after(stepRetry, &LeadershipChange::askAll);
        return;
    }
    m_orderedAt = now();
    const std::uint64_t fencingToken = m_owner->m_dutyVersion.value();
    m_owner->m_options.log.info("promotion-ordered", {{"group", m_group},
                                                      {"database", database},
                                                      {"token", fencingToken},
                                                      {"old-term", m_oldTerm},
                                                      {"old-stopped", m_oldPosition.has_value()},
                                                      {"all-read", haveAllRead()},
                                                      {"age", now() - m_startedAt}});
    m_owner->m_ports.requestPromotion(m_group, database, fencingToken,
                                      [weak = weak_from_this()](PromotionOutcome end) {
                                          const auto self = weak.lock();
                                          if (self && self->goesOn())
                                              self->ordered(end);
                                      });
}

void LeadershipChange::ordered(PromotionOutcome end)
{
    m_owner->m_options.log.info(
            "promotion-answered",
            {{"group", m_group}, {"database", m_chosen}, {"outcome", toString(end)}});
    if (end == PromotionOutcome::Refused) {
        m_refused.insert(m_chosen);
        after(stepRetry, &LeadershipChange::askAll);
        return;
    }
    if (end == PromotionOutcome::NotDone) {
        after(stepRetry * 2, &LeadershipChange::askAll);
        return;
    }
    verify();
}

void LeadershipChange::verify()
{
    if (now() - m_orderedAt > promotionTime) {
        m_owner->m_options.log.warning(
                "promotion-not-seen",
                {{"group", m_group}, {"database", m_chosen}, {"seen", m_lastSeen}});
        after(Duration(0), &LeadershipChange::askAll);
        return;
    }
    m_owner->m_ports.command(m_chosen, {.kind = StatementKind::Status}, commandTimeout,
                             [weak = weak_from_this()](const std::optional<StatementReply> &reply) {
                                 const auto self = weak.lock();
                                 if (!self || !self->goesOn())
                                     return;
                                 if (reply && !reply->rows.empty())
                                     self->m_lastSeen = reply->rows.front();
                                 const bool leads = reply && reply->status
                                                    && reply->status->role == Role::Primary
                                                    && reply->status->term > self->m_oldTerm;
                                 if (leads)
                                     self->recordNew(self->m_chosen, reply->status->term);
                                 else
                                     self->after(stepRetry / 2, &LeadershipChange::verify);
                             });
}

void LeadershipChange::recordNew(const DatabaseId &database, Term term)
{
    LeadershipRecord record = m_record;
    record.isChanging = false;
    record.primary = database;
    record.term = term;
    m_owner->m_ports.write(
            {leadershipKey(m_group), encodeLeadership(record), record.version},
            [weak = weak_from_this(), record, database, term](const Result<WriteAnswer> &answer) {
                const auto self = weak.lock();
                if (!self || !self->goesOn())
                    return;
                self->m_owner->m_ports.refresh();
                if (answer && answer.value().written) {
                    LeadershipRecord written = record;
                    written.version = answer.value().version;
                    self->m_owner->m_options.view.learn(written);
                    self->m_chosen = database;
                    self->end("recorded");
                    return;
                }
                const LeadershipRecord seen = self->m_owner->m_options.view.record(self->m_group);
                if (!seen.isChanging) {
                    self->end("recorded-already");
                    return;
                }
                self->m_record = seen;
                self->m_owner->m_options.timers.after(stepRetry, [weak, database, term] {
                    const auto later = weak.lock();
                    if (later && later->goesOn())
                        later->recordNew(database, term);
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
