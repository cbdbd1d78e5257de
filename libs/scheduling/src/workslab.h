#pragma once

#include "base/types.h"
#include "scheduling/scheduler.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace fescuespring::detail {

class Flow;

constexpr std::uint32_t noIndex = 0xffffffff;

enum class WorkState : std::uint8_t {
    Free,
    Queued,
    Running,
};

// One piece of work at a scheduler. previous and next link the queue of its customer bucket.
struct WorkItem
{
    Flow *flow = nullptr;
    std::uint64_t fingerprint = 0;
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
    std::uint32_t generation = 0;

    // Higher priorities that gave way to it, one bit each.
    std::uint32_t gaveWay = 0;
    std::uint8_t bucket = 0;
    WorkState state = WorkState::Free;
    bool isLong = false;
};

// Items by index, reused when free. A ticket is an index and the generation of its use.
class WorkSlab
{
public:
    std::uint32_t allocate();
    void free(std::uint32_t index);

    WorkItem &operator[](std::uint32_t index)
    {
        return m_items[index];
    }
    const WorkItem &operator[](std::uint32_t index) const
    {
        return m_items[index];
    }

    // Indices are below this.
    std::uint32_t size() const
    {
        return static_cast<std::uint32_t>(m_items.size());
    }

    Ticket ticket(std::uint32_t index) const;

    // noIndex for a ticket that is over.
    std::uint32_t find(Ticket ticket) const;

private:
    std::vector<WorkItem> m_items;
    std::vector<std::uint32_t> m_free;
};

} // namespace fescuespring::detail
