#include "databasepoolwalk.h"

#include <algorithm>
#include <utility>

// Which link serves which request.

namespace fescuespring {

bool DatabasePool::hasCustomers() const
{
    return m_areCustomersNamed || m_hadCustomer;
}

// The VM's own statements may use the link of any customer, but leave these to their customers if
// there is another one. Of equal links, the one that has been open longest is taken: a status that
// it brings shows best how long the database has run.
DatabasePool::Entry *DatabasePool::nearestFree(const LinkRequest &request, const Walk *walk)
{
    Entry *nearest = nullptr;
    std::size_t nearestDistance = 0;
    for (Entry &entry : m_links) {
        if (entry.isLeased || !entry.link->isOpen())
            continue;
        if (walk && walk->setAside.contains(entry.link.get()))
            continue;
        if (request.context && entry.customer != request.customer)
            continue;
        const std::size_t distance = request.context
                                             ? entry.link->context().distance(*request.context)
                                             : (entry.customer.isEmpty() ? 0 : 1);
        if (nearest && distance >= nearestDistance)
            continue;
        nearest = &entry;
        nearestDistance = distance;
    }
    return nearest;
}

LinkLease DatabasePool::tryAcquire(const LinkRequest &request)
{
    m_hadCustomer = m_hadCustomer || !request.customer.isEmpty();
    if (m_isClosed)
        return {};
    if (request.context) {
        const bool othersWait = hasCustomers() ? m_waitingByCustomer.contains(request.customer)
                                               : !m_queue.isEmpty();
        if (othersWait || !m_limit.hasRoom())
            return {};
    }
    Entry *entry = nearestFree(request);
    if (!entry)
        return {};
    return lease(*entry, request);
}

LinkLease DatabasePool::lease(Entry &entry, const LinkRequest &request)
{
    entry.isLeased = true;
    entry.leasedAt = m_timers.now();
    *entry.used = Duration(0);
    if (hasCustomers() && request.context) {
        entry.charge = Charge{.priority = request.priority,
                              .customer = request.customer,
                              .time = m_queue.charge(request.priority, request.customer)};
    }
    return {shared_from_this(), entry.link};
}

void DatabasePool::settle(Entry &entry)
{
    if (const auto charge = std::exchange(entry.charge, std::nullopt))
        m_queue.settle(charge->priority, charge->customer, charge->time, *entry.used);
}

DatabasePool::TicketId DatabasePool::wait(const LinkRequest &request, Granted granted)
{
    m_hadCustomer = m_hadCustomer || !request.customer.isEmpty();
    const TicketId ticket = ++m_lastTicket;
    const Instant now = m_timers.now();
    m_queue.push(ticket, request.priority, now, request.customer);
    m_waiters[ticket] = {.request = request, .granted = std::move(granted), .since = now};
    ++m_waitingByCustomer[request.customer];
    openForDemand();
    return ticket;
}

void DatabasePool::cancel(TicketId ticket)
{
    m_queue.remove(ticket);
    const auto found = m_waiters.find(ticket);
    if (found == m_waiters.end())
        return;
    const auto waiting = m_waitingByCustomer.find(found->second.request.customer);
    if (--waiting->second == 0)
        m_waitingByCustomer.erase(waiting);
    m_waiters.erase(found);
}

void DatabasePool::grantNext()
{
    if (hasCustomers()) {
        while (grantOneOfCustomers()) {}
        return;
    }
    while (m_limit.hasRoom()) {
        const auto ticket = m_queue.next(m_timers.now());
        if (!ticket)
            return;
        Entry *entry = nearestFree(m_waiters.at(*ticket).request);
        if (!entry)
            return;
        grant(*ticket, *entry);
    }
}

void DatabasePool::grant(TicketId ticket, Entry &entry)
{
    if (m_count.waitsGranted)
        m_count.waitsGranted->add();
    const Waiter waiter = m_waiters.at(ticket);
    cancel(ticket);
    waiter.granted(lease(entry, waiter.request));
}

bool DatabasePool::grantOneOfCustomers()
{
    if (m_isClosed)
        return false;
    Walk walk{.hasRoom = m_limit.hasRoom(), .mayGrant = true, .coming = comingByCustomer()};
    const auto ticket = walkQueue(walk);
    if (!ticket)
        return false;
    grant(*ticket, *nearestFree(m_waiters.at(*ticket).request));
    return true;
}

std::optional<DatabasePool::TicketId> DatabasePool::walkQueue(Walk &walk)
{
    const std::set<TicketId> overdue = overdueTickets(walk);
    for (const TicketId ticket : overdue)
        serve(m_waiters.at(ticket), walk);
    return m_queue.find(m_timers.now(), [&](TicketId ticket) {
        return !overdue.contains(ticket) && serve(m_waiters.at(ticket), walk);
    });
}

// Returns whether a free link can be granted to the waiting statement now.
bool DatabasePool::serve(const Waiter &waiter, Walk &walk)
{
    walk.hasRoom = m_limit.hasRoom();
    if (const Entry *entry = nearestFree(waiter.request, &walk)) {
        if (walk.mayGrant && walk.hasRoom)
            return true;
        walk.setAside.insert(entry->link.get());
        return false;
    }
    std::size_t &coming = walk.coming[waiter.request.customer];
    if (coming > 0)
        --coming;
    else
        makeRoom(waiter, walk);
    return false;
}

// The oldest ticket of each customer that has waited for groupingBound and has no link here. The
// order of the queue counts slot time only: customers that hold links between statements would
// otherwise keep them all.
std::set<DatabasePool::TicketId> DatabasePool::overdueTickets(const Walk &walk) const
{
    std::set<TicketId> overdue;
    std::set<CustomerId> served;
    for (const auto &[ticket, waiter] : m_waiters) {
        if (m_timers.now() - waiter.since < m_options.groupingBound)
            break;
        const CustomerId &customer = waiter.request.customer;
        if (!waiter.request.context || walk.coming.contains(customer)
            || !served.insert(customer).second)
            continue;
        const bool hasLink = std::ranges::any_of(
                m_links, [&customer](const Entry &entry) { return entry.customer == customer; });
        if (!hasLink)
            overdue.insert(ticket);
    }
    return overdue;
}

} // namespace fescuespring
