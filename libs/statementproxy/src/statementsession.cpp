#include "statementproxy/statementsession.h"

#include "statementrun.h"

#include <utility>

namespace fescuespring {

StatementSession::StatementSession(Options options)
    : m_options(std::move(options))
{}

StatementSession::~StatementSession()
{
    m_options.upstreams.context().timers.cancel(m_idleTimer);
    if (m_run)
        m_run->abandon();
}

std::optional<Route> StatementSession::currentRoute() const
{
    if (m_transaction)
        return m_transaction->route;
    const Route *route = m_options.routes.find(m_options.name);
    return route ? std::optional(*route) : std::nullopt;
}

void StatementSession::handle(const RequestId &id, const Statement &statement)
{
    m_id = id;
    m_options.upstreams.context().timers.cancel(std::exchange(m_idleTimer, 0));
    const bool endsTransaction =
            statement.kind == StatementKind::Commit || statement.kind == StatementKind::Rollback;
    const std::optional<Route> route = currentRoute();
    const CustomerId customer = m_transaction ? m_transaction->customer : CustomerId();
    const Identification caller = route ? identifyCaller(*route, customer) : Identification();
    // Ending a transaction without a commit runs nothing that a removed key could have sent.
    const bool runsNothing = statement.kind == StatementKind::Rollback
                             || (endsTransaction && m_phase == SessionPhase::Failed);
    if (caller.failure == StatementFailure::Unauthorized
        || (!caller.isAccepted() && !runsNothing)) {
        if (caller.failure == StatementFailure::Aborted && endsTransaction)
            endFailedTransaction();
        else
            refuseCaller(caller);
        return;
    }
    if (m_phase == SessionPhase::Failed && !endsTransaction) {
        replyFailure(StatementFailure::Malformed, "the transaction has failed");
        return;
    }
    switch (statement.kind) {
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
        if (m_phase != SessionPhase::Idle)
            replyFailure(StatementFailure::Malformed, "a transaction is open already");
        else if (!route)
            replyFailure(StatementFailure::UnknownRoute, "no route has this name");
        else
            begin(statement.kind == StatementKind::BeginReadOnly, *route, caller.customer);
        return;
    case StatementKind::SetValue:
    case StatementKind::Prepare:
    case StatementKind::Deallocate:
        applyToContext(statement);
        return;
    case StatementKind::Rollback:
        rollBack();
        return;
    case StatementKind::Commit:
        if (m_phase == SessionPhase::Failed) {
            endFailedTransaction();
            return;
        }
        break;
    default:
        break;
    }
    if (endsTransaction && m_phase == SessionPhase::Idle) {
        replyFailure(StatementFailure::Malformed, "no transaction is open");
        return;
    }
    if (!route) {
        replyFailure(StatementFailure::UnknownRoute, "no route has this name");
        return;
    }
    runOnDatabase(id, statement, *route, m_transaction ? m_transaction->customer : caller.customer);
}

Identification StatementSession::identifyCaller(const Route &route,
                                                const CustomerId &customer) const
{
    return identifyAgain(m_options.routes, route, m_options.key, customer,
                         m_options.upstreams.context().timers.now());
}

bool StatementSession::isRevoked() const
{
    const std::optional<Route> route = currentRoute();
    return route && !isKnown(m_options.routes, *route, m_options.key);
}

void StatementSession::refuseCaller(const Identification &caller)
{
    // Releases the connection of an open transaction, which rolls it back.
    if (m_phase != SessionPhase::Idle) {
        m_transaction.reset();
        m_phase = SessionPhase::Failed;
    }
    replyFailure(caller.failure, caller.message());
}

void StatementSession::reject(const RequestId &id, const std::string &message)
{
    m_id = id;
    m_options.upstreams.context().timers.cancel(std::exchange(m_idleTimer, 0));
    if (isRevoked())
        refuseCaller({.failure = StatementFailure::Unauthorized});
    else
        replyFailure(StatementFailure::Malformed, message);
}

void StatementSession::begin(bool isReadOnly, const Route &route, const CustomerId &customer)
{
    m_transaction = Transaction{.isReadOnly = isReadOnly,
                                .group = route.group,
                                .startedAt = m_options.upstreams.context().timers.now(),
                                .route = route,
                                .customer = customer};
    m_phase = SessionPhase::InTransaction;
    reply({.signature = "-", .phase = m_phase});
}

void StatementSession::applyToContext(const Statement &statement)
{
    m_context.apply(statement);
    reply({.signature = "-", .phase = m_phase});
}

void StatementSession::rollBack()
{
    if (m_phase == SessionPhase::Idle) {
        replyFailure(StatementFailure::Malformed, "no transaction is open");
        return;
    }
    m_transaction.reset();
    m_phase = SessionPhase::Idle;
    reply({.signature = "-"});
}

void StatementSession::endFailedTransaction()
{
    m_transaction.reset();
    m_phase = SessionPhase::Idle;
    replyFailure(StatementFailure::Aborted, "the transaction has failed and was rolled back");
}

void StatementSession::abortTransaction()
{
    if (m_phase == SessionPhase::Idle || m_run)
        return;
    m_transaction.reset();
    m_phase = SessionPhase::Failed;
}

void StatementSession::endStatement()
{
    if (m_run)
        m_run->endForStop();
}

void StatementSession::runOnDatabase(const RequestId &id, const Statement &statement,
                                     const Route &route, const CustomerId &customer)
{
    const PreparedStatement *prepared = nullptr;
    if (statement.kind == StatementKind::Execute) {
        prepared = m_context.prepared(statement.name);
        if (!prepared) {
            replyFailure(StatementFailure::UnknownPrepared, "no such prepared statement");
            return;
        }
    }
    m_run = std::make_shared<detail::StatementRun>(*this, id, statement, prepared, route, customer);
    m_run->start();
}

void StatementSession::reply(const StatementReply &reply)
{
    startIdleTimer();
    m_options.onReply(reply);
}

void StatementSession::replyFailure(StatementFailure failure, const std::string &message)
{
    const bool failsTransaction = m_phase == SessionPhase::InTransaction;
    if (failsTransaction)
        m_phase = SessionPhase::Failed;
    const ProxyContext &context = m_options.upstreams.context();
    context.counters.counter("fescuespring_statements_refused_total", "reason", toString(failure))
            .add();
    context.log.info("statement-refused",
                     {{"id", m_id},
                      {"route", m_options.name},
                      {"reason", toString(failure)},
                      {"message", message},
                      {"transaction", failsTransaction},
                      {"configuration", m_options.routes.configuration().version}});
    reply({.failure = failure, .message = message, .phase = m_phase});
}

void StatementSession::startIdleTimer()
{
    if (m_phase == SessionPhase::Idle)
        return;
    const Duration timeout = m_options.routes.configuration().idleTransactionTimeout;
    m_idleTimer = m_options.upstreams.context().timers.after(timeout, [this] {
        m_idleTimer = 0;
        m_options.upstreams.context()
                .counters.counter("fescuespring_idle_transactions_total")
                .add();
        abortTransaction();
    });
}

} // namespace fescuespring
