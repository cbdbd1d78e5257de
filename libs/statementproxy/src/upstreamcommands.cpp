#include "statementproxy/allowanceservice.h"
#include "statementproxy/upstreams.h"

#include "upstreamaccess.h"

#include <utility>

// Statements that this VM itself sends, and the probes built on them.

namespace fescuespring {

namespace {

constexpr Duration statusTimeout = std::chrono::milliseconds(350);

// Minimum interval between probes of an unresponsive pool.
constexpr Duration probeInterval = std::chrono::milliseconds(250);

} // namespace

Upstreams::~Upstreams()
{
    m_context.timers.cancel(m_capacityTimer);
    for (const auto &command : std::exchange(m_commands, {}))
        dropCommand(*command);
}

void Upstreams::command(const DatabaseId &database, const Statement &statement, Duration timeout,
                        CommandDone done)
{
    commandOn(pool(database), statement, timeout, std::move(done));
}

// A running statement of this VM, owned by Upstreams. Its callbacks hold weak pointers, because its
// leased connection holds a callback and would otherwise form a reference cycle.
struct Upstreams::Command
{
    std::shared_ptr<LinkPool> pool;
    LinkLease lease;
    LinkPool::TicketId ticket = 0;
    Timers::Id timer = 0;
    CommandDone done;
};

void Upstreams::commandOn(const std::shared_ptr<LinkPool> &pool, const Statement &statement,
                          Duration timeout, CommandDone done, LinkLease lease)
{
    if (!pool) {
        m_context.timers.after(Duration(0), [done] { done(std::nullopt); });
        return;
    }
    const auto command = std::make_shared<Command>();
    m_commands.insert(command);
    command->pool = pool;
    command->done = std::move(done);
    command->timer = m_context.timers.after(timeout, [this, weak = std::weak_ptr(command)] {
        if (const auto late = weak.lock())
            commandEnded(late, std::nullopt);
    });
    const auto run = [this, weak = std::weak_ptr(command), statement](LinkLease lease) {
        const auto granted = weak.lock();
        if (!granted)
            return;
        granted->ticket = 0;
        granted->lease = std::move(lease);
        granted->lease->run(
                {.command = {.statement = statement}}, [this, weak](const LinkOutcome &outcome) {
                    const auto ran = weak.lock();
                    if (!ran)
                        return;
                    const bool isAnswered = outcome.end == LinkEnd::Answered;
                    commandEnded(ran, isAnswered ? std::optional(outcome.reply) : std::nullopt);
                });
    };
    if (!lease)
        lease = pool->tryAcquire({});
    if (lease)
        run(std::move(lease));
    else
        command->ticket = pool->wait({}, run);
}

void Upstreams::commandEnded(const std::shared_ptr<Command> &command,
                             const std::optional<StatementReply> &reply)
{
    if (m_commands.erase(command) == 0)
        return;
    const CommandDone done = std::move(command->done);
    dropCommand(*command);
    done(reply);
}

void Upstreams::dropCommand(Command &command)
{
    m_context.timers.cancel(command.timer);
    command.pool->cancel(command.ticket);
    command.lease.release();
}

void Upstreams::requestStatus(const DatabaseId &database, TermEvidence::StatusDone done)
{
    m_context.counters.counter("fescuespring_status_questions_total").add();
    command(database, {.kind = StatementKind::Status}, statusTimeout,
            [done = std::move(done)](const std::optional<StatementReply> &reply) {
                done(reply && reply->isSuccess() ? reply->status : std::nullopt);
            });
}

void Upstreams::probeObserved(const DatabaseId &database)
{
    const auto found = m_pools.find(database);
    if (found == m_pools.end())
        return;
    DatabasePools &pools = *found->second;
    if (!pools.isOwner && pools.hasOtherOwners)
        probe(pools.relayed, pools.relayedProbedAt);
    else
        probe(pools.own, pools.ownProbedAt);
}

void Upstreams::probe(const std::shared_ptr<LinkPool> &pool, Instant &probedAt)
{
    const Instant now = m_context.timers.now();
    if (now < probedAt + probeInterval)
        return;
    probedAt = now;
    commandOn(pool, {.kind = StatementKind::Status}, statusTimeout,
              [](const std::optional<StatementReply> &) {});
}

void Upstreams::probeUnresponsive()
{
    recheckUnconfirmed();
    for (const auto &[database, pools] : m_pools) {
        if (pools->hasOtherOwners)
            probeLenders(database, *pools);
        if (unresponsiveTime(*pools->own) > probeInterval)
            probe(pools->own, pools->ownProbedAt);
        if (!pools->hasOtherOwners || unresponsiveTime(*pools->relayed) <= probeInterval)
            continue;
        probe(pools->relayed, pools->relayedProbedAt);
        if (isObserver(*pools) && isPrimary(database))
            probe(pools->own, pools->ownProbedAt);
    }
}

} // namespace fescuespring
