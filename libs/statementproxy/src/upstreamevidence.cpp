#include "statementproxy/upstreams.h"

#include <algorithm>
#include <utility>

// Evidence of which database leads a group, and the log point that its commits have reached.

namespace fescuespring {

namespace {

// A majority is enough while the leadership records, whose age is taken as that of the directory,
// are younger than the notice that databases give of their departure, less this margin. An older
// directory may still list a database that has left.
constexpr Duration departureMargin = std::chrono::seconds(2);

// Delay after a failed round of status requests before waiting reads start the next one, as all of
// them wait for the same result.
constexpr Duration evidenceBackoff = std::chrono::milliseconds(100);

// Interval at which evidence that failed is requested again without a caller.
constexpr Duration evidenceRecheckInterval = std::chrono::milliseconds(500);

// Maximum age of a floor that is shared with other VMs.
constexpr Duration maximumSharedFloorAge = std::chrono::milliseconds(1200);

} // namespace

TermEvidence::Electorate Upstreams::electorate(const GroupId &group) const
{
    const Instant now = m_context.timers.now();
    const auto askedAt = m_leadership.askedAt();
    const Duration maximumAge = m_context.departureNotice - departureMargin;
    TermEvidence::Electorate electorate{.size = m_directory.assumedGroupSize(group, now),
                                        .needsAllVotes = !askedAt || now - *askedAt > maximumAge};
    for (const UpstreamEntry *entry : m_directory.group(group))
        electorate.voters.push_back({entry->target.database, !entry->isDraining});
    return electorate;
}

TermEvidence &Upstreams::evidence(const GroupId &group)
{
    std::unique_ptr<TermEvidence> &evidence = m_evidence[group];
    if (evidence)
        return *evidence;
    evidence = std::make_unique<TermEvidence>(TermEvidence::Options{
            .timers = m_context.timers,
            .electorate = [this, group] { return electorate(group); },
            .requestStatus =
                    [this](const DatabaseId &database, TermEvidence::StatusDone done) {
                        requestStatus(database, std::move(done));
                    }});
    return *evidence;
}

void Upstreams::confirmCommit(const GroupId &group, const DatabaseId &database, LogPoint point,
                              Instant sentAt, Confirmed confirmed)
{
    if (m_leadership.isLeading(group, database, m_context.timers.now())) {
        recordCommitBasis(group, CommitBasis::Lease, point, {});
        recordConfirmed(group);
        confirmed(true);
        return;
    }
    m_context.counters.counter("fescuespring_evidence_rounds_total").add();
    const auto onOutcome = [this, group, point, sentAt, confirmed = std::move(confirmed)](
                                   const TermEvidence::Outcome &outcome) {
        if (outcome.isConfirmed) {
            recordCommitBasis(group, CommitBasis::Databases, point, outcome.holders);
            recordConfirmed(group);
            // The majority that holds the commit holds all that were acknowledged before it.
            if (isKnownTerm(group, point.term))
                m_leadership.addPrimaryPosition(group, point, sentAt);
        } else {
            m_evidenceFailedAt[group] = m_context.timers.now();
            recordUnconfirmed(group, outcome);
        }
        confirmed(outcome.isConfirmed);
    };
    evidence(group).confirmCommit({.primary = database, .point = point, .sentAt = sentAt},
                                  onOutcome);
}

// Logs only what differs from the basis of the group's last commit, as commits are frequent.
void Upstreams::recordCommitBasis(const GroupId &group, CommitBasis basis, LogPoint point,
                                  const std::vector<DatabaseId> &holders)
{
    const bool isLease = basis == CommitBasis::Lease;
    (isLease ? m_commitsByLease : m_commitsByDatabases).add();
    const CommitBasisSeen seen{basis, m_leadership.isChangeAnnounced(group), holders};
    CommitBasisSeen &last = m_commitBasis[group];
    if (last == seen)
        return;
    last = seen;
    std::string names;
    for (const DatabaseId &holder : holders)
        names += (names.empty() ? "" : ",") + holder.value();
    m_context.log.info("commits-confirmed-by", {{"group", group},
                                                {"by", isLease ? "lease" : "databases"},
                                                {"holders", names},
                                                {"moving", seen.isChanging},
                                                {"term", point.term},
                                                {"position", point.position}});
}

void Upstreams::confirmLeadership(const GroupId &group, const DatabaseId &database,
                                  Confirmed confirmed)
{
    if (m_leadership.isLeading(group, database, m_context.timers.now())) {
        recordConfirmed(group);
        confirmed(true);
        return;
    }
    // Counts requests for evidence; several may share the status requests.
    m_context.counters.counter("fescuespring_evidence_rounds_total").add();
    const auto onOutcome =
            [this, group, confirmed = std::move(confirmed)](const TermEvidence::Outcome &outcome) {
                const bool leads = applyEvidence(group, outcome);
                if (leads)
                    recordConfirmed(group);
                else
                    recordUnconfirmed(group, outcome);
                confirmed(leads);
            };
    evidence(group).confirmLeadership(database, onOutcome);
}

void Upstreams::recordConfirmed(const GroupId &group)
{
    m_evidenceFailedAt.erase(group);
    m_leadershipFailedAt.erase(group);
    m_evidenceFailingSince.erase(group);
}

// If only a write is missing, writes may go on, and this VM is not the one that is cut off.
void Upstreams::recordUnconfirmed(const GroupId &group, const TermEvidence::Outcome &outcome)
{
    const Instant now = m_context.timers.now();
    m_leadershipFailedAt[group] = now;
    if (outcome.isUncontested) {
        m_evidenceFailingSince.erase(group);
        return;
    }
    m_evidenceFailedAt[group] = now;
    m_evidenceFailingSince.try_emplace(group, now);
}

// Callers may not come any more because this VM told them to use another one. Checks one group at a
// time, as usually either all can be confirmed or none.
void Upstreams::recheckUnconfirmed()
{
    const Instant now = m_context.timers.now();
    if (m_evidenceFailingSince.empty() || now < m_evidenceRecheckedAt + evidenceRecheckInterval)
        return;
    const auto oldest =
            std::ranges::min_element(m_evidenceFailingSince, {}, [this](const auto &failing) {
                const auto failedAt = m_evidenceFailedAt.find(failing.first);
                return failedAt == m_evidenceFailedAt.end() ? Instant() : failedAt->second;
            });
    const GroupId group = oldest->first;
    const auto primary = m_leadership.primary(group);
    if (!primary) {
        m_evidenceFailingSince.erase(oldest);
        return;
    }
    m_evidenceRecheckedAt = now;
    confirmLeadership(group, primary->database, [](bool) {});
}

bool Upstreams::applyEvidence(const GroupId &group, const TermEvidence::Outcome &outcome)
{
    if (!outcome.isConfirmed || !outcome.primaryPosition)
        return false;
    // A term that is new to this VM may have begun after the time that is to be confirmed.
    if (!isKnownTerm(group, outcome.primaryTerm))
        return false;
    m_leadership.addPrimaryPosition(group, *outcome.primaryPosition, outcome.askedAt);
    return true;
}

bool Upstreams::isKnownTerm(const GroupId &group, Term term) const
{
    const Term lastKnownTerm = m_leadership.knownTerm(group);
    return lastKnownTerm == Term() || lastKnownTerm == term;
}

void Upstreams::recordReply(const GroupId &group, const DatabaseId &database,
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
    if (!newest || m_context.timers.now() - newest->askedAt > maximumSharedFloorAge)
        return std::nullopt;
    return PrimaryFloor{newest->point, newest->askedAt};
}

// Ignores a point of a term other than the known one: the databases may never reach it.
void Upstreams::recordSharedFloor(const GroupId &group, const PrimaryFloor &floor)
{
    if (isKnownTerm(group, floor.point.term))
        m_leadership.addPrimaryPosition(group, floor.point, floor.requestedAt);
}

void Upstreams::refreshFloor(const GroupId &group, Refreshed refreshed)
{
    auto &waiting = m_refreshing[group];
    waiting.push_back(std::move(refreshed));
    if (waiting.size() == 1)
        requestFloor(group);
}

void Upstreams::requestFloor(const GroupId &group)
{
    const auto primary = m_leadership.primary(group);
    if (!primary) {
        m_context.timers.after(std::chrono::milliseconds(30),
                               [this, group] { floorRefreshed(group); });
        return;
    }
    const Instant askedAt = m_context.timers.now();
    if (m_leadership.isLeading(group, primary->database, askedAt)) {
        requestStatus(primary->database, [this, group, database = primary->database,
                                          askedAt](const std::optional<UpstreamStatus> &status) {
            const bool leads = status && status->role == Role::Primary
                               && m_leadership.isLeading(group, database, m_context.timers.now());
            if (leads)
                m_leadership.addPrimaryPosition(group, status->received, askedAt);
            floorRefreshed(group);
        });
        return;
    }
    const auto failedAt = m_leadershipFailedAt.find(group);
    const Duration delay = failedAt == m_leadershipFailedAt.end()
                                   ? Duration(0)
                                   : failedAt->second + evidenceBackoff - askedAt;
    if (delay > Duration(0)) {
        m_context.timers.after(delay, [this, group] { requestFloor(group); });
        return;
    }
    confirmLeadership(group, primary->database, [this, group](bool) { floorRefreshed(group); });
}

void Upstreams::floorRefreshed(const GroupId &group)
{
    const std::vector<Refreshed> waiting = std::exchange(m_refreshing[group], {});
    for (const Refreshed &refreshed : waiting)
        refreshed();
}

void Upstreams::refreshFloorAhead(const GroupId &group, Duration bound)
{
    const auto age = m_leadership.newestFloorAge(group, m_context.timers.now());
    const auto refreshing = m_refreshing.find(group);
    const bool isRefreshing = refreshing != m_refreshing.end() && !refreshing->second.empty();
    if (!isRefreshing && (!age || *age > bound / 2))
        refreshFloor(group, [] {});
}

} // namespace fescuespring
