#include "statementproxy/upstreams.h"

#include <utility>

// What the databases of a group show of who leads it, and up to where its log is known.

namespace fescuespring {

namespace {

// Knowledge of the databases that is older may miss one that has left: a database says that it
// leaves longer than this before it goes.
constexpr Duration oldestDirectory = std::chrono::seconds(5);

// After a round of statuses that showed nothing, the next one for reads that wait begins this much
// later: all of them wait for the same.
constexpr Duration evidenceRest = std::chrono::milliseconds(100);

// Points of a primary that are older are not handed to other VMs.
constexpr Duration oldestSharedFloor = std::chrono::milliseconds(1200);

} // namespace

TermEvidence::Electorate Upstreams::electorate(const GroupId &group) const
{
    const Instant now = m_context.timers.now();
    const auto askedAt = m_leadership.askedAt();
    TermEvidence::Electorate electorate{.size = m_directory.groupSize(group, now),
                                        .needsAllVotes =
                                                !askedAt || now - *askedAt > oldestDirectory};
    for (const UpstreamEntry *entry : m_directory.group(group))
        electorate.voters.push_back({entry->target.database, !entry->isDraining});
    return electorate;
}

TermEvidence &Upstreams::evidence(const GroupId &group)
{
    std::unique_ptr<TermEvidence> &known = m_evidence[group];
    if (known)
        return *known;
    known = std::make_unique<TermEvidence>(TermEvidence::Options{
            .timers = m_context.timers,
            .electorate = [this, group] { return electorate(group); },
            .requestStatus =
                    [this](const DatabaseId &database, TermEvidence::StatusDone done) {
                        requestStatus(database, std::move(done));
                    }});
    return *known;
}

void Upstreams::confirmCommit(const GroupId &group, const DatabaseId &database, Term term,
                              Confirmed confirmed)
{
    if (m_leadership.isLeading(group, database, m_context.timers.now())) {
        confirmed(true);
        return;
    }
    askOthers(group, database, term, std::move(confirmed));
}

void Upstreams::confirmLeading(const GroupId &group, const DatabaseId &database,
                               Confirmed confirmed)
{
    if (m_leadership.isLeading(group, database, m_context.timers.now())) {
        confirmed(true);
        return;
    }
    askOthers(group, database, Term(), std::move(confirmed));
}

void Upstreams::askOthers(const GroupId &group, const DatabaseId &database, Term term,
                          Confirmed confirmed)
{
    m_context.counters.counter("fescuespring_evidence_rounds_total").add();
    const auto judged = [this, group, isCommit = term != Term(),
                         confirmed = std::move(confirmed)](const TermEvidence::Outcome &outcome) {
        const bool leads = takeEvidence(group, outcome);
        const bool isShown = isCommit ? outcome.isConfirmed : leads;
        if (isShown)
            m_evidenceFailedAt.erase(group);
        else
            m_evidenceFailedAt[group] = m_context.timers.now();
        confirmed(isShown);
    };
    evidence(group).confirm(database, term, judged);
}

bool Upstreams::takeEvidence(const GroupId &group, const TermEvidence::Outcome &outcome)
{
    if (!outcome.isConfirmed || !outcome.primaryPosition)
        return false;
    // A term that is new here began after what this VM knows, perhaps after what is to be shown.
    const Term known = m_leadership.knownTerm(group);
    if (known != Term() && known != outcome.primaryTerm)
        return false;
    m_leadership.addPrimaryPosition(group, *outcome.primaryPosition, outcome.askedAt);
    return true;
}

void Upstreams::noteAnswer(const GroupId &group, const DatabaseId &database,
                           const StatementReply &reply, Instant sentAt)
{
    if (!reply.position || !m_leadership.isLeading(group, database, m_context.timers.now()))
        return;
    m_leadership.addPrimaryPosition(group, *reply.position, sentAt);
}

std::optional<PrimaryFloor> Upstreams::floorToShare(const DatabaseId &database) const
{
    const UpstreamEntry *entry = m_directory.find(database);
    const auto newest = entry ? m_leadership.newestFloor(entry->target.group) : std::nullopt;
    if (!newest || m_context.timers.now() - newest->askedAt > oldestSharedFloor)
        return std::nullopt;
    return PrimaryFloor{newest->point, newest->askedAt};
}

// A point of another term than the one known here may never be reached by the group's databases.
void Upstreams::noteSharedFloor(const GroupId &group, const PrimaryFloor &floor)
{
    const Term known = m_leadership.knownTerm(group);
    if (known == Term() || known == floor.point.term)
        m_leadership.addPrimaryPosition(group, floor.point, floor.askedAt);
}

void Upstreams::refreshFloor(const GroupId &group, Refreshed refreshed)
{
    auto &waiting = m_refreshing[group];
    waiting.push_back(std::move(refreshed));
    if (waiting.size() == 1)
        askForFloor(group);
}

void Upstreams::askForFloor(const GroupId &group)
{
    const auto believed = m_leadership.primary(group);
    if (!believed) {
        m_context.timers.after(std::chrono::milliseconds(30),
                               [this, group] { floorAnswered(group); });
        return;
    }
    const Instant askedAt = m_context.timers.now();
    if (m_leadership.isLeading(group, believed->database, askedAt)) {
        requestStatus(believed->database, [this, group, database = believed->database,
                                           askedAt](const std::optional<UpstreamStatus> &status) {
            const bool leads = status && status->role == Role::Primary
                               && m_leadership.isLeading(group, database, m_context.timers.now());
            if (leads)
                m_leadership.addPrimaryPosition(group, status->received, askedAt);
            floorAnswered(group);
        });
        return;
    }
    const auto failedAt = m_evidenceFailedAt.find(group);
    const Duration rest = failedAt == m_evidenceFailedAt.end()
                                  ? Duration(0)
                                  : failedAt->second + evidenceRest - askedAt;
    if (rest > Duration(0)) {
        m_context.timers.after(rest, [this, group] { askForFloor(group); });
        return;
    }
    askOthers(group, believed->database, Term(), [this, group](bool) { floorAnswered(group); });
}

void Upstreams::floorAnswered(const GroupId &group)
{
    const std::vector<Refreshed> waiting = std::exchange(m_refreshing[group], {});
    for (const Refreshed &refreshed : waiting)
        refreshed();
}

void Upstreams::refreshFloorAhead(const GroupId &group, Duration bound)
{
    const auto age = m_leadership.newestFloorAge(group, m_context.timers.now());
    const auto refreshing = m_refreshing.find(group);
    const bool isAsked = refreshing != m_refreshing.end() && !refreshing->second.empty();
    if (!isAsked && (!age || *age > bound / 2))
        refreshFloor(group, [] {});
}

} // namespace fescuespring
