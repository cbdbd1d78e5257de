#pragma once

#include "flow.h"

#include <array>
#include <cstdint>

namespace fescuespring::detail {

constexpr std::uint32_t priorityCount = 10;

// The flow to run next, and the higher priorities that yielded to it, as a bit mask.
struct Pick
{
    Flow *flow = nullptr;
    std::uint32_t yielded = 0;
};

// Selects flows by priority, and within a priority by start-time fair queueing. The tag of a flow
// is the virtual time at which its next work may start. The flow with the lowest tag runs, and its
// tag is advanced by the cost of the work divided by the weight of the flow. A flow that was idle
// starts at the current virtual time, so that it neither gains nor loses by having been idle.
//
// Guarantee for lower priorities: each microsecond that a priority uses while lower ones have work
// queued gives these a credit of lowerShare / (1 - lowerShare) microseconds. While the credit is
// positive, they go first. Short and long work have separate credits, so that one long job does not
// use up the credit of short work.
class Priorities
{
public:
    explicit Priorities(double lowerShare);

    // Must be called before work is added to a flow and after it is removed, with its cost.
    void willPush(Flow &flow, Duration cost);
    void didRemove(Flow &flow, Duration cost);

    // Updates which flows of the plan may run.
    void refresh(PlanState &plan);

    // Must be called before and after a change of the plan's weight or priority.
    void detach(PlanState &plan);
    void attach(PlanState &plan);

    // Returns no flow if no work may run.
    Pick pick(bool longAllowed) const;

    // Charges the picked flow for work of this cost, which is dispatched now.
    void charge(const Pick &pick, Duration cost);

    // Corrects a charge by the difference between actual and charged cost, which may be negative.
    void correct(const Pick &pick, Duration difference);

    // Statements that a database runs at once (slots), how many of these are long (runningLong),
    // and how many may be at most (longSlots).
    struct Capacity
    {
        double slots = 1.0;
        double runningLong = 0.0;
        double longSlots = 1.0;
    };

    // Expected wait of new work in the flow, of a customer that has ownQueued work items there.
    Duration expectedWait(const Flow &flow, std::uint32_t ownQueued,
                          const Capacity &capacity) const;

    // Decays the recent use of each priority.
    void decayUse(double factor, double window);

    Duration backlog() const;

private:
    struct Level
    {
        std::array<FlowHeap, flowKinds> heaps;
        std::array<double, flowKinds> credit{};
        std::array<Duration, flowKinds> backlog{};
        double virtualTime = 0.0;

        // Sum of the weights of the plans that have queued work.
        double queuedWeight = 0.0;

        // Recently used slot time, which decays, and the average number of slots that it amounts
        // to.
        double recentUse = 0.0;
        double slotsUsed = 0.0;
    };

    Level &level(const Flow &flow);
    const Level &level(const Flow &flow) const;
    void setEligible(Flow &flow, bool eligible);
    Flow *best(const Level &level, std::uint32_t kinds) const;
    std::uint32_t kindsWithCredit(std::uint32_t priority, std::uint32_t kinds) const;
    bool mayRunBelow(std::uint32_t priority, FlowKind kind) const;
    bool isQueuedBelow(std::uint32_t priority, FlowKind kind) const;
    void spendCredit(const Pick &pick, double cost);
    void earnCredit(std::uint32_t priority, double cost);

    double m_lowerShare;
    std::array<Level, priorityCount> m_levels;

    // Priorities with flows that may run, as a bit mask by kind.
    std::array<std::uint32_t, flowKinds> m_mayRun{};
};

std::uint32_t priorityOf(const PlanState &plan);

} // namespace fescuespring::detail
