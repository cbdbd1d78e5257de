#include "databasemodel/database.h"

#include <algorithm>
#include <utility>

namespace fescuespring {

Database::Database(const DatabaseOptions &options)
    : m_database(options.database)
    , m_group(options.group)
    , m_term(options.initialTerm)
    , m_followed(options.initialFollows)
{
    if (options.initialPrimary)
        promote({options.initialTerm}, Instant());
}

DatabaseStatus Database::status(Instant now) const
{
    DatabaseStatus status{m_database,  m_group,   m_role,     m_term,
                          m_log.tip(), applied(), unknownAge, m_log.history()};
    if (m_role == Role::Primary)
        status.age = std::chrono::milliseconds(0);
    else if (m_observedAt)
        status.age = std::min(unknownAge, std::chrono::ceil<std::chrono::milliseconds>(
                                                  std::max(now - *m_observedAt, Duration(0))));
    return status;
}

DatabaseStatus Database::fence(const FenceCall &call, Instant now)
{
    if (call.term > m_term) {
        m_term = call.term;
        stepDown();
        stopFollowing();
    }
    return status(now);
}

DatabaseStatus Database::promote(const PromoteCall &call, Instant now)
{
    if (call.term != m_term || m_role == Role::Primary)
        return status(now);
    stopFollowing();
    m_feed.dropMarks();
    m_role = Role::Primary;
    m_log.append({.term = m_term, .effects = {}, .record = std::nullopt});
    m_data.applyUpTo(m_log, m_log.end());
    return status(now);
}

DatabaseStatus Database::follow(const FollowCall &call, Instant now)
{
    if (call.term < m_term || (call.term == m_term && m_followed == call.primary))
        return status(now);
    m_term = call.term;
    stepDown();
    stopFollowing();
    m_followed = call.primary;
    m_arrived = m_log.tip();
    return status(now);
}

CallRefusal Database::refusal(const StatementCall &call) const
{
    if (call.kind == CallKind::Rollback)
        return CallRefusal::None;
    if (call.term < m_term)
        return CallRefusal::LowerTerm;
    if (call.access == Access::Write && (m_role != Role::Primary || call.term > m_term))
        return CallRefusal::NotPrimary;
    return CallRefusal::None;
}

StatementAnswer Database::execute(DatabaseConnectionId connection, const StatementCall &call,
                                  Instant now)
{
    advance(now);
    const CallRefusal reason = refusal(call);
    if (reason != CallRefusal::None) {
        connectionLost(connection);
        return refusedAnswer(reason);
    }
    const bool startsTransaction = call.kind == CallKind::Run || call.kind == CallKind::Begin;
    if (startsTransaction && m_transactions.erase(connection) > 0)
        return answer(CallOutcome::Failed, "transaction was open");
    switch (call.kind) {
    case CallKind::Run:
        return run(call);
    case CallKind::Begin:
        return begin(connection, call);
    case CallKind::Statement:
        return statement(connection, call);
    case CallKind::Commit:
        return commit(connection, call);
    case CallKind::Rollback:
        break;
    }
    connectionLost(connection);
    return answer(CallOutcome::Done);
}

void Database::connectionLost(DatabaseConnectionId connection)
{
    m_transactions.erase(connection);
}

std::size_t Database::openTransactions() const
{
    return m_transactions.size();
}

LogBatch Database::read(const LogRequest &request, std::size_t maximumEntries) const
{
    LogBatch batch{.outcome = LogOutcome::Refused,
                   .term = m_term,
                   .after = request.after,
                   .entries = {},
                   .history = m_log.history(),
                   .tip = m_log.tip()};
    if (m_role != Role::Primary || request.term != m_term)
        return batch;
    if (!m_log.holds(request.after)) {
        batch.outcome = LogOutcome::Diverged;
        return batch;
    }
    batch.outcome = LogOutcome::Entries;
    LogPosition position = request.after.position;
    while (position < m_log.end() && batch.entries.size() < maximumEntries) {
        position = position.next();
        batch.entries.push_back(m_log.at(position));
    }
    return batch;
}

std::optional<LogRequest> Database::nextRequest() const
{
    if (!m_followed)
        return std::nullopt;
    return LogRequest{m_database, m_term, m_arrived};
}

const std::optional<Endpoint> &Database::followed() const
{
    return m_followed;
}

void Database::receive(LogBatch batch, Instant sentAt, Instant now)
{
    const bool expected = m_followed && batch.term == m_term && batch.after == m_arrived;
    if (!expected || batch.outcome == LogOutcome::Refused)
        return;
    if (batch.outcome == LogOutcome::Diverged) {
        dropAfter(lastCommonPosition(m_log, batch.history, batch.tip), now);
        return;
    }
    // A batch that ends before the primary's log does not show how old the replica's data is.
    const bool complete =
            batch.after.position.value() + batch.entries.size() == batch.tip.position.value();
    std::optional<Instant> observedAt;
    if (complete)
        observedAt = sentAt + batch.waited;
    if (!batch.entries.empty())
        m_arrived = {batch.entries.back().term,
                     LogPosition(m_arrived.position.value() + batch.entries.size())};
    m_feed.arrive({std::move(batch.entries), observedAt, now});
    advance(now);
}

void Database::setLag(const ReplicationLag &lag, Instant now)
{
    m_feed.setLag(lag);
    advance(now);
}

void Database::advance(Instant now)
{
    while (auto arrival = m_feed.takeReceived(now)) {
        for (LogEntry &entry : arrival->entries)
            m_log.append(std::move(entry));
        const Instant due = arrival->arrivedAt + m_feed.lag().receive;
        m_feed.received({m_log.end(), arrival->observedAt, due});
    }
    while (const auto mark = m_feed.takeApplied(now)) {
        m_data.applyUpTo(m_log, mark->end);
        if (mark->observedAt && (!m_observedAt || *mark->observedAt > *m_observedAt))
            m_observedAt = mark->observedAt;
    }
}

std::optional<Instant> Database::nextEvent() const
{
    return m_feed.nextEvent();
}

Term Database::term() const
{
    return m_term;
}

LogPoint Database::applied() const
{
    return m_log.point(m_data.applied());
}

const Log &Database::log() const
{
    return m_log;
}

const Cells &Database::cells() const
{
    return m_data.cells();
}

StatementAnswer Database::answer(CallOutcome outcome, std::string result) const
{
    return {.outcome = outcome,
            .refusal = CallRefusal::None,
            .result = std::move(result),
            .term = m_term,
            .point = applied()};
}

StatementAnswer Database::refusedAnswer(CallRefusal reason) const
{
    StatementAnswer refused = answer(CallOutcome::Refused);
    refused.refusal = reason;
    return refused;
}

StatementAnswer Database::repeatedAnswer(const CommittedData::Record &record) const
{
    StatementAnswer repeated = answer(CallOutcome::Done, record.result);
    repeated.point = record.point;
    repeated.repeated = true;
    return repeated;
}

const CommittedData::Record *Database::recordOf(const StatementCall &call) const
{
    const bool recorded = call.access == Access::Write && !call.idempotent;
    return recorded ? m_data.record(call.id) : nullptr;
}

StatementAnswer Database::run(const StatementCall &call)
{
    if (const auto *record = recordOf(call))
        return repeatedAnswer(*record);
    Transaction transaction{.access = call.access,
                            .id = call.id,
                            .idempotent = call.idempotent,
                            .workspace = {},
                            .results = {}};
    const auto result = evaluate(transaction, call.statement);
    if (!result)
        return answer(CallOutcome::Failed, result.error().message);
    transaction.results = result.value();
    return write(transaction);
}

StatementAnswer Database::begin(DatabaseConnectionId connection, const StatementCall &call)
{
    if (const auto *record = recordOf(call))
        return repeatedAnswer(*record);
    m_transactions[connection] = Transaction{.access = call.access,
                                             .id = call.id,
                                             .idempotent = call.idempotent,
                                             .workspace = {},
                                             .results = {}};
    return answer(CallOutcome::Done);
}

StatementAnswer Database::statement(DatabaseConnectionId connection, const StatementCall &call)
{
    const auto open = m_transactions.find(connection);
    if (open == m_transactions.end())
        return answer(CallOutcome::Failed, "no transaction is open");
    Transaction &transaction = open->second;
    const auto result = evaluate(transaction, call.statement);
    if (!result) {
        m_transactions.erase(open);
        return answer(CallOutcome::Failed, result.error().message);
    }
    if (!transaction.results.empty())
        transaction.results += '\n';
    transaction.results += result.value();
    return answer(CallOutcome::Done, result.value());
}

StatementAnswer Database::commit(DatabaseConnectionId connection, const StatementCall &call)
{
    const auto open = m_transactions.find(connection);
    if (open == m_transactions.end())
        return answer(CallOutcome::Failed, "no transaction is open");
    Transaction transaction = std::move(open->second);
    m_transactions.erase(open);
    if (transaction.access == Access::Write && !transaction.idempotent) {
        if (const auto *record = m_data.record(transaction.id))
            return repeatedAnswer(*record);
    }
    const bool writes = transaction.access == Access::Write;
    if (writes && call.term > m_term)
        return refusedAnswer(CallRefusal::NotPrimary);
    if (writes && transaction.workspace.conflictsWith(m_data.cells()))
        return answer(CallOutcome::Failed, "conflict with another transaction");
    return write(transaction);
}

StatementAnswer Database::write(const Transaction &transaction)
{
    if (transaction.access == Access::Write) {
        LogEntry entry{
                .term = m_term, .effects = transaction.workspace.effects(), .record = std::nullopt};
        if (!transaction.idempotent)
            entry.record = RequestRecord{transaction.id, transaction.results};
        m_log.append(std::move(entry));
        m_data.applyUpTo(m_log, m_log.end());
    }
    return answer(CallOutcome::Done, transaction.results);
}

Result<std::string> Database::evaluate(Transaction &transaction, const std::string &text) const
{
    BOOST_OUTCOME_TRY(const ParsedStatement parsed, parseStatement(text));
    if (transaction.access == Access::Read && changesData(parsed.verb))
        return Error{ErrorCode::InvalidField, "write statement in a read-only call"};
    return transaction.workspace.execute(parsed, m_data.cells());
}

void Database::stopFollowing()
{
    m_followed.reset();
    m_feed.dropArrivals();
    m_arrived = m_log.tip();
}

void Database::stepDown()
{
    if (m_role == Role::Replica)
        return;
    m_role = Role::Replica;
    m_transactions.clear();
    m_observedAt.reset();
}

void Database::dropAfter(LogPosition end, Instant now)
{
    m_feed.dropArrivals();
    m_feed.dropMarks();
    m_data.rewind(m_log, end);
    m_log.truncate(end);
    m_arrived = m_log.tip();
    m_observedAt.reset();
    m_feed.received({end, std::nullopt, now});
}

} // namespace fescuespring
