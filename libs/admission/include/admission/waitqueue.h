#pragma once

#include "base/types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace fescuespring {

// Queue of waiting tickets, ordered by priority, within a priority by customer, and within a
// customer by age, oldest first. If the first ticket of a customer has waited longer than
// overloadAfter, its newest ticket goes first (adaptive LIFO): under overload some requests are
// late anyway, and newest first keeps their number small and the others in time.
//
//     WaitQueue queue;
//     queue.push(ticket, priority, now, customer);
//     while (const auto ticket = queue.next(now)) {
//         queue.remove(*ticket);
//         const Duration charged = queue.charge(priority, customer);
//         ...
//         queue.settle(priority, customer, charged, slotTime);
//     }
//
// Customers of one priority share slot time by start-time fair queueing: the customer with the
// lowest tag goes first, and each grant advances its tag by the expected slot time divided by its
// weight. A customer that was idle starts at the current virtual time, so that idle capacity is
// lent and not credited. Where all tickets are of one customer, the order is by priority and age.
//
// While tickets of lower priorities wait, each grant of a higher one gives these a credit, and they
// go first while it is positive: a floor of lowerShare of the slot time. No credit arises before
// the first ticket of a customer.
//
// Not thread-safe. Time is passed in by the caller.
class WaitQueue
{
public:
    using Ticket = std::uint64_t;

    // Positive; 1 for a customer of mean size.
    using Weight = std::function<double(const CustomerId &)>;

    explicit WaitQueue(Duration overloadAfter = std::chrono::milliseconds(80));

    // Applies from the next grant on. Without it, all customers have the same weight.
    void setWeight(Weight weight);

    // Lower priority values go first. The customer is empty for tickets without one, which share
    // the place of one customer.
    void push(Ticket ticket, std::uint32_t priority, Instant now, const CustomerId &customer = {});

    // Returns false if the ticket is not in the queue.
    bool remove(Ticket ticket);

    // The ticket that goes next, which stays in the queue; nothing if the queue is empty.
    std::optional<Ticket> next(Instant now) const;

    // The first ticket in this order for which matches returns true; the order assumes that all
    // before it are granted. matches must not change the queue.
    std::optional<Ticket> find(Instant now, const std::function<bool(Ticket)> &matches) const;

    // A ticket was granted, or a request that did not wait. Returns the expected slot time, which
    // is charged to the customer.
    Duration charge(std::uint32_t priority, const CustomerId &customer);

    // A grant ended after using this slot time in place of what was charged; zero if it ran
    // nothing. Other slot time of a customer is settled with nothing charged, and not learned.
    void settle(std::uint32_t priority, const CustomerId &customer, Duration charged,
                Duration used);

    // Approximate number of tickets that go before a new one, if none is preferred for its age: all
    // of higher priorities, and of each other customer of its priority as many as its own customer
    // has waiting, as customers take turns.
    std::size_t countAhead(std::uint32_t priority, const CustomerId &customer = {}) const;

    std::size_t size() const
    {
        return m_places.size();
    }
    bool isEmpty() const
    {
        return m_places.empty();
    }
    void clear();

private:
    struct Waiting
    {
        Ticket ticket = 0;
        Instant since;
    };

    // The tickets of one customer at one priority.
    struct Flow
    {
        // Ordered by arrival.
        std::vector<Waiting> waiting;

        // Virtual time at which its next grant starts, in microseconds of slot time by weight.
        double tag = 0;

        // Learned slot time of a grant, in microseconds.
        double cost = 0;
    };
    struct Level
    {
        std::map<CustomerId, Flow> flows;
        std::size_t waiting = 0;
        double virtualTime = 0;

        // Slot time that lower priorities may use before this one, in microseconds.
        double credit = 0;
    };
    struct Place
    {
        std::uint32_t priority = 0;
        CustomerId customer;
    };
    class Order;

    Flow &flow(Level &level, const CustomerId &customer);
    void dropIdleFlows(Level &level);
    double weight(const CustomerId &customer) const;
    static double earned(double cost);

    // By priority.
    std::map<std::uint32_t, Level> m_levels;
    std::map<Ticket, Place> m_places;
    Duration m_overloadAfter;
    Weight m_weight;
    bool m_hadCustomer = false;
};

} // namespace fescuespring
