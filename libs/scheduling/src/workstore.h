#pragma once

#include "base/types.h"
#include "scheduling/scheduler.h"
#include "slab.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace fescuespring::detail {

class Flow;

enum class WorkState : std::uint8_t {
    Free,
    Queued,
    Running,
};

// One piece of work at a scheduler. previous and next link the queue of its customer.
struct WorkItem
{
    Flow *flow = nullptr;
    std::uint64_t fingerprint = 0;
    std::uint64_t customer = 0;
    std::uint64_t context = 0;
    Instant deadline;
    Instant enqueuedAt;
    Instant dispatchedAt;

    // When one of the database's slots became free for it, as far as can be told from outside.
    std::optional<Instant> startedAt;
    Duration cost{0};

    // Short work of the scheduler that had finished before this was dispatched.
    std::uint64_t shortFinishedBefore = 0;
    std::uint32_t previous = noIndex;
    std::uint32_t next = noIndex;
    std::uint32_t queue = noIndex;
    std::uint32_t generation = 0;

    // Higher priorities that gave way to it, one bit each.
    std::uint32_t gaveWay = 0;
    WorkState state = WorkState::Free;
    bool isLong = false;

    // Whether it came in a burst, and may wait until its deadline.
    bool isOfBurst = false;
};

// What waits of one customer in one flow, oldest first; previous and next link the ring in which
// the customers of the flow take turns.
struct CustomerQueue
{
    std::uint64_t key = 0;
    std::uint32_t head = noIndex;
    std::uint32_t tail = noIndex;
    std::uint32_t size = 0;
    std::uint32_t previous = noIndex;
    std::uint32_t next = noIndex;
};

// All work of a scheduler, and the queues of the customers that have some waiting. A ticket is an
// index of an item and the generation of its use.
class WorkStore
{
public:
    std::uint32_t allocate()
    {
        return m_items.allocate();
    }
    void free(std::uint32_t index);

    WorkItem &operator[](std::uint32_t index)
    {
        return m_items[index];
    }
    const WorkItem &operator[](std::uint32_t index) const
    {
        return m_items[index];
    }
    std::uint32_t size() const
    {
        return m_items.size();
    }

    Ticket ticket(std::uint32_t index) const;

    // noIndex for a ticket that is over.
    std::uint32_t find(Ticket ticket) const;

    CustomerQueue &queue(std::uint32_t index)
    {
        return m_queues[index];
    }

    // The queue of a customer in a flow, noIndex if it has nothing waiting there.
    std::uint32_t findQueue(const Flow &flow, std::uint64_t customer) const;
    std::uint32_t addQueue(const Flow &flow, std::uint64_t customer);
    void removeQueue(std::uint32_t index);

    // Appends an item to a queue, and takes one out from wherever it stands.
    void append(std::uint32_t queue, std::uint32_t index);
    void unlink(std::uint32_t index);

private:
    Slab<WorkItem> m_items;
    Slab<CustomerQueue> m_queues;
    std::unordered_map<std::uint64_t, std::uint32_t> m_queueByKey;
};

} // namespace fescuespring::detail
