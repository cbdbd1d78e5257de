#include "admission/waitqueue.h"

#include <algorithm>
#include <utility>

namespace fescuespring {

namespace {

// Share of slot time for lower priorities while higher ones could use all of it.
constexpr double lowerShare = 0.1;

// Maximum credit of lower priorities, in microseconds of slot time: a few short statements.
constexpr double maximumCredit = 20'000;

// Slot time assumed for the first grant of a customer, in microseconds.
constexpr double initialCost = 10'000;

// Weight of the latest slot time in the moving average.
constexpr double smoothingFactor = 0.125;

// Customers whose learned slot time is kept while they are idle.
constexpr std::size_t maximumFlows = 512;

} // namespace

// The order of the queue at one moment, assuming that every ticket is granted.
class WaitQueue::Order
{
public:
    Order(const WaitQueue &queue, Instant now)
        : m_queue(queue)
        , m_now(now)
    {
        for (const auto &[priority, level] : queue.m_levels) {
            if (level.waiting > 0)
                m_levels.push_back(
                        {.level = &level, .left = level.waiting, .credit = level.credit});
        }
    }

    std::optional<Ticket> take()
    {
        std::vector<LevelState *> yielding;
        for (auto state = m_levels.begin(); state != m_levels.end(); ++state) {
            if (state->left == 0)
                continue;
            const bool hasLower = std::any_of(std::next(state), m_levels.end(),
                                              [](const LevelState &s) { return s.left > 0; });
            if (hasLower && state->credit > 0) {
                yielding.push_back(&*state);
                continue;
            }
            FlowState &flow = firstFlow(*state);
            const double cost = flow.flow->cost;
            for (LevelState *higher : yielding)
                higher->credit -= cost;
            if (hasLower && m_queue.m_hadCustomer)
                state->credit = std::min(state->credit + earned(cost), maximumCredit);
            flow.tag += cost / flow.weight;
            --state->left;
            return takeFrom(flow);
        }
        return std::nullopt;
    }

private:
    struct FlowState
    {
        const Flow *flow = nullptr;
        std::size_t taken = 0;
        double tag = 0;
        double weight = 1;
    };
    struct LevelState
    {
        const Level *level = nullptr;
        std::size_t left = 0;
        double credit = 0;
        std::vector<FlowState> flows = {};
    };

    FlowState &firstFlow(LevelState &state) const
    {
        if (state.flows.empty()) {
            for (const auto &[customer, flow] : state.level->flows) {
                if (flow.waiting.empty())
                    continue;
                state.flows.push_back(
                        {.flow = &flow, .tag = flow.tag, .weight = m_queue.weight(customer)});
            }
        }
        FlowState *first = nullptr;
        for (FlowState &flow : state.flows) {
            if (flow.taken < flow.flow->waiting.size() && (!first || flow.tag < first->tag))
                first = &flow;
        }
        return *first;
    }

    Ticket takeFrom(FlowState &flow) const
    {
        const std::vector<Waiting> &waiting = flow.flow->waiting;
        const bool isOverloaded = m_now - waiting.front().since > m_queue.m_overloadAfter;
        const std::size_t index = flow.taken++;
        return waiting[isOverloaded ? waiting.size() - 1 - index : index].ticket;
    }

    const WaitQueue &m_queue;
    Instant m_now;
    std::vector<LevelState> m_levels;
};

WaitQueue::WaitQueue(Duration overloadAfter)
    : m_overloadAfter(overloadAfter)
{}

void WaitQueue::setWeight(Weight weight)
{
    m_weight = std::move(weight);
}

double WaitQueue::weight(const CustomerId &customer) const
{
    return m_weight && !customer.isEmpty() ? m_weight(customer) : 1.0;
}

// The credit for which a grant of a higher priority pays.
double WaitQueue::earned(double cost)
{
    return cost * lowerShare / (1 - lowerShare);
}

WaitQueue::Flow &WaitQueue::flow(Level &level, const CustomerId &customer)
{
    const auto found = level.flows.find(customer);
    if (found != level.flows.end())
        return found->second;
    if (level.flows.size() >= maximumFlows)
        dropIdleFlows(level);
    Flow &added = level.flows[customer];
    added.cost = initialCost;
    return added;
}

void WaitQueue::dropIdleFlows(Level &level)
{
    std::erase_if(level.flows, [&level](const auto &entry) {
        return entry.second.waiting.empty() && entry.second.tag <= level.virtualTime;
    });
}

void WaitQueue::push(Ticket ticket, std::uint32_t priority, Instant now, const CustomerId &customer)
{
    m_hadCustomer = m_hadCustomer || !customer.isEmpty();
    Level &level = m_levels[priority];
    Flow &added = flow(level, customer);
    if (added.waiting.empty())
        added.tag = std::max(added.tag, level.virtualTime);
    added.waiting.push_back({ticket, now});
    ++level.waiting;
    m_places[ticket] = {priority, customer};
}

bool WaitQueue::remove(Ticket ticket)
{
    const auto place = m_places.find(ticket);
    if (place == m_places.end())
        return false;
    Level &level = m_levels[place->second.priority];
    std::erase_if(level.flows[place->second.customer].waiting,
                  [ticket](const Waiting &waiting) { return waiting.ticket == ticket; });
    --level.waiting;
    m_places.erase(place);
    return true;
}

void WaitQueue::clear()
{
    m_places.clear();
    m_levels.clear();
}

std::size_t WaitQueue::countAhead(std::uint32_t priority, const CustomerId &customer) const
{
    std::size_t count = 0;
    for (const auto &[levelPriority, level] : m_levels) {
        if (levelPriority < priority)
            count += level.waiting;
    }
    const auto level = m_levels.find(priority);
    if (level == m_levels.end())
        return count;
    const auto own = level->second.flows.find(customer);
    const std::size_t ownWaiting =
            own == level->second.flows.end() ? 0 : own->second.waiting.size();
    for (const auto &[id, flow] : level->second.flows)
        count += id == customer ? ownWaiting : std::min(flow.waiting.size(), ownWaiting + 1);
    return count;
}

std::optional<WaitQueue::Ticket> WaitQueue::next(Instant now) const
{
    return Order(*this, now).take();
}

std::optional<WaitQueue::Ticket> WaitQueue::find(Instant now,
                                                 const std::function<bool(Ticket)> &matches) const
{
    Order order(*this, now);
    while (const auto ticket = order.take()) {
        if (matches(*ticket))
            return ticket;
    }
    return std::nullopt;
}

Duration WaitQueue::charge(std::uint32_t priority, const CustomerId &customer)
{
    m_hadCustomer = m_hadCustomer || !customer.isEmpty();
    Level &own = m_levels[priority];
    Flow &charged = flow(own, customer);
    const double cost = charged.cost;
    own.virtualTime = std::max(own.virtualTime, charged.tag);
    charged.tag = std::max(charged.tag, own.virtualTime) + cost / weight(customer);
    bool hasLower = false;
    for (auto &[levelPriority, level] : m_levels) {
        const bool isQueued = level.waiting > 0;
        if (levelPriority < priority && isQueued && level.credit > 0)
            level.credit -= cost;
        hasLower = hasLower || (levelPriority > priority && isQueued);
    }
    if (hasLower && m_hadCustomer)
        own.credit = std::min(own.credit + earned(cost), maximumCredit);
    return Duration(static_cast<Duration::rep>(cost));
}

void WaitQueue::settle(std::uint32_t priority, const CustomerId &customer, Duration charged,
                       Duration used)
{
    Flow &settled = flow(m_levels[priority], customer);
    settled.tag += static_cast<double>((used - charged).count()) / weight(customer);
    if (used > Duration(0) && charged > Duration(0))
        settled.cost += smoothingFactor * (static_cast<double>(used.count()) - settled.cost);
}

} // namespace fescuespring
