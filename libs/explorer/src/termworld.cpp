#include "explorer/termworld.h"

#include "termworldnames.h"

#include <algorithm>
#include <utility>

namespace fescuespring {

using detail::termDatabase;
using detail::termDatabaseIndex;

TermWorld::TermWorld(const TermWorldOptions &options)
    : m_options(options)
    , m_record{.group = GroupId("herd"), .primary = termDatabase(0), .term = Term(1)}
{
    m_nodes[0].role = Role::Primary;
}

bool TermWorld::isReachable(std::size_t database) const
{
    return m_nodes[database].isUp && !m_nodes[database].isCut;
}

// A replica that was paused receives nothing; one that learns of a later term follows its log.
bool TermWorld::canReplicate(std::size_t database) const
{
    const Node &node = m_nodes[database];
    const Node &source = m_nodes[m_primary];
    const bool isBehind = node.log != source.log || node.term != source.term;
    const bool isPaused = node.heldTerm > m_term;
    return database != m_primary && node.isUp && source.isUp && !isPaused && isBehind;
}

std::vector<TermWorld::Step> TermWorld::steps() const
{
    std::vector<Step> steps;
    const auto add = [&steps](bool isPossible, StepKind kind, std::size_t index = 0) {
        if (isPossible)
            steps.push_back({kind, index});
    };
    const std::size_t recorded = termDatabaseIndex(m_record.primary);
    const bool serves = m_nodes[recorded].isUp && m_nodes[recorded].role == Role::Primary;
    add(m_options.writes > 0 && serves && !m_record.isChanging, StepKind::Write, recorded);
    const bool servesIsolated = m_nodes[0].isUp && m_nodes[0].role == Role::Primary;
    add(m_options.isolatedWrites > 0 && servesIsolated, StepKind::IsolatedWrite);
    add(m_options.isolatedReads > 0 && servesIsolated && !m_pending, StepKind::IsolatedRead);
    for (std::size_t i = 0; i < databaseCount; ++i) {
        const Node &node = m_nodes[i];
        add(m_pending && node.isUp, StepKind::Ask, i);
        add(canReplicate(i), StepKind::Replicate, i);
        add(m_options.cuts > 0 && node.isUp && !node.isCut, StepKind::Cut, i);
        add(node.isCut, StepKind::Heal, i);
        add(m_options.crashes > 0 && node.isUp, StepKind::Crash, i);
        add(!node.isUp && !node.isGone, StepKind::Return, i);
        add(m_options.departures > 0 && !node.isUp && !node.isGone, StepKind::Depart, i);
    }
    const bool isInFlight = m_order && m_order->isInFlight;
    add(m_options.changes > 0 && !m_record.isChanging, StepKind::Announce);
    add(m_record.isChanging && !isInFlight, StepKind::Round);
    add(isInFlight, StepKind::TakeEffect);
    add(canRecord(), StepKind::Record);
    add(m_options.lostHolders > 0 && m_record.isChanging, StepKind::LoseHolder);
    return steps;
}

void TermWorld::take(const Step &step)
{
    Node &node = m_nodes[step.index];
    switch (step.kind) {
    case StepKind::Write:
        --m_options.writes;
        m_writes[commit(step.index)].isAcknowledged = true;
        break;
    case StepKind::IsolatedWrite:
        --m_options.isolatedWrites;
        // Beside a request that waits, one whose caller does not wait for the reply.
        if (m_pending)
            commit(0);
        else
            beginRequest(0, true);
        break;
    case StepKind::IsolatedRead:
        --m_options.isolatedReads;
        beginRequest(0, false);
        break;
    case StepKind::Ask:
        ask(step.index);
        break;
    case StepKind::Replicate:
        replicate(step.index);
        break;
    case StepKind::Cut:
        --m_options.cuts;
        node.isCut = true;
        break;
    case StepKind::Heal:
        node.isCut = false;
        break;
    case StepKind::Crash:
        --m_options.crashes;
        node.isUp = false;
        break;
    case StepKind::Return:
        returnDatabase(step.index);
        break;
    case StepKind::Depart:
        --m_options.departures;
        node.isGone = true;
        break;
    case StepKind::Announce:
        announce();
        break;
    case StepKind::Round:
        round();
        break;
    case StepKind::TakeEffect:
        takeEffect();
        break;
    case StepKind::Record:
        record(m_order->database, status(m_order->database).received);
        break;
    case StepKind::LoseHolder:
        --m_options.lostHolders;
        m_isHolderOfOrder = false;
        m_previousPosition.reset();
        break;
    }
}

UpstreamStatus TermWorld::status(std::size_t database) const
{
    const Node &node = m_nodes[database];
    const Term last = node.log.empty() ? Term() : node.log.back().term;
    return {.role = node.role,
            .term = node.term,
            .received = {last, LogPosition(node.log.size())},
            .heldTerm = node.heldTerm,
            .runningSince = node.startedAt};
}

std::size_t TermWorld::commit(std::size_t database)
{
    Node &node = m_nodes[database];
    node.log.push_back({node.term, m_writes.size()});
    m_writes.push_back({.term = node.term, .wasReplaced = node.term < m_term});
    return m_writes.size() - 1;
}

void TermWorld::beginRequest(std::size_t database, bool isWrite)
{
    Pending pending{.newestTerm = m_term};
    pending.request.primary = termDatabase(database);
    pending.request.electorate.size = databaseCount;
    for (std::size_t i = 0; i < databaseCount; ++i)
        pending.request.electorate.voters.push_back({termDatabase(i)});
    pending.request.ballots.resize(databaseCount);
    if (isWrite) {
        pending.write = commit(database);
        pending.request.commit = status(database).received;
        pending.request.sentAt = m_now;
    }
    m_pending = std::move(pending);
}

void TermWorld::ask(std::size_t database)
{
    UpstreamStatus answer = status(database);
    const bool isReplica = answer.role == Role::Replica;
    if (m_options.broken == TermWorldBreak::CountEveryAnswer && isReplica)
        answer.received = {m_nodes[0].term, LogPosition(1000)};
    if (m_options.broken == TermWorldBreak::IgnoreRestarts)
        answer.runningSince = Instant();
    TermEvidence::Request &request = m_pending->request;
    request.count(termDatabase(database), answer);
    if (!request.isDecided())
        return;
    const TermEvidence::Outcome outcome = request.outcome();
    if (outcome.isConfirmed && m_pending->write) {
        Write &write = m_writes[*m_pending->write];
        write.isAcknowledged = true;
        if (write.wasReplaced)
            m_violation = "a write was acknowledged at a replaced primary";
    }
    if (outcome.isConfirmed && !m_pending->write && outcome.primaryTerm < m_pending->newestTerm)
        m_violation = "a read was confirmed at a replaced primary";
    m_pending.reset();
}

void TermWorld::replicate(std::size_t database)
{
    Node &node = m_nodes[database];
    node.role = Role::Replica;
    node.term = m_term;
    node.log = m_nodes[m_primary].log;
}

// A restart ends a pause, and undoes what stopped the platform's primary.
void TermWorld::returnDatabase(std::size_t database)
{
    Node &node = m_nodes[database];
    node.isUp = true;
    node.heldTerm = Term();
    node.startedAt = m_now;
    node.role = database == m_primary ? Role::Primary : Role::Replica;
}

bool TermWorld::holds(const Node &node, std::size_t write) const
{
    return std::ranges::any_of(node.log,
                               [write](const Entry &entry) { return entry.write == write; });
}

std::size_t TermWorld::acknowledgedWrites() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
            m_writes, [](const Write &write) { return write.isAcknowledged; }));
}

} // namespace fescuespring
