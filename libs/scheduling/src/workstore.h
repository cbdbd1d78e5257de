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

// A work item of a scheduler. previous and next link the queue of its customer.
struct WorkItem
{
    Flow *flow = nullptr;
    std::uint64_t fingerprint = 0;
    std::uint64_t customer = 0;
    std::uint64_t context = 0;
    Instant deadline;
    Instant enqueuedAt;
    Instant dispatchedAt;

    // Estimated time at which a slot of the database became free for it.
    std::optional<Instant> startedAt;
    Duration cost{0};

    // Number of short work items of the scheduler that had finished before this was dispatched.
    std::uint64_t shortFinishedBefore = 0;
    std::uint32_t previous = noIndex;
    std::uint32_t next = noIndex;
    std::uint32_t queue = noIndex;
    std::uint32_t generation = 0;

    // Higher priorities that yielded to it, as a bit mask.
    std::uint32_t yielded = 0;
    WorkState state = WorkState::Free;
    bool isLong = false;

    // Whether it was admitted during a burst, and may wait until its deadline.
    bool isBurst = false;
};

// The queued work of one customer in one flow, oldest first. previous and next link the ring of the
// flow's customers.
struct CustomerQueue
{
    std::uint64_t key = 0;
    std::uint32_t head = noIndex;
    std::uint32_t tail = noIndex;
    std::uint32_t size = 0;
    std::uint32_t previous = noIndex;
    std::uint32_t next = noIndex;
};

// All work items of a scheduler, and the queues of the customers that have queued work. A ticket
// consists of the index of an item and the generation of that index.
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

    // Returns noIndex for a ticket that is no longer valid.
    std::uint32_t find(Ticket ticket) const;

    CustomerQueue &queue(std::uint32_t index)
    {
        return m_queues[index];
    }

    // The queue of a customer in a flow, noIndex if it has no queued work there.
    std::uint32_t findQueue(const Flow &flow, std::uint64_t customer) const;
    std::uint32_t addQueue(const Flow &flow, std::uint64_t customer);
    void removeQueue(std::uint32_t index);

    // Appends an item to a queue, and removes one from its queue at any position.
    void append(std::uint32_t queue, std::uint32_t index);
    void unlink(std::uint32_t index);

private:
    Slab<WorkItem> m_items;
    Slab<CustomerQueue> m_queues;
    std::unordered_map<std::uint64_t, std::uint32_t> m_queueByKey;
};

} // namespace fescuespring::detail
