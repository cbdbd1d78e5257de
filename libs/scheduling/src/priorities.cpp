#include "priorities.h"

#include <algorithm>
#include <bit>

namespace fescuespring::detail {
namespace {

// Credit that lower priorities can save up, in microseconds of slot time.
constexpr double creditAtMost = 20'000.0;

// Slot time that a flow which was held back by a limit of its plan may catch up, in microseconds.
constexpr double lagAtMost = 100'000.0;

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
    Level &its = level(flow);
    if (flow.isEmpty())
        flow.tag = std::max(flow.tag, its.virtualTime);
    if (flow.plan->queued() == 0)
        its.waitingWeight += flow.plan->plan.weight;
    its.backlog[indexOf(flow.kind)] += cost;
}

void Priorities::didRemove(Flow &flow, Duration cost)
{
    Level &its = level(flow);
    if (flow.plan->queued() == 0)
        its.waitingWeight -= flow.plan->plan.weight;
    its.backlog[indexOf(flow.kind)] -= cost;
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
    Level &its = level(flow);
    FlowHeap &heap = its.heaps[indexOf(flow.kind)];
    if (eligible) {
        const double floor = its.virtualTime - lagAtMost / flow.plan->flowWeight(flow.kind);
        flow.tag = std::max(flow.tag, floor);
        heap.push(flow);
    } else {
        heap.remove(flow);
    }
    std::uint32_t &mayRun = m_mayRun[indexOf(flow.kind)];
    const std::uint32_t own = bit(priorityOf(*flow.plan));
    mayRun = heap.isEmpty() ? mayRun & ~own : mayRun | own;
}

void Priorities::detach(PlanState &plan)
{
    Level &its = m_levels[priorityOf(plan)];
    for (Flow &flow : plan.flows) {
        setEligible(flow, false);
        its.backlog[indexOf(flow.kind)] -= flow.backlog();
        // Tags count from the virtual time of the priority, which may be another one afterwards.
        flow.tag -= its.virtualTime;
    }
    if (plan.queued() > 0)
        its.waitingWeight -= plan.plan.weight;
}

void Priorities::attach(PlanState &plan)
{
    Level &its = m_levels[priorityOf(plan)];
    for (Flow &flow : plan.flows) {
        its.backlog[indexOf(flow.kind)] += flow.backlog();
        flow.tag += its.virtualTime;
    }
    if (plan.queued() > 0)
        its.waitingWeight += plan.plan.weight;
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

std::uint32_t Priorities::kindsOwed(std::uint32_t priority, std::uint32_t kinds) const
{
    std::uint32_t owed = 0;
    for (const FlowKind kind : allFlowKinds) {
        const bool hasCredit = m_levels[priority].credit[indexOf(kind)] > 0.0;
        if (hasCredit && mayRunBelow(priority, kind))
            owed |= bit(kind);
    }
    return owed & kinds;
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
        const std::uint32_t owed = kindsOwed(priority, kinds);
        if (owed == 0) {
            pick.flow = flow;
            return pick;
        }
        kinds = owed;
        pick.gaveWay |= bit(priority);
    }
    return pick;
}

void Priorities::charge(const Pick &pick, Duration cost)
{
    Flow &flow = *pick.flow;
    Level &its = level(flow);
    const double time = microseconds(cost);
    its.virtualTime = std::max(its.virtualTime, flow.tag);
    flow.tag += time / flow.plan->flowWeight(flow.kind);
    if (flow.heapPosition != noIndex)
        its.heaps[indexOf(flow.kind)].update(flow);
    its.recentUse += time;

    spendCredit(pick, time);
    earnCredit(priorityOf(*flow.plan), time);
}

void Priorities::spendCredit(const Pick &pick, double cost)
{
    for (std::uint32_t priority = 0; priority < priorityCount; ++priority) {
        if ((pick.gaveWay & bit(priority)) != 0)
            m_levels[priority].credit[indexOf(pick.flow->kind)] -= cost;
    }
}

void Priorities::earnCredit(std::uint32_t priority, double cost)
{
    // Also work that a limit of its plan holds back for the moment earns its turn.
    const bool shortWaits = isQueuedBelow(priority, FlowKind::Short);
    const bool longWaits = isQueuedBelow(priority, FlowKind::Long);
    if (!shortWaits && !longWaits)
        return;
    const double all = cost * m_lowerShare / (1.0 - m_lowerShare);
    const double each = shortWaits && longWaits ? all / 2 : all;
    Level &its = m_levels[priority];
    for (const FlowKind kind : allFlowKinds) {
        double &credit = its.credit[indexOf(kind)];
        if (kind == FlowKind::Short ? shortWaits : longWaits)
            credit = std::min(credit + each, creditAtMost);
    }
}

void Priorities::correct(const Pick &pick, Duration difference)
{
    Flow &flow = *pick.flow;
    spendCredit(pick, microseconds(difference));
    Level &its = level(flow);
    flow.tag += microseconds(difference) / flow.plan->flowWeight(flow.kind);
    if (flow.heapPosition != noIndex)
        its.heaps[indexOf(flow.kind)].update(flow);
    its.recentUse += microseconds(difference);
}

Duration Priorities::expectedWait(const Flow &flow, std::uint32_t ownQueued,
                                  const Capacity &capacity) const
{
    const Level &its = level(flow);
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
    const double share = plan.flowWeight(flow.kind) / (its.waitingWeight + ownWeight);
    const double ofFlow = flow.aheadOf(ownQueued);
    const double ofLevel = microseconds(its.backlog[indexOf(flow.kind)]);
    const double ahead = std::min(ofFlow / share, ofLevel);
    // Either the higher priorities run dry first, or the guarantee alone serves it.
    const double fair = std::min(backlogAbove / usable + ahead / rate, ahead / guaranteed);
    const double mostAtOnce = isLong ? std::min(plan.plan.longStatements, plan.plan.connections)
                                     : plan.plan.connections;
    const double limited = ofFlow / std::max(mostAtOnce, 1.0);
    return fromMicroseconds(std::max(fair, limited));
}

void Priorities::fadeUse(double factor, double window)
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
