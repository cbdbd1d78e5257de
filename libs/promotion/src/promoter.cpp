#include "promotion/promoter.h"

#include <algorithm>
#include <array>

namespace fescuespring {

namespace {

constexpr std::array stepNames{"idle",        "reading-record", "claiming",  "draining",
                               "catching-up", "fencing",        "promoting", "recording"};
constexpr std::array actionNames{"read-record", "write-record", "hold-writes", "release-writes",
                                 "probe",       "fence",        "promote",     "follow"};
constexpr std::array endNames{"promoted", "outbid", "timed-out"};

// A term taken without the store lies this far above every term seen, and up to unaidedSpread
// higher at random, so that neither the store, which counts by one, nor another VM comes upon it.
constexpr std::uint64_t unaidedDistance = 1024;
constexpr std::uint64_t unaidedSpread = std::uint64_t{1} << 24;

std::string describePoint(LogPoint point)
{
    return std::to_string(point.term.value()) + "." + std::to_string(point.position.value());
}

} // namespace

const char *toString(PromotionStep step)
{
    return stepNames[static_cast<std::size_t>(step)];
}

const char *toString(PromotionActionKind kind)
{
    return actionNames[static_cast<std::size_t>(kind)];
}

const char *toString(PromotionEnd end)
{
    return endNames[static_cast<std::size_t>(end)];
}

Promoter::Promoter(PromoterOptions options)
    : m_options(std::move(options))
{}

PromotionActions Promoter::start(const PromotionRequest &request, const GroupView &view,
                                 Instant now)
{
    if (isChanging())
        return {};
    const auto &databases = view.databases();
    const bool knowsAny =
            std::any_of(databases.begin(), databases.end(),
                        [](const DatabaseView &database) { return database.status.has_value(); });
    if (!knowsAny)
        return {};
    m_request = request;
    m_members.clear();
    for (const DatabaseView &database : databases) {
        const DatabaseSite &site = database.site;
        m_members.push_back({.database = site.database,
                             .leaving = site.leaving || site.database == request.leaving});
    }
    m_highest = std::max(view.highestTerm(), lastTerm(view.history()));
    m_term = Term();
    m_attempt = 0;
    m_stored.reset();
    m_chosen = DatabaseId();
    m_majorityAt.reset();
    m_report = {.kind = request.kind,
                .detect = request.foundAt - request.silentSince,
                .decide = now - request.foundAt};
    m_partBegan = now;
    enter(PromotionStep::ReadingRecord, m_options.storePatience, now);
    return readRecord(now);
}

PromotionActions Promoter::readRecord(Instant now)
{
    if (m_step == PromotionStep::Claiming)
        m_step = PromotionStep::ReadingRecord;
    repeatAfter(m_options.callRetry, now);
    m_callOpen = true;
    return {{.kind = PromotionActionKind::ReadRecord, .call = ++m_call}};
}

PromotionActions Promoter::recordRead(std::uint64_t call, const std::optional<StoredRecord> &stored,
                                      Instant now)
{
    if (!closeCall(call))
        return {};
    m_stored = stored;
    if (m_step == PromotionStep::Recording)
        return recordReadWhileRecording(now);
    if (m_step != PromotionStep::ReadingRecord)
        return {};
    if (!stored)
        return claim(stored, now);
    if (isOurs(stored->record))
        return claimed(now);
    if (mustYield(stored->record, now))
        return end(PromotionEnd::Outbid, now);
    return claim(stored, now);
}

bool Promoter::isOurs(const GroupRecord &record) const
{
    return m_attempt != 0 && record.term == m_term && record.promoter == m_options.vm
           && record.attempt == m_attempt;
}

bool Promoter::mustYield(const GroupRecord &record, Instant now)
{
    if (record.term <= m_highest || record.promoter == m_options.vm)
        return false;
    if (record.term != m_yieldedTo) {
        m_yieldedTo = record.term;
        m_yieldedAt = now;
        return true;
    }
    return now - m_yieldedAt < m_options.takeoverAfter;
}

PromotionActions Promoter::claim(const std::optional<StoredRecord> &stored, Instant)
{
    if (stored)
        m_highest = std::max(m_highest, stored->record.term);
    m_term = m_highest.next();
    m_attempt = m_options.random() | 1;
    m_step = PromotionStep::Claiming;
    m_callOpen = true;
    return {{.kind = PromotionActionKind::WriteRecord,
             .term = m_term,
             .record = recordNow(RecordPhase::Claimed),
             .ifVersion = stored ? stored->version : ObjectVersion(),
             .call = ++m_call}};
}

PromotionActions Promoter::claimUnaided(Instant now)
{
    m_callOpen = false;
    m_stored.reset();
    m_report.unaided = true;
    m_term = Term(m_highest.value() + unaidedDistance + m_options.random() % unaidedSpread);
    return claimed(now);
}

PromotionActions Promoter::recordWritten(std::uint64_t call, ObjectVersion version, Instant now)
{
    if (!closeCall(call))
        return {};
    if (m_step == PromotionStep::Recording) {
        m_step = PromotionStep::Idle;
        return {};
    }
    if (m_step != PromotionStep::Claiming)
        return {};
    m_stored = StoredRecord{.record = recordNow(RecordPhase::Claimed), .version = version};
    return claimed(now);
}

PromotionActions Promoter::recordConflict(std::uint64_t call, Instant now)
{
    return closeCall(call) ? readRecord(now) : PromotionActions();
}

PromotionActions Promoter::storeFailed(std::uint64_t call, Instant now)
{
    if (!closeCall(call))
        return {};
    m_stored.reset();
    repeatAfter(m_step == PromotionStep::Recording ? m_options.recordRetry : m_options.callRetry,
                now);
    return {};
}

PromotionActions Promoter::claimed(Instant now)
{
    chargeTime(&PromotionReport::store, now);
    return m_request.kind == PromotionKind::Planned ? drain(now) : fence(now);
}

PromotionActions Promoter::drain(Instant now)
{
    enter(PromotionStep::Draining, m_options.drainTimeout, now);
    m_nextRepeat = m_stepEnds;
    m_holding = true;
    return {{.kind = PromotionActionKind::HoldWrites}};
}

PromotionActions Promoter::drained(Instant now)
{
    if (m_step != PromotionStep::Draining)
        return {};
    m_drainedAt = now;
    for (Member &member : m_members)
        member.heard.reset();
    enter(PromotionStep::CatchingUp, m_options.catchUpTimeout, now);
    return catchUp(now);
}

PromotionActions Promoter::catchUp(Instant now)
{
    if (isCaughtUp()) {
        chargeTime(&PromotionReport::drain, now);
        return fence(now);
    }
    if (now < m_nextRepeat)
        return {};
    repeatAfter(m_options.catchUpPoll, now);
    PromotionActions actions;
    for (const Member &member : m_members)
        actions.push_back(databaseCall(PromotionActionKind::Probe, member.database));
    return actions;
}

bool Promoter::isCaughtUp() const
{
    const auto old = std::find_if(m_members.begin(), m_members.end(), [&](const Member &member) {
        return member.database == m_request.leaving;
    });
    if (old == m_members.end() || !old->heard)
        return false;
    return std::any_of(m_members.begin(), m_members.end(), [&](const Member &member) {
        return &member != &*old && !member.leaving && member.heard
               && member.heard->received >= old->heard->received;
    });
}

PromotionActions Promoter::fence(Instant now)
{
    enter(PromotionStep::Fencing, m_options.fenceTimeout, now);
    m_majorityAt.reset();
    for (Member &member : m_members)
        member.fenced.reset();
    return tickFencing(now);
}

PromotionActions Promoter::tickFencing(Instant now)
{
    if (isFencingDone(now))
        return choose(now);
    if (now < m_nextRepeat)
        return {};
    repeatAfter(m_options.callRetry, now);
    PromotionActions actions;
    for (const Member &member : m_members) {
        if (!member.fenced)
            actions.push_back(databaseCall(PromotionActionKind::Fence, member.database));
    }
    return actions;
}

std::size_t Promoter::fencedCount() const
{
    const auto count = std::count_if(m_members.begin(), m_members.end(), [](const Member &member) {
        return member.fenced.has_value();
    });
    return static_cast<std::size_t>(count);
}

bool Promoter::isFencingDone(Instant now) const
{
    if (fencedCount() == m_members.size())
        return true;
    if (!m_majorityAt)
        return false;
    if (m_request.kind == PromotionKind::Planned) {
        const bool isOldFenced =
                std::any_of(m_members.begin(), m_members.end(), [&](const Member &member) {
                    return member.database == m_request.leaving && member.fenced;
                });
        return isOldFenced || now >= m_stepEnds;
    }
    if (!m_request.avoid.isEmpty() && !mayAvoid())
        return now >= m_stepEnds;
    return now >= *m_majorityAt + m_options.fenceGrace;
}

// Whether the choice is safe without the database to be avoided: a majority of the others is
// fenced.
bool Promoter::mayAvoid() const
{
    const auto others =
            std::count_if(m_members.begin(), m_members.end(), [&](const Member &member) {
                return member.fenced && member.database != m_request.avoid;
            });
    return static_cast<std::size_t>(others) >= m_members.size() / 2 + 1;
}

const Promoter::Member *Promoter::furthestFenced() const
{
    const bool isAvoiding = mayAvoid();
    const Member *best = nullptr;
    for (const Member &member : m_members) {
        if (!member.fenced || (isAvoiding && member.database == m_request.avoid))
            continue;
        const bool isBetter = !best || member.fenced->received > best->fenced->received
                              || (member.fenced->received == best->fenced->received && best->leaving
                                  && !member.leaving);
        if (isBetter)
            best = &member;
    }
    return best;
}

PromotionActions Promoter::choose(Instant now)
{
    chargeTime(&PromotionReport::fence, now);
    m_chosen = furthestFenced()->database;
    enter(PromotionStep::Promoting, m_options.promoteTimeout, now);
    repeatAfter(m_options.callRetry, now);
    return {databaseCall(PromotionActionKind::Promote, m_chosen)};
}

PromotionActions Promoter::statusHeard(const DatabaseStatus &status, Instant askedAt, Instant now)
{
    Member *heard = member(status.database);
    if (!heard || !isCallingDatabases())
        return {};
    if (status.term > m_term)
        return end(PromotionEnd::Outbid, now);
    if (m_step == PromotionStep::CatchingUp && askedAt >= m_drainedAt) {
        heard->heard = status;
        return catchUp(now);
    }
    if (m_step == PromotionStep::Fencing && status.term == m_term) {
        heard->fenced = status;
        if (!m_majorityAt && fencedCount() >= m_members.size() / 2 + 1)
            m_majorityAt = now;
        return tickFencing(now);
    }
    const bool isChosen = m_step == PromotionStep::Promoting && status.database == m_chosen;
    if (isChosen && status.term == m_term && isPrimaryOfItsTerm(status))
        return promoted(status, now);
    return {};
}

PromotionActions Promoter::promoted(const DatabaseStatus &status, Instant now)
{
    chargeTime(&PromotionReport::promote, now);
    m_primaryStatus = status;
    PromotionActions actions;
    for (const Member &member : m_members) {
        if (member.database == m_chosen)
            continue;
        PromotionAction follow = databaseCall(PromotionActionKind::Follow, member.database);
        follow.primary = m_chosen;
        actions.push_back(std::move(follow));
    }
    PromotionActions ending = end(PromotionEnd::Promoted, now);
    actions.insert(actions.end(), ending.begin(), ending.end());
    m_step = PromotionStep::Recording;
    PromotionActions recording = m_stored ? writeRecord(now) : readRecord(now);
    actions.insert(actions.end(), recording.begin(), recording.end());
    return actions;
}

PromotionActions Promoter::writeRecord(Instant)
{
    m_callOpen = true;
    return {{.kind = PromotionActionKind::WriteRecord,
             .term = m_term,
             .record = recordNow(RecordPhase::Stable),
             .ifVersion = m_stored ? m_stored->version : ObjectVersion(),
             .call = ++m_call}};
}

PromotionActions Promoter::recordReadWhileRecording(Instant now)
{
    const bool isUpToDate = m_stored
                            && (m_stored->record.term > m_term
                                || (m_stored->record.term == m_term
                                    && m_stored->record.phase == RecordPhase::Stable));
    if (!isUpToDate)
        return writeRecord(now);
    m_step = PromotionStep::Idle;
    return {};
}

PromotionActions Promoter::tick(Instant now)
{
    switch (m_step) {
    case PromotionStep::Idle:
        return {};
    case PromotionStep::ReadingRecord:
    case PromotionStep::Claiming:
    case PromotionStep::Recording:
        return tickStore(now);
    default:
        break;
    }
    if (m_step == PromotionStep::Fencing && isFencingDone(now))
        return choose(now);
    if (now >= m_stepEnds)
        return timedOut(now);
    switch (m_step) {
    case PromotionStep::CatchingUp:
        return catchUp(now);
    case PromotionStep::Fencing:
        return tickFencing(now);
    case PromotionStep::Promoting:
        if (now < m_nextRepeat)
            return {};
        repeatAfter(m_options.callRetry, now);
        return {databaseCall(PromotionActionKind::Promote, m_chosen)};
    default:
        return {};
    }
}

PromotionActions Promoter::tickStore(Instant now)
{
    if (m_step != PromotionStep::Recording && now >= m_stepEnds) {
        const bool mayGoOn = m_options.mayActUnaided && m_request.kind == PromotionKind::Unplanned;
        return mayGoOn ? claimUnaided(now) : timedOut(now);
    }
    if (m_callOpen || now < m_nextRepeat)
        return {};
    return readRecord(now);
}

PromotionActions Promoter::timedOut(Instant now)
{
    return end(PromotionEnd::TimedOut, now);
}

PromotionActions Promoter::end(PromotionEnd end, Instant)
{
    m_report.end = end;
    m_report.term = m_term;
    if (end == PromotionEnd::Promoted)
        m_report.primary = m_chosen;
    m_finished = m_report;
    m_step = PromotionStep::Idle;
    m_callOpen = false;
    if (!m_holding)
        return {};
    m_holding = false;
    return {{.kind = PromotionActionKind::ReleaseWrites}};
}

std::optional<Instant> Promoter::nextTimer() const
{
    switch (m_step) {
    case PromotionStep::Idle:
        return std::nullopt;
    case PromotionStep::Recording:
        return m_callOpen ? std::nullopt : std::optional(m_nextRepeat);
    case PromotionStep::ReadingRecord:
    case PromotionStep::Claiming:
        return m_callOpen ? m_stepEnds : std::min(m_stepEnds, m_nextRepeat);
    default:
        break;
    }
    Instant next = std::min(m_stepEnds, m_nextRepeat);
    const bool waitsForGrace = m_step == PromotionStep::Fencing && m_majorityAt
                               && m_request.kind == PromotionKind::Unplanned;
    return waitsForGrace ? std::min(next, *m_majorityAt + m_options.fenceGrace) : next;
}

std::optional<PromotionReport> Promoter::takeReport()
{
    return std::exchange(m_finished, std::nullopt);
}

std::string Promoter::describe() const
{
    std::string text = std::string(toString(m_step)) + " term " + std::to_string(m_term.value())
                       + " seen " + std::to_string(m_highest.value()) + " call "
                       + std::to_string(m_call) + (m_callOpen ? " open" : "");
    if (m_stored)
        text += " record " + std::to_string(m_stored->version.value());
    if (!m_chosen.isEmpty())
        text += " chosen " + m_chosen.value();
    if (m_yieldedTo != Term())
        text += " yielded " + std::to_string(m_yieldedTo.value());
    for (const Member &member : m_members) {
        if (member.fenced)
            text += " fenced " + member.database.value() + "@"
                    + describePoint(member.fenced->received);
    }
    return text;
}

bool Promoter::closeCall(std::uint64_t call)
{
    if (!m_callOpen || call != m_call)
        return false;
    m_callOpen = false;
    return true;
}

bool Promoter::isCallingDatabases() const
{
    switch (m_step) {
    case PromotionStep::Draining:
    case PromotionStep::CatchingUp:
    case PromotionStep::Fencing:
    case PromotionStep::Promoting:
        return true;
    default:
        return false;
    }
}

void Promoter::enter(PromotionStep step, Duration timeout, Instant now)
{
    m_step = step;
    m_stepEnds = now + timeout;
    m_nextRepeat = now;
}

void Promoter::repeatAfter(Duration time, Instant now)
{
    m_nextRepeat = now + time;
}

void Promoter::chargeTime(Duration PromotionReport::*part, Instant now)
{
    m_report.*part += now - m_partBegan;
    m_partBegan = now;
}

Promoter::Member *Promoter::member(const DatabaseId &database)
{
    const auto found = std::find_if(m_members.begin(), m_members.end(), [&](const Member &member) {
        return member.database == database;
    });
    return found == m_members.end() ? nullptr : &*found;
}

GroupRecord Promoter::recordNow(RecordPhase phase) const
{
    GroupRecord record{
            .term = m_term, .promoter = m_options.vm, .attempt = m_attempt, .phase = phase};
    if (phase == RecordPhase::Stable) {
        record.primary = m_chosen;
        record.history = m_primaryStatus.history;
    } else if (m_stored) {
        record.primary = m_stored->record.primary;
        record.history = m_stored->record.history;
    }
    return record;
}

PromotionAction Promoter::databaseCall(PromotionActionKind kind, const DatabaseId &database) const
{
    return {.kind = kind, .database = database, .term = m_term};
}

PromotionActions repointStragglers(const GroupView &view)
{
    const auto primary = view.primary();
    if (!primary || !view.find(primary->database)->reachable)
        return {};
    PromotionActions actions;
    for (const DatabaseView &database : view.databases()) {
        const bool isOther = database.site.database != primary->database;
        if (!isOther || !database.reachable || !database.status)
            continue;
        const DatabaseStatus &status = *database.status;
        const bool isInLine = status.role == Role::Replica && status.term == primary->term
                              && lastTerm(status.history) == primary->term;
        if (isInLine || status.term > primary->term)
            continue;
        actions.push_back({.kind = PromotionActionKind::Follow,
                           .database = database.site.database,
                           .term = primary->term,
                           .primary = primary->database});
    }
    return actions;
}

} // namespace fescuespring
