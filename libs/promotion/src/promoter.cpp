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
    const bool hasAnyStatus =
            std::any_of(databases.begin(), databases.end(),
                        [](const DatabaseView &database) { return database.status.has_value(); });
    if (!hasAnyStatus)
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
    m_partStartedAt = now;
    enter(PromotionStep::ReadingRecord, m_options.storeTimeout, now);
    return readRecord(now);
}

PromotionActions Promoter::claimed(Instant now)
{
    addPartTime(&PromotionReport::store, now);
    return m_request.kind == PromotionKind::Planned ? drain(now) : fence(now);
}

PromotionActions Promoter::drain(Instant now)
{
    enter(PromotionStep::Draining, m_options.drainTimeout, now);
    m_nextRepeat = m_stepDeadline;
    m_isHoldingWrites = true;
    return {{.kind = PromotionActionKind::HoldWrites}};
}

PromotionActions Promoter::drained(Instant now)
{
    if (m_step != PromotionStep::Draining)
        return {};
    m_drainedAt = now;
    for (Member &member : m_members)
        member.latest.reset();
    enter(PromotionStep::CatchingUp, m_options.catchUpTimeout, now);
    return catchUp(now);
}

PromotionActions Promoter::catchUp(Instant now)
{
    if (isCaughtUp()) {
        addPartTime(&PromotionReport::drain, now);
        return fence(now);
    }
    if (now < m_nextRepeat)
        return {};
    scheduleRepeat(m_options.catchUpPoll, now);
    PromotionActions actions;
    for (const Member &member : m_members)
        actions.push_back(databaseCall(PromotionActionKind::Probe, member.database));
    return actions;
}

bool Promoter::isCaughtUp() const
{
    const auto leaving =
            std::find_if(m_members.begin(), m_members.end(), [&](const Member &member) {
                return member.database == m_request.leaving;
            });
    if (leaving == m_members.end() || !leaving->latest)
        return false;
    return std::any_of(m_members.begin(), m_members.end(), [&](const Member &member) {
        return &member != &*leaving && !member.leaving && member.latest
               && member.latest->received >= leaving->latest->received;
    });
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
    if (now >= m_stepDeadline)
        return timedOut(now);
    switch (m_step) {
    case PromotionStep::CatchingUp:
        return catchUp(now);
    case PromotionStep::Fencing:
        return tickFencing(now);
    case PromotionStep::Promoting:
        if (now < m_nextRepeat)
            return {};
        scheduleRepeat(m_options.callRetry, now);
        return {databaseCall(PromotionActionKind::Promote, m_chosen)};
    default:
        return {};
    }
}

PromotionActions Promoter::tickStore(Instant now)
{
    if (m_step != PromotionStep::Recording && now >= m_stepDeadline) {
        const bool mayContinue =
                m_options.mayClaimWithoutStore && m_request.kind == PromotionKind::Unplanned;
        return mayContinue ? claimWithoutStore(now) : timedOut(now);
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
    if (!m_isHoldingWrites)
        return {};
    m_isHoldingWrites = false;
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
        return m_callOpen ? m_stepDeadline : std::min(m_stepDeadline, m_nextRepeat);
    default:
        break;
    }
    Instant next = std::min(m_stepDeadline, m_nextRepeat);
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
    m_stepDeadline = now + timeout;
    m_nextRepeat = now;
}

void Promoter::scheduleRepeat(Duration time, Instant now)
{
    m_nextRepeat = now + time;
}

void Promoter::addPartTime(Duration PromotionReport::*part, Instant now)
{
    m_report.*part += now - m_partStartedAt;
    m_partStartedAt = now;
}

Promoter::Member *Promoter::member(const DatabaseId &database)
{
    const auto found = std::find_if(m_members.begin(), m_members.end(), [&](const Member &member) {
        return member.database == database;
    });
    return found == m_members.end() ? nullptr : &*found;
}

GroupRecord Promoter::currentRecord(RecordPhase phase) const
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
        const bool isUpToDate = status.role == Role::Replica && status.term == primary->term
                                && lastTerm(status.history) == primary->term;
        if (isUpToDate || status.term > primary->term)
            continue;
        actions.push_back({.kind = PromotionActionKind::Follow,
                           .database = database.site.database,
                           .term = primary->term,
                           .primary = primary->database});
    }
    return actions;
}

} // namespace fescuespring
