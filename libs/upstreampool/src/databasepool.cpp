#include "upstreampool/databasepool.h"

#include <algorithm>
#include <utility>

namespace fescuespring {

std::shared_ptr<DatabasePool> DatabasePool::make(Timers &timers, UpstreamConnector connect,
                                                 DatabasePoolOptions options)
{
    return std::shared_ptr<DatabasePool>(
            new DatabasePool(timers, std::move(connect), std::move(options)));
}

DatabasePool::DatabasePool(Timers &timers, UpstreamConnector connect, DatabasePoolOptions options)
    : m_timers(timers)
    , m_connect(std::move(connect))
    , m_options(std::move(options))
    , m_limit(m_options.limit)
    , m_observer(timers.now())
{
    if (!m_options.counters)
        return;
    m_count = {.opened = &m_options.counters->counter("fescuespring_connections_opened_total"),
               .closedForOther = &m_options.counters->counter(
                       "fescuespring_connections_closed_for_another_customer_total"),
               .waitsGranted = &m_options.counters->counter("fescuespring_connection_waits_total")};
}

DatabasePool::~DatabasePool()
{
    m_timers.cancel(m_openTimer);
    m_timers.cancel(m_idleTimer);
    // Links call back into the pool when they are destroyed: empty its queues and m_links first.
    close();
    m_atGate.clear();
    const std::vector<Entry> links = std::move(m_links);
    m_links.clear();
}

DatabasePool::Entry *DatabasePool::find(const DatabaseLink &link)
{
    const auto found = std::find_if(m_links.begin(), m_links.end(), [&link](const Entry &entry) {
        return entry.link.get() == &link;
    });
    return found == m_links.end() ? nullptr : &*found;
}

std::optional<ExpectedLoad> DatabasePool::expected(const WorkKind &work,
                                                   const LinkRequest &request) const
{
    const LearnedLimit *limit = m_limit.learned();
    if (!limit)
        return std::nullopt;
    const std::size_t ahead =
            m_queue.countAhead(request.priority, request.customer) + m_atGate.size();
    return ExpectedLoad{.wait = limit->expectedWait(ahead, m_timers.now()),
                        .service = limit->serviceTime(work)};
}

void DatabasePool::setLimits(std::uint32_t kept, std::uint32_t maximum, double minimumStatements)
{
    m_limit.setBounds(minimumStatements, std::max<double>(minimumStatements, maximum));
    m_options.kept = kept;
    m_options.maximum = maximum;
    closeExcess();
}

// Part of this VM's share may have been assigned to other VMs.
void DatabasePool::closeExcess()
{
    for (std::size_t i = m_links.size(); i > 0 && m_links.size() > m_options.maximum; --i) {
        const Entry &entry = m_links[i - 1];
        if (!entry.isLeased && entry.link->isOpen())
            remove(*entry.link);
    }
}

void DatabasePool::warmUp()
{
    while (!m_isClosed && m_links.size() < keptAhead() && m_timers.now() >= m_openNotBefore)
        open({});
}

std::uint32_t DatabasePool::keptAhead() const
{
    return m_areCustomersNamed ? std::min(m_options.kept, 1U) : m_options.kept;
}

void DatabasePool::serveCustomers(bool areNamed, WaitQueue::Weight weight)
{
    m_areCustomersNamed = areNamed;
    m_queue.setWeight(std::move(weight));
}

void DatabasePool::close()
{
    m_isClosed = true;
    m_queue.clear();
    m_waiters.clear();
    m_waitingByCustomer.clear();
    for (Entry &entry : m_links)
        releaseSlot(entry);
    std::erase_if(m_links, [](const Entry &entry) { return !entry.isLeased; });
}

std::size_t DatabasePool::inUse() const
{
    return static_cast<std::size_t>(std::count_if(
            m_links.begin(), m_links.end(), [](const Entry &entry) { return entry.isLeased; }));
}

std::size_t DatabasePool::opening() const
{
    return static_cast<std::size_t>(
            std::count_if(m_links.begin(), m_links.end(), [](const Entry &entry) {
                return !entry.link->isOpen() && !entry.link->isBroken();
            }));
}

void DatabasePool::open(const CustomerId &customer, std::uint32_t priority)
{
    const auto used = std::make_shared<Duration>(0);
    ++m_openedCount;
    if (m_count.opened)
        m_count.opened->add();
    m_observer.sent(m_timers.now());
    DatabaseLink::Options options{
            .target = m_options.target,
            .observer = {.onSent = [this] { m_observer.sent(m_timers.now()); },
                         .onReply =
                                 [this](const StatementReply &reply, Duration time) {
                                     m_observer.replied(reply, time, m_timers.now());
                                 }},
            .gate = {.enter = [this](std::function<bool()> start) { enterGate(std::move(start)); },
                     .leave =
                             [this, used](Duration time, const WorkKind &work) {
                                 *used += time;
                                 leaveGate(time, work);
                             }},
            .onOpened = [this](DatabaseLink &link,
                               const StatementReply &reply) { linkOpened(link, reply); },
            .onBroken =
                    [this](DatabaseLink &link, const Error &error) {
                        linkBroken(link, error);
                    }};
    options.target.customer = customer;
    m_links.push_back(
            {.link = std::make_shared<DatabaseLink>(m_timers, m_connect, std::move(options)),
             .customer = customer,
             .priority = priority,
             .openedAt = m_timers.now(),
             .holdsSlot = !customer.isEmpty(),
             .used = used});
    if (!customer.isEmpty())
        m_limit.begin(m_timers.now());
}

void DatabasePool::openFailed()
{
    m_backoff = std::clamp(m_backoff * 2, m_options.firstBackoff, m_options.maximumBackoff);
    m_openNotBefore = m_timers.now() + m_backoff;
    serveQueue();
}

void DatabasePool::linkOpened(DatabaseLink &link, const StatementReply &reply)
{
    m_observer.replied(reply, Duration(0), m_timers.now());
    Entry *entry = find(link);
    if (!entry)
        return;
    const std::shared_ptr<DatabaseLink> opened = entry->link;
    releaseSlot(*entry);
    if (!reply.isSuccess()) {
        remove(link);
        openFailed();
        return;
    }
    m_backoff = Duration(0);
    becomeFree(opened);
}

void DatabasePool::linkBroken(DatabaseLink &link, const Error &error)
{
    if (error.code == ErrorCode::Refused)
        m_observer.refused(m_timers.now());
    else
        m_observer.lost();
    remove(link);
    if (error.code == ErrorCode::Unreachable || error.code == ErrorCode::Refused)
        openFailed();
    else
        serveQueue();
}

void DatabasePool::remove(const DatabaseLink &link)
{
    const auto found = std::find_if(m_links.begin(), m_links.end(), [&link](const Entry &entry) {
        return entry.link.get() == &link;
    });
    if (found == m_links.end())
        return;
    // The link may be the caller, so it is destroyed later.
    Entry removed = std::move(*found);
    m_links.erase(found);
    m_timers.after(Duration(0), [link = removed.link] {});
    settle(removed);
    releaseSlot(removed);
}

void DatabasePool::giveBack(const std::shared_ptr<StatementLink> &returned)
{
    const auto link = std::static_pointer_cast<DatabaseLink>(returned);
    Entry *entry = find(*link);
    if (!entry || link->isBroken())
        return;
    settle(*entry);
    if (link->isBusy()) {
        link->breakConnection({.code = ErrorCode::Timeout,
                               .message = "lease released with a statement under way"});
        return;
    }
    if (link->phase() != SessionPhase::Idle) {
        rollBack(link);
        return;
    }
    becomeFree(link);
}

void DatabasePool::rollBack(const std::shared_ptr<DatabaseLink> &link)
{
    const Timers::Id timer =
            m_timers.after(m_options.rollbackTimeout, [weak = std::weak_ptr(link)] {
                if (const auto busy = weak.lock())
                    busy->breakConnection({.code = ErrorCode::Timeout,
                                           .message = "no reply to a rollback in time"});
            });
    link->run({.command = {.statement = {.kind = StatementKind::Rollback}}},
              [this, timer, weak = std::weak_ptr(link)](const LinkOutcome &outcome) {
                  m_timers.cancel(timer);
                  const auto rolledBack = weak.lock();
                  if (!rolledBack || outcome.end != LinkEnd::Answered)
                      return;
                  if (rolledBack->phase() == SessionPhase::Idle)
                      becomeFree(rolledBack);
                  else
                      rolledBack->breakConnection(
                              {ErrorCode::Internal, "transaction still open after a rollback"});
              });
}

void DatabasePool::becomeFree(const std::shared_ptr<DatabaseLink> &link)
{
    if (Entry *entry = find(*link))
        entry->isLeased = false;
    if (m_isClosed || m_links.size() > m_options.maximum) {
        remove(*link);
        return;
    }
    grantNext();
    scheduleIdleCheck();
}

void DatabasePool::enterGate(std::function<bool()> start)
{
    if (m_limit.hasRoom())
        passGate(start);
    else
        m_atGate.push_back(std::move(start));
}

void DatabasePool::passGate(const std::function<bool()> &start)
{
    m_limit.begin(m_timers.now());
    if (!start())
        m_limit.end(Duration(0), m_timers.now());
}

void DatabasePool::leaveGate(Duration time, const WorkKind &work)
{
    m_limit.end(time, m_timers.now(), work);
    passGates();
    grantNext();
}

void DatabasePool::passGates()
{
    while (!m_atGate.empty() && m_limit.hasRoom()) {
        const std::function<bool()> start = std::move(m_atGate.front());
        m_atGate.pop_front();
        passGate(start);
    }
}

void DatabasePool::releaseSlot(Entry &entry)
{
    if (!std::exchange(entry.holdsSlot, false))
        return;
    m_queue.settle(entry.priority, entry.customer, Duration(0), m_timers.now() - entry.openedAt);
    m_limit.end(Duration(0), m_timers.now());
    passGates();
}

Duration DatabasePool::idleTimeout(const Entry &entry) const
{
    // A VM that owns no connections must return the few that it opened: other VMs own them all.
    const bool isOwner = m_options.kept > 0;
    const bool isKeptLong = isOwner && (m_areCustomersNamed || !entry.customer.isEmpty());
    return isKeptLong ? m_options.customerIdleTimeout : m_options.idleTimeout;
}

void DatabasePool::scheduleIdleCheck()
{
    if (m_idleTimer != 0 || m_links.size() <= keptAhead())
        return;
    m_idleTimer = m_timers.after(m_options.idleTimeout, [this] {
        m_idleTimer = 0;
        closeIdle();
    });
}

void DatabasePool::closeIdle()
{
    const Instant now = m_timers.now();
    for (std::size_t i = m_links.size(); i > 0 && m_links.size() > keptAhead(); --i) {
        const Entry &entry = m_links[i - 1];
        const bool isUnused = !entry.isLeased && entry.link->isOpen()
                              && now - entry.link->lastUsed() >= idleTimeout(entry);
        if (isUnused)
            m_links.erase(m_links.begin() + static_cast<std::ptrdiff_t>(i - 1));
    }
    scheduleIdleCheck();
}

} // namespace fescuespring
