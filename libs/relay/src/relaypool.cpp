#include "relay/relaypool.h"

#include <utility>

namespace fescuespring {

// A lease at another VM.
class RelayPool::Link : public StatementLink, public std::enable_shared_from_this<Link>
{
public:
    Link(RelayPool &pool, Lender lender)
        : m_pool(pool)
        , m_vm(std::move(lender.vm))
        , m_peer(std::move(lender.peer))
        , m_lease(m_peer ? m_peer->newLease() : 0)
    {}

    void run(const LinkCommand &command, Done done) override
    {
        m_done = std::move(done);
        if (!m_peer || m_peer->isLost()) {
            m_isBroken = true;
            // Without a peer, the database counts as unresponsive.
            m_pool.observe(m_vm, [now = m_pool.m_options.timers.now()](DatabaseObserver &observer) {
                observer.sent(now);
                observer.lost();
            });
            m_pool.m_options.timers.after(Duration(0), [weak = weak_from_this()] {
                if (const auto self = weak.lock())
                    self->finish(
                            {.end = LinkEnd::NotSent,
                             .reply = {.message =
                                               "no VM with connections to the database responds"}});
            });
            return;
        }
        RelayMessage request{.kind = RelayMessage::Kind::Run,
                             .lease = m_lease,
                             .database = m_pool.m_options.database,
                             .customer = command.customer,
                             .priority = command.priority,
                             .key = command.key,
                             .timeout = command.timeout,
                             .work = command.work,
                             .limits = command.limits,
                             .command = command.command};
        if (command.context) {
            request.hasValues = true;
            request.values = command.context->values();
        }
        if (command.prepared)
            request.prepared = *command.prepared;
        request.begin = command.begin;
        request.beginAfter = command.beginAfter;
        m_sentAt = m_pool.m_options.timers.now();
        m_pool.observe(m_vm, [this](DatabaseObserver &observer) { observer.sent(m_sentAt); });
        m_key = {command.work, command.priority, command.customer};
        // The VM's own statements say nothing about those of callers.
        m_isCounted = command.context != nullptr;
        if (m_isCounted)
            m_pool.m_figures.sent(m_sentAt);
        m_peer->run(request, [weak = weak_from_this()](const LinkOutcome &outcome) {
            if (const auto self = weak.lock())
                self->outcomeReceived(outcome);
        });
    }

    bool isBroken() const override
    {
        return m_isBroken || !m_peer || m_peer->isLost();
    }
    bool isBusy() const override
    {
        return static_cast<bool>(m_done);
    }
    SessionPhase phase() const override
    {
        return m_phase;
    }

    void end()
    {
        m_done = nullptr;
        endFigures(std::nullopt);
        if (m_peer)
            m_peer->release(m_lease);
    }

private:
    void outcomeReceived(const LinkOutcome &outcome)
    {
        const Instant now = m_pool.m_options.timers.now();
        endFigures(outcome.load);
        m_pool.observe(m_vm, [&](DatabaseObserver &observer) {
            if (outcome.end == LinkEnd::Answered)
                observer.replied(outcome.reply, now - m_sentAt, now);
            else if (outcome.end == LinkEnd::Refused)
                observer.replied(outcome.reply, Duration(0), now);
            else
                observer.lost();
        });
        if (outcome.end == LinkEnd::Answered || outcome.end == LinkEnd::Refused)
            m_phase = outcome.reply.phase;
        else
            m_isBroken = true;
        finish(outcome);
    }

    void endFigures(const std::optional<ExpectedLoad> &load)
    {
        if (std::exchange(m_isCounted, false))
            m_pool.m_figures.ended(m_key, load, m_pool.m_options.timers.now());
    }

    void finish(const LinkOutcome &outcome)
    {
        if (const Done done = std::exchange(m_done, nullptr))
            done(outcome);
    }

    RelayPool &m_pool;

    // Empty if the lender is not observed by name.
    VmId m_vm;
    std::shared_ptr<RelayPeer> m_peer;
    std::uint64_t m_lease;
    SessionPhase m_phase = SessionPhase::Idle;
    bool m_isBroken = false;
    Instant m_sentAt;
    LenderFigures::Key m_key;
    bool m_isCounted = false;
    Done m_done;
};

RelayPool::RelayPool(Options options)
    : m_options(std::move(options))
    , m_observer(m_options.timers.now())
{}

std::shared_ptr<RelayPool> RelayPool::make(Options options)
{
    return std::shared_ptr<RelayPool>(new RelayPool(std::move(options)));
}

LinkLease RelayPool::tryAcquire(const LinkRequest &request)
{
    if (!request.customer.isEmpty() && m_options.lenderFor)
        return acquireThrough(m_options.lenderFor(request.customer));
    return acquireThrough({.peer = m_options.peer()});
}

LinkLease RelayPool::acquireThrough(const Lender &lender)
{
    ++m_inUse;
    return {shared_from_this(), std::make_shared<Link>(*this, lender)};
}

void RelayPool::observe(const VmId &lender, const std::function<void(DatabaseObserver &)> &change)
{
    change(m_observer);
    if (!lender.isEmpty())
        change(m_lenders.try_emplace(lender, m_options.timers.now()).first->second);
}

std::optional<Instant> RelayPool::unresponsiveSince(const VmId &vm) const
{
    const auto found = m_lenders.find(vm);
    return found == m_lenders.end() ? std::nullopt : found->second.observation().unresponsiveSince;
}

std::vector<VmId> RelayPool::unresponsiveLenders() const
{
    std::vector<VmId> lenders;
    for (const auto &[vm, observer] : m_lenders) {
        if (observer.observation().unresponsiveSince)
            lenders.push_back(vm);
    }
    return lenders;
}

LinkPool::TicketId RelayPool::wait(const LinkRequest &request, Granted granted)
{
    m_options.timers.after(Duration(0), [self = shared_from_this(), request, granted] {
        granted(self->tryAcquire(request));
    });
    return 0;
}

void RelayPool::cancel(TicketId)
{}

void RelayPool::giveBack(const std::shared_ptr<StatementLink> &link)
{
    --m_inUse;
    std::static_pointer_cast<Link>(link)->end();
}

} // namespace fescuespring
