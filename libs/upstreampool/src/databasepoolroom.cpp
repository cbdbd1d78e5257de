#include "databasepoolwalk.h"

#include <algorithm>
#include <utility>

// Which links are opened for waiting statements, and which are closed to make room.

namespace fescuespring {

// Opens a link for a waiting statement, or closes an idle one of another customer, in whose place
// it is opened.
void DatabasePool::makeRoom(const Waiter &waiter, Walk &walk)
{
    const CustomerId &customer = waiter.request.customer;
    if (!customer.isEmpty() && !walk.hasRoom)
        return;
    if (m_links.size() + closing() < m_options.maximum) {
        if (mayOpenNow())
            open(customer, waiter.request.priority);
        return;
    }
    // While openings are refused, one at a time is tried, and no more idle links are lost to it.
    if (m_backoff > Duration(0) && opening() > 0)
        return;
    Entry *idle = leastRecentlyUsed(waiter, walk);
    if (idle && mayOpenNow())
        replace(*idle, customer);
}

// Links whose customer has nothing waiting are closed first.
DatabasePool::Entry *DatabasePool::leastRecentlyUsed(const Waiter &waiter, const Walk &walk)
{
    Entry *oldest = nullptr;
    bool oldestIsWanted = false;
    for (Entry &entry : m_links) {
        const bool isIdle = !entry.isLeased && entry.link->isOpen();
        if (!isIdle || walk.setAside.contains(entry.link.get())
            || entry.customer == waiter.request.customer || isHeldBack(entry, waiter))
            continue;
        const bool isWanted = m_waitingByCustomer.contains(entry.customer);
        const bool isOlder =
                !oldest
                || (isWanted == oldestIsWanted ? entry.link->lastUsed() < oldest->link->lastUsed()
                                               : oldestIsWanted);
        if (!isOlder)
            continue;
        oldest = &entry;
        oldestIsWanted = isWanted;
    }
    return oldest;
}

// Whether an idle link is left to its own customer, which has statements waiting too: if it has not
// served since it was opened, if one of these was queued at about the same time as `waiter`, or,
// for a waiter past the bound, if the customer was not served since then. Without the first and
// last, rare customers close one another's links while all of them wait for a slot.
bool DatabasePool::isHeldBack(const Entry &entry, const Waiter &waiter) const
{
    if (!m_waitingByCustomer.contains(entry.customer))
        return false;
    if (!entry.leasedAt)
        return true;
    if (m_timers.now() - waiter.since >= m_options.groupingBound)
        return *entry.leasedAt <= waiter.since;
    return std::ranges::any_of(m_waiters, [&](const auto &other) {
        return other.second.request.customer == entry.customer
               && other.second.since <= waiter.since + m_options.groupingWindow;
    });
}

// The room is used only when the connection is closed, so that the maximum is never exceeded.
void DatabasePool::replace(Entry &idle, const CustomerId &customer)
{
    if (m_count.closedForOther)
        m_count.closedForOther->add();
    ++m_closingFor[customer];
    auto closed = std::make_shared<std::shared_ptr<DatabaseLink>>(idle.link);
    std::erase_if(m_links, [&closed](const Entry &entry) { return entry.link == *closed; });
    // The link may be the caller, so it is destroyed later.
    m_timers.after(Duration(0), [closed, customer, weak = weak_from_this()] {
        closed->reset();
        const auto self = weak.lock();
        if (!self)
            return;
        if (--self->m_closingFor[customer] == 0)
            self->m_closingFor.erase(customer);
        self->grantNext();
    });
}

std::map<CustomerId, std::size_t> DatabasePool::comingByCustomer() const
{
    std::map<CustomerId, std::size_t> count = m_closingFor;
    for (const Entry &entry : m_links) {
        if (!entry.link->isOpen() && !entry.link->isBroken())
            ++count[entry.customer];
    }
    return count;
}

std::size_t DatabasePool::closing() const
{
    std::size_t count = 0;
    for (const auto &[customer, closing] : m_closingFor)
        count += closing;
    return count;
}

bool DatabasePool::mayOpenNow()
{
    const Instant now = m_timers.now();
    if (now >= m_openNotBefore)
        return true;
    if (m_openTimer == 0) {
        m_openTimer = m_timers.after(m_openNotBefore - now, [this] {
            m_openTimer = 0;
            serveQueue();
        });
    }
    return false;
}

// A link was lost or may be opened again. Its opening may have held the slot that others wait for.
void DatabasePool::serveQueue()
{
    if (hasCustomers())
        grantNext();
    else
        openForDemand();
}

void DatabasePool::openForDemand()
{
    if (m_isClosed)
        return;
    if (hasCustomers()) {
        Walk walk{.hasRoom = m_limit.hasRoom(), .coming = comingByCustomer()};
        walkQueue(walk);
        return;
    }
    while (m_links.size() < m_options.maximum && opening() < m_queue.size()) {
        if (!mayOpenNow())
            return;
        open({});
    }
}

} // namespace fescuespring
