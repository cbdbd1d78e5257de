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

// The waiting work of one kind of one plan. Its customers take turns, one piece of work each; what
// one customer has waiting is served oldest first.
class Flow
{
public:
    void push(WorkStore &store, std::uint32_t index);

    // The work whose turn it is, without taking it; the flow is not empty.
    std::uint32_t front(WorkStore &store) const;

    // Takes work out, from wherever it stands. Where it was the front, the turn passes on.
    void remove(WorkStore &store, std::uint32_t index);

    bool isEmpty() const
    {
        return m_size == 0;
    }
    std::uint32_t size() const
    {
        return m_size;
    }

    // Expected slot time of what waits.
    Duration backlog() const
    {
        return m_backlog;
    }

    // Expected slot time of what comes before new work of a customer with so much waiting already.
    double aheadOf(std::uint32_t ownQueued) const;

    PlanState *plan = nullptr;
    FlowKind kind = FlowKind::Short;

    // Tells the flows of a scheduler apart.
    std::uint64_t number = 0;

    // Since when work has been waiting without a break.
    Instant occupiedSince;

    // Start tag of the next dispatch, in microseconds of slot time by weight.
    double tag = 0.0;

    // Place in the heap of its priority, noIndex while it may not run.
    std::uint32_t heapPosition = noIndex;

private:
    void addToRing(WorkStore &store, std::uint32_t queue);
    void removeFromRing(WorkStore &store, std::uint32_t queue);

    // The customer queue whose turn it is; the one before it in the ring has its turn last.
    std::uint32_t m_turn = noIndex;
    std::uint32_t m_customers = 0;
    std::uint32_t m_size = 0;
    Duration m_backlog{0};
};

// A plan at one database.
struct PlanState
{
    Plan plan;
    bool isGone = false;
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

    // Weight of one of its flows: the plan's, divided by its flows that have work waiting. The
    // flow itself counts also while it is empty.
    double flowWeight(FlowKind kind) const;
};

// Flows that may run, the lowest tag first.
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

    // After the flow's tag changed.
    void update(Flow &flow);

private:
    void place(std::size_t position, Flow *flow);
    void siftUp(std::size_t position);
    void siftDown(std::size_t position);

    std::vector<Flow *> m_flows;
};

} // namespace fescuespring::detail
