#pragma once

#include "messages/plans.h"
#include "workstore.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace fescuespring::detail {

struct PlanState;

enum class FlowKind : std::uint8_t {
    Short,
    Long,
};

constexpr std::size_t flowKinds = 2;
constexpr std::array<FlowKind, flowKinds> allFlowKinds{FlowKind::Short, FlowKind::Long};

constexpr std::size_t indexOf(FlowKind kind)
{
    return static_cast<std::size_t>(kind);
}

// The queued work of one kind of one plan. Its customers are served round robin, one work item at a
// time; the work of one customer is served oldest first.
class Flow
{
public:
    void push(WorkStore &store, std::uint32_t index);

    // The next work item, which stays in the flow. The flow must not be empty.
    std::uint32_t front(WorkStore &store) const;

    // Removes a work item at any position. If it was the front, the next customer follows.
    void remove(WorkStore &store, std::uint32_t index);

    bool isEmpty() const
    {
        return m_size == 0;
    }
    std::uint32_t size() const
    {
        return m_size;
    }

    // Expected slot time of the queued work.
    Duration backlog() const
    {
        return m_backlog;
    }

    // Expected slot time of the work that is served before new work of a customer that has
    // ownQueued work items queued here.
    double backlogAhead(std::uint32_t ownQueued) const;

    PlanState *plan = nullptr;
    FlowKind kind = FlowKind::Short;

    // Unique within a scheduler.
    std::uint64_t id = 0;

    // Time since which the flow has not been empty.
    Instant occupiedSince;

    // Start tag of the next dispatch: microseconds of slot time divided by weight.
    double tag = 0.0;

    // Position in the heap of its priority, noIndex while it may not run.
    std::uint32_t heapPosition = noIndex;

private:
    void addToRing(WorkStore &store, std::uint32_t queue);
    void removeFromRing(WorkStore &store, std::uint32_t queue);

    // The customer queue that is served next; its predecessor in the ring is served last.
    std::uint32_t m_nextQueue = noIndex;
    std::uint32_t m_customers = 0;
    std::uint32_t m_size = 0;
    Duration m_backlog{0};
};

// A plan at one database.
struct PlanState
{
    Plan plan;
    bool isRemoved = false;
    std::uint32_t running = 0;
    std::uint32_t runningLong = 0;
    std::array<Flow, flowKinds> flows;

    Flow &flow(FlowKind kind)
    {
        return flows[indexOf(kind)];
    }
    const Flow &flow(FlowKind kind) const
    {
        return flows[indexOf(kind)];
    }
    std::uint32_t queued() const
    {
        return flows[0].size() + flows[1].size();
    }
    bool mayRun(FlowKind kind) const;

    // Weight of one of its flows: the plan's weight divided by the number of its flows that are not
    // empty. The flow itself counts even if it is empty.
    double flowWeight(FlowKind kind) const;
};

// Flows that may run, ordered by tag, lowest first.
class FlowHeap
{
public:
    bool isEmpty() const
    {
        return m_flows.empty();
    }
    Flow *top() const
    {
        return m_flows.front();
    }
    void push(Flow &flow);
    void remove(Flow &flow);

    // Must be called after the tag of the flow has changed.
    void update(Flow &flow);

private:
    void place(std::size_t position, Flow *flow);
    void siftUp(std::size_t position);
    void siftDown(std::size_t position);

    std::vector<Flow *> m_flows;
};

} // namespace fescuespring::detail
