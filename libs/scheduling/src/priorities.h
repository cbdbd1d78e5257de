#pragma once

#include "flow.h"

#include <array>
#include <cstdint>

namespace fescuespring::detail {

constexpr std::uint32_t priorityCount = 10;

// The flow to run next, and the higher priorities that give way to it, one bit each.
struct Pick
{
    Flow *flow = nullptr;
    std::uint32_t gaveWay = 0;
};

// Flows by priority, and in each priority by start-time fair queueing: a flow's tag is the virtual
// time at which its next work may start; the lowest tag runs, and moves on by its cost divided by
// its weight. A flow that was idle starts at the virtual time of now, so that it is owed nothing
// for the past and waits for nobody else's.
//
// The guarantee of lower priorities: each microsecond that a priority uses while lower ones wait
// gives these a credit of lowerShare / (1 - lowerShare) microseconds, and while the credit is
// above zero they go first. Short and long work have a credit each, so that one long job does not
// use up the turns of short work.
class Priorities
{
public:
    explicit Priorities(double lowerShare);

    // Call before work is put into a flow, with the cost, and after it is taken out.
    void willPush(Flow &flow, Duration cost);
    void didRemove(Flow &flow, Duration cost);

    // Puts the plan's flows among those that may run, or takes them out.
    void refresh(PlanState &plan);

    // Takes a plan out altogether, and puts it back after a change of weight or priority.
    void detach(PlanState &plan);
    void attach(PlanState &plan);

    // No flow where nothing may run.
    Pick pick(bool longAllowed) const;

    // The picked flow runs work of this cost.
    void charge(const Pick &pick, Duration cost);

    // The work of a pick took so much more (or less) than was charged.
    void correct(const Pick &pick, Duration difference);

    // Expected wait of work that joins the flow now, of a customer with ownQueued waiting there, in
    // a database that runs so many statements at once, of which runningLong are long; longSlots is
    // the most that may be.
    struct Capacity
    {
        double slots = 1.0;
        double runningLong = 0.0;
        double longSlots = 1.0;
    };
    Duration expectedWait(const Flow &flow, std::uint32_t ownQueued,
                          const Capacity &capacity) const;

    // Lets the recent use of each priority fade.
    void fadeUse(double factor, double window);

    Duration backlog() const;

private:
    struct Level
    {
        std::array<FlowHeap, flowKinds> heaps;
        std::array<double, flowKinds> credit{};
        std::array<Duration, flowKinds> backlog{};
        double virtualTime = 0.0;

        // Sum of the weights of the plans that have work waiting.
        double waitingWeight = 0.0;

        // Slot time used lately that fades, and the slots that this makes on average.
        double recentUse = 0.0;
        double slotsUsed = 0.0;
    };

    Level &level(const Flow &flow);
    const Level &level(const Flow &flow) const;
    void setEligible(Flow &flow, bool eligible);
    Flow *best(const Level &level, std::uint32_t kinds) const;
    std::uint32_t kindsOwed(std::uint32_t priority, std::uint32_t kinds) const;
    bool mayRunBelow(std::uint32_t priority, FlowKind kind) const;
    bool isQueuedBelow(std::uint32_t priority, FlowKind kind) const;
    void spendCredit(const Pick &pick, double cost);
    void earnCredit(std::uint32_t priority, double cost);

    double m_lowerShare;
    std::array<Level, priorityCount> m_levels;

    // Priorities with flows that may run, one bit each, by kind.
    std::array<std::uint32_t, flowKinds> m_mayRun{};
};

std::uint32_t priorityOf(const PlanState &plan);

} // namespace fescuespring::detail
