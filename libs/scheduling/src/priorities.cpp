#include "priorities.h"

#include <algorithm>
#include <bit>

namespace fescuespring::detail {
namespace {

// Maximum credit of lower priorities, in microseconds of slot time.
constexpr double maximumCredit = 20'000.0;

// Maximum slot time that a flow may catch up after it was blocked by a limit of its plan, in
// microseconds.
constexpr double maximumLag = 100'000.0;

constexpr std::uint32_t bit(std::uint32_t priority)
{
    return 1U << priority;
}

constexpr std::uint32_t bit(FlowKind kind)
{
    return 1U << indexOf(kind);
}

double microseconds(Duration time)
{
    return static_cast<double>(time.count());
}

Duration fromMicroseconds(double microseconds)
{
    constexpr double hour = 3.6e9;
    return Duration(static_cast<Duration::rep>(std::min(microseconds, hour)));
}

} // namespace

std::uint32_t priorityOf(const PlanState &plan)
{
    return std::min(plan.plan.priority, priorityCount - 1);
}

Priorities::Priorities(double lowerShare)
    : m_lowerShare(lowerShare)
{}

Priorities::Level &Priorities::level(const Flow &flow)
{
    return m_levels[priorityOf(*flow.plan)];
}

const Priorities::Level &Priorities::level(const Flow &flow) const
{
    return m_levels[priorityOf(*flow.plan)];
}

void Priorities::willPush(Flow &flow, Duration cost)
{
    Level &flowLevel = level(flow);
    if (flow.isEmpty())
        flow.tag = std::max(flow.tag, flowLevel.virtualTime);
    if (flow.plan->queued() == 0)
        flowLevel.queuedWeight += flow.plan->plan.weight;
    flowLevel.backlog[indexOf(flow.kind)] += cost;
}

void Priorities::didRemove(Flow &flow, Duration cost)
{
    Level &flowLevel = level(flow);
    if (flow.plan->queued() == 0)
        flowLevel.queuedWeight -= flow.plan->plan.weight;
    flowLevel.backlog[indexOf(flow.kind)] -= cost;
}

void Priorities::refresh(PlanState &plan)
{
    for (Flow &flow : plan.flows)
        setEligible(flow, plan.mayRun(flow.kind));
}

void Priorities::setEligible(Flow &flow, bool eligible)
{
    if (eligible == (flow.heapPosition != noIndex))
        return;
    Level &flowLevel = level(flow);
    FlowHeap &heap = flowLevel.heaps[indexOf(flow.kind)];
    if (eligible) {
        const double floor = flowLevel.virtualTime - maximumLag / flow.plan->flowWeight(flow.kind);
        flow.tag = std::max(flow.tag, floor);
        heap.push(flow);
    } else {
        heap.remove(flow);
    }
    std::uint32_t &mayRun = m_mayRun[indexOf(flow.kind)];
    const std::uint32_t ownBit = bit(priorityOf(*flow.plan));
    mayRun = heap.isEmpty() ? mayRun & ~ownBit : mayRun | ownBit;
}

void Priorities::detach(PlanState &plan)
{
    Level &flowLevel = m_levels[priorityOf(plan)];
    for (Flow &flow : plan.flows) {
        setEligible(flow, false);
        flowLevel.backlog[indexOf(flow.kind)] -= flow.backlog();
        // Makes the tag relative, since the priority and its virtual time may change.
        flow.tag -= flowLevel.virtualTime;
    }
    if (plan.queued() > 0)
        flowLevel.queuedWeight -= plan.plan.weight;
}

void Priorities::attach(PlanState &plan)
{
    Level &flowLevel = m_levels[priorityOf(plan)];
    for (Flow &flow : plan.flows) {
        flowLevel.backlog[indexOf(flow.kind)] += flow.backlog();
        flow.tag += flowLevel.virtualTime;
    }
    if (plan.queued() > 0)
        flowLevel.queuedWeight += plan.plan.weight;
    refresh(plan);
}

Flow *Priorities::best(const Level &level, std::uint32_t kinds) const
{
    Flow *best = nullptr;
    for (const FlowKind kind : allFlowKinds) {
        const FlowHeap &heap = level.heaps[indexOf(kind)];
        if ((kinds & bit(kind)) == 0 || heap.isEmpty())
            continue;
        if (!best || heap.top()->tag < best->tag)
            best = heap.top();
    }
    return best;
}

bool Priorities::mayRunBelow(std::uint32_t priority, FlowKind kind) const
{
    return (m_mayRun[indexOf(kind)] & (bit(priority) - 1)) != 0;
}

bool Priorities::isQueuedBelow(std::uint32_t priority, FlowKind kind) const
{
    const auto end = m_levels.begin() + priority;
    return std::any_of(m_levels.begin(), end, [kind](const Level &level) {
        return level.backlog[indexOf(kind)] > Duration(0);
    });
}

std::uint32_t Priorities::kindsWithCredit(std::uint32_t priority, std::uint32_t kinds) const
{
    std::uint32_t withCredit = 0;
    for (const FlowKind kind : allFlowKinds) {
        const bool hasCredit = m_levels[priority].credit[indexOf(kind)] > 0.0;
        if (hasCredit && mayRunBelow(priority, kind))
            withCredit |= bit(kind);
    }
    return withCredit & kinds;
}

Pick Priorities::pick(bool longAllowed) const
{
    Pick pick;
    std::uint32_t kinds = bit(FlowKind::Short) | (longAllowed ? bit(FlowKind::Long) : 0);
    std::uint32_t levels = m_mayRun[0] | m_mayRun[1];
    while (levels != 0) {
        const auto priority = static_cast<std::uint32_t>(std::bit_width(levels)) - 1;
        levels &= ~bit(priority);
        Flow *flow = best(m_levels[priority], kinds);
        if (!flow)
            continue;
        const std::uint32_t withCredit = kindsWithCredit(priority, kinds);
        if (withCredit == 0) {
            pick.flow = flow;
            return pick;
        }
        kinds = withCredit;
        pick.yielded |= bit(priority);
    }
    return pick;
}

void Priorities::charge(const Pick &pick, Duration cost)
{
    Flow &flow = *pick.flow;
    Level &flowLevel = level(flow);
    const double time = microseconds(cost);
    flowLevel.virtualTime = std::max(flowLevel.virtualTime, flow.tag);
    flow.tag += time / flow.plan->flowWeight(flow.kind);
    if (flow.heapPosition != noIndex)
        flowLevel.heaps[indexOf(flow.kind)].update(flow);
    flowLevel.recentUse += time;

    spendCredit(pick, time);
    earnCredit(priorityOf(*flow.plan), time);
}

void Priorities::spendCredit(const Pick &pick, double cost)
{
    for (std::uint32_t priority = 0; priority < priorityCount; ++priority) {
        if ((pick.yielded & bit(priority)) != 0)
            m_levels[priority].credit[indexOf(pick.flow->kind)] -= cost;
    }
}

void Priorities::earnCredit(std::uint32_t priority, double cost)
{
    // Work that is currently blocked by a limit of its plan earns credit too.
    const bool shortIsQueued = isQueuedBelow(priority, FlowKind::Short);
    const bool longIsQueued = isQueuedBelow(priority, FlowKind::Long);
    if (!shortIsQueued && !longIsQueued)
        return;
    const double total = cost * m_lowerShare / (1.0 - m_lowerShare);
    const double each = shortIsQueued && longIsQueued ? total / 2 : total;
    Level &flowLevel = m_levels[priority];
    for (const FlowKind kind : allFlowKinds) {
        double &credit = flowLevel.credit[indexOf(kind)];
        if (kind == FlowKind::Short ? shortIsQueued : longIsQueued)
            credit = std::min(credit + each, maximumCredit);
    }
}

void Priorities::correct(const Pick &pick, Duration difference)
{
    Flow &flow = *pick.flow;
    spendCredit(pick, microseconds(difference));
    Level &flowLevel = level(flow);
    flow.tag += microseconds(difference) / flow.plan->flowWeight(flow.kind);
    if (flow.heapPosition != noIndex)
        flowLevel.heaps[indexOf(flow.kind)].update(flow);
    flowLevel.recentUse += microseconds(difference);
}

Duration Priorities::expectedWait(const Flow &flow, std::uint32_t ownQueued,
                                  const Capacity &capacity) const
{
    const Level &flowLevel = level(flow);
    const PlanState &plan = *flow.plan;
    const bool isLong = flow.kind == FlowKind::Long;
    const std::uint32_t priority = priorityOf(plan);

    const double usable =
            isLong ? capacity.longSlots : std::max(capacity.slots - capacity.runningLong, 1.0);
    double usedAbove = 0.0;
    double backlogAbove = 0.0;
    double guaranteed = capacity.slots;
    for (std::uint32_t above = priority + 1; above < priorityCount; ++above) {
        const Level &other = m_levels[above];
        usedAbove += other.slotsUsed;
        backlogAbove += microseconds(other.backlog[indexOf(flow.kind)]);
        if (other.slotsUsed > 0.0)
            guaranteed *= m_lowerShare;
    }
    guaranteed = std::min(guaranteed, usable);
    const double rate = std::clamp(capacity.slots - usedAbove, guaranteed, usable);

    const double ownWeight = plan.queued() == 0 ? plan.plan.weight : 0.0;
    const double share = plan.flowWeight(flow.kind) / (flowLevel.queuedWeight + ownWeight);
    const double flowBacklog = flow.backlogAhead(ownQueued);
    const double levelBacklog = microseconds(flowLevel.backlog[indexOf(flow.kind)]);
    const double ahead = std::min(flowBacklog / share, levelBacklog);
    // Either the backlog of higher priorities is served first, or the guaranteed share serves it.
    const double fair = std::min(backlogAbove / usable + ahead / rate, ahead / guaranteed);
    const double maximumRunning = isLong ? std::min(plan.plan.longStatements, plan.plan.connections)
                                         : plan.plan.connections;
    const double limited = flowBacklog / std::max(maximumRunning, 1.0);
    return fromMicroseconds(std::max(fair, limited));
}

void Priorities::decayUse(double factor, double window)
{
    for (Level &level : m_levels) {
        level.slotsUsed = level.recentUse / window;
        level.recentUse *= factor;
    }
}

Duration Priorities::backlog() const
{
    Duration sum{0};
    for (const Level &level : m_levels)
        sum += level.backlog[0] + level.backlog[1];
    return sum;
}

} // namespace fescuespring::detail
