#include "scheduling/scheduler.h"

#include "flow.h"
#include "priorities.h"
#include "workestimator.h"
#include "workstore.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <unordered_map>
#include <vector>

namespace fescuespring {
namespace {

using detail::Expectation;
using detail::Flow;
using detail::FlowKind;
using detail::noIndex;
using detail::Pick;
using detail::PlanState;
using detail::WorkItem;
using detail::WorkState;

// Interval at which queued work is checked for deadlines that can no longer be met.
constexpr Duration sweepInterval = std::chrono::milliseconds(10);

// Time constant of the exponential decay of recent use, and the interval at which it is applied.
constexpr Duration useDecayTime = std::chrono::milliseconds(100);
constexpr Duration useDecayInterval = std::chrono::milliseconds(10);

// Number of short work items that must finish while other work runs until that work is considered
// slow, and not the database.
constexpr std::uint64_t minimumShortFinished = 6;

constexpr std::chrono::milliseconds minimumRetryAfter{10};
constexpr std::chrono::milliseconds unreachableRetryAfter{500};

std::chrono::milliseconds retryAfter(Duration wait)
{
    return std::max(minimumRetryAfter, std::chrono::ceil<std::chrono::milliseconds>(wait));
}

FlowKind kindOf(bool isLong)
{
    return isLong ? FlowKind::Long : FlowKind::Short;
}

// The parameters of a removed plan while its remaining work runs.
Plan removedPlan(const Plan &old)
{
    Plan plan = old;
    plan.weight = 1;
    plan.priority = 0;
    plan.queue = 0;
    return plan;
}

} // namespace

struct Scheduler::Data
{
    explicit Data(const SchedulerOptions &schedulerOptions);

    PlanState *find(const PlanId &plan);
    std::uint32_t limit() const;
    std::uint32_t longLimit() const;
    detail::Priorities::Capacity capacity() const;
    Duration expectedWait(const Flow &flow, std::uint32_t ownQueued = 0) const;
    std::uint32_t queuedOf(const Flow &flow, const CustomerId &customer);
    Pick pick() const;

    std::optional<Refusal> checkAdmission(const Work &work, const PlanState &plan,
                                          const Expectation &expectation, Instant now);
    bool isBurst(const Flow &flow, Instant now) const;
    void push(std::uint32_t index, PlanState &plan, Instant now);
    void removeFromQueue(std::uint32_t index);
    void drop(std::uint32_t index, const Refusal &refusal);
    std::optional<Refusal> checkQueued(const WorkItem &item, Duration cost, Instant now) const;
    std::optional<Duration> reestimate(std::uint32_t index, Instant now);
    Dispatch dispatch(std::uint32_t index, const Pick &pick, Duration cost, Instant now);
    void startNext(Instant now);
    Duration slotTime(const WorkItem &item, Duration service) const;
    void markOverrunning(Instant now);
    void decayUse(Instant now);
    void sweep(Instant now);
    void finish(std::uint32_t index, Duration used, Instant now);
    void replacePlan(PlanState &state, const Plan &plan, bool isRemoved);
    void eraseRemovedPlans();

    SchedulerOptions options;
    detail::WorkEstimator estimator;
    detail::Priorities priorities;
    detail::WorkStore store;
    std::unordered_map<PlanId, PlanState> plans;
    std::vector<std::uint32_t> running;
    std::vector<DroppedWork> dropped;
    std::array<std::uint32_t, detail::flowKinds> queued{};
    std::uint32_t slots;
    std::uint32_t runningLong = 0;
    std::uint64_t shortFinished = 0;
    std::uint64_t lastFlowId = 0;
    Instant lastSweep;
    Instant lastDecay;
};

Scheduler::Data::Data(const SchedulerOptions &schedulerOptions)
    : options(schedulerOptions)
    , estimator(schedulerOptions)
    , priorities(schedulerOptions.lowerShare)
    , slots(schedulerOptions.slots)
{}

PlanState *Scheduler::Data::find(const PlanId &plan)
{
    const auto found = plans.find(plan);
    return found == plans.end() || found->second.isRemoved ? nullptr : &found->second;
}

// Number of statements that may be in flight at once.
std::uint32_t Scheduler::Data::limit() const
{
    return slots == 0 ? 0 : slots + options.spare;
}

std::uint32_t Scheduler::Data::longLimit() const
{
    const std::uint32_t maximum = slots > 1 ? slots - 1 : slots;
    return std::min(options.longSlots, maximum);
}

detail::Priorities::Capacity Scheduler::Data::capacity() const
{
    return {static_cast<double>(std::max(slots, 1U)), static_cast<double>(runningLong),
            static_cast<double>(std::max(longLimit(), 1U))};
}

Duration Scheduler::Data::expectedWait(const Flow &flow, std::uint32_t ownQueued) const
{
    return priorities.expectedWait(flow, ownQueued, capacity());
}

std::uint32_t Scheduler::Data::queuedOf(const Flow &flow, const CustomerId &customer)
{
    const std::uint32_t queue = store.findQueue(flow, std::hash<CustomerId>()(customer));
    return queue == noIndex ? 0 : store.queue(queue).size;
}

Pick Scheduler::Data::pick() const
{
    return priorities.pick(runningLong < longLimit());
}

std::optional<Refusal> Scheduler::Data::checkAdmission(const Work &work, const PlanState &plan,
                                                       const Expectation &expectation, Instant now)
{
    if (plan.plan.connections == 0 || (expectation.isLong && plan.plan.longStatements == 0))
        return Refusal{Reason::PlanForbids};
    if (now >= work.deadline)
        return Refusal{Reason::DeadlinePassed};
    if (slots == 0)
        return Refusal{Reason::UpstreamUnreachable, unreachableRetryAfter};
    const Duration timeLeft = work.deadline - now;
    if (expectation.cost > timeLeft) {
        estimator.lowerEstimate(work.fingerprint);
        return Refusal{Reason::DeadlineTooShort};
    }
    const Flow &flow = plan.flow(kindOf(expectation.isLong));
    const Duration wait = expectedWait(flow, queuedOf(flow, work.customer));
    if (plan.queued() >= plan.plan.queue)
        return Refusal{Reason::QueueFull, retryAfter(wait)};
    if (wait + expectation.cost > timeLeft)
        return Refusal{Reason::DeadlineTooShort, retryAfter(wait + expectation.cost - timeLeft)};
    const Duration waitLimit = isBurst(flow, now) ? options.burstWait : options.maximumWait;
    if (!expectation.isLong && wait > waitLimit)
        return Refusal{Reason::QueueFull, retryAfter(wait)};
    return std::nullopt;
}

bool Scheduler::Data::isBurst(const Flow &flow, Instant now) const
{
    return flow.isEmpty() || now - flow.occupiedSince <= options.burstTime;
}

void Scheduler::Data::push(std::uint32_t index, PlanState &plan, Instant now)
{
    WorkItem &item = store[index];
    Flow &flow = plan.flow(kindOf(item.isLong));
    if (flow.isEmpty())
        flow.occupiedSince = now;
    item.isBurst = isBurst(flow, now);
    priorities.willPush(flow, item.cost);
    flow.push(store, index);
    item.state = WorkState::Queued;
    ++queued[detail::indexOf(flow.kind)];
    priorities.refresh(plan);
}

void Scheduler::Data::removeFromQueue(std::uint32_t index)
{
    WorkItem &item = store[index];
    item.flow->remove(store, index);
    priorities.didRemove(*item.flow, item.cost);
    --queued[detail::indexOf(item.flow->kind)];
    priorities.refresh(*item.flow->plan);
}

void Scheduler::Data::drop(std::uint32_t index, const Refusal &refusal)
{
    removeFromQueue(index);
    dropped.push_back({store.ticket(index), store[index].context, refusal});
    store.free(index);
}

// Returns a refusal if queued work must be dropped.
std::optional<Refusal> Scheduler::Data::checkQueued(const WorkItem &item, Duration cost,
                                                    Instant now) const
{
    if (now >= item.deadline)
        return Refusal{Reason::DeadlinePassed, retryAfter(expectedWait(*item.flow))};
    if (now + cost > item.deadline)
        return Refusal{Reason::DeadlineTooShort, retryAfter(expectedWait(*item.flow))};
    if (item.isLong || now - item.enqueuedAt <= options.maximumWait)
        return std::nullopt;
    if (slots == 0)
        return Refusal{Reason::UpstreamUnreachable, unreachableRetryAfter};
    if (item.isBurst)
        return std::nullopt;
    return Refusal{Reason::QueueFull, retryAfter(expectedWait(*item.flow))};
}

// Estimates work again before it is dispatched, since its statement may have run after it arrived.
// Returns nothing if the work was dropped, or is now classified as long and was queued again.
std::optional<Duration> Scheduler::Data::reestimate(std::uint32_t index, Instant now)
{
    WorkItem &item = store[index];
    const WorkLength length = item.isLong ? WorkLength::Long : WorkLength::Unknown;
    const Expectation expectation = estimator.expect(length, item.fingerprint);
    if (const auto refusal = checkQueued(item, expectation.cost, now)) {
        drop(index, *refusal);
        return std::nullopt;
    }
    if (expectation.isLong == item.isLong)
        return expectation.cost;
    PlanState &plan = *item.flow->plan;
    if (plan.plan.longStatements == 0) {
        drop(index, Refusal{Reason::PlanForbids});
        return std::nullopt;
    }
    removeFromQueue(index);
    item.isLong = true;
    item.cost = expectation.cost;
    push(index, plan, now);
    return std::nullopt;
}

Dispatch Scheduler::Data::dispatch(std::uint32_t index, const Pick &pick, Duration cost,
                                   Instant now)
{
    WorkItem &item = store[index];
    PlanState &plan = *item.flow->plan;
    priorities.charge(pick, cost);
    ++plan.running;
    plan.runningLong += item.isLong ? 1 : 0;
    runningLong += item.isLong ? 1 : 0;
    removeFromQueue(index);
    item.cost = cost;
    item.yielded = pick.yielded;
    item.state = WorkState::Running;
    item.dispatchedAt = now;
    item.shortFinishedBefore = shortFinished;
    running.push_back(index);
    startNext(now);
    return {store.ticket(index), item.context, item.isLong, now - item.enqueuedAt, item.cost};
}

// Sets the start time of statements that have a slot. The database serves statements in the order
// sent, so those beyond its slots start when an earlier one ends.
void Scheduler::Data::startNext(Instant now)
{
    std::uint32_t started = 0;
    for (const std::uint32_t index : running) {
        if (started == options.slots)
            return;
        ++started;
        if (!store[index].startedAt)
            store[index].startedAt = now;
    }
}

// Service time without the wait for a slot of the database. Otherwise plans with short statements
// would be charged for waiting behind others.
Duration Scheduler::Data::slotTime(const WorkItem &item, Duration service) const
{
    if (!item.startedAt)
        return service;
    return std::max(service - (*item.startedAt - item.dispatchedAt), Duration(0));
}

// Reclassifies short work that exceeds the threshold as long, so that more work of its kind does
// not occupy the other slots as well.
void Scheduler::Data::markOverrunning(Instant now)
{
    for (const std::uint32_t index : running) {
        WorkItem &item = store[index];
        if (item.isLong || !item.startedAt)
            continue;
        const Duration elapsed = now - *item.startedAt;
        if (elapsed < estimator.longThreshold())
            continue;
        if (shortFinished - item.shortFinishedBefore < minimumShortFinished)
            continue;
        item.isLong = true;
        ++runningLong;
        ++item.flow->plan->runningLong;
        priorities.refresh(*item.flow->plan);
        estimator.recordElapsed(item.fingerprint, elapsed);
    }
}

void Scheduler::Data::decayUse(Instant now)
{
    const Duration elapsed = now - lastDecay;
    if (elapsed < useDecayInterval)
        return;
    const double decayTime = static_cast<double>(useDecayTime.count());
    priorities.decayUse(std::exp(-static_cast<double>(elapsed.count()) / decayTime), decayTime);
    lastDecay = now;
}

void Scheduler::Data::sweep(Instant now)
{
    if (now - lastSweep < sweepInterval)
        return;
    lastSweep = now;
    for (std::uint32_t index = 0; index < store.size(); ++index) {
        if (store[index].state != WorkState::Queued)
            continue;
        if (const auto refusal = checkQueued(store[index], store[index].cost, now))
            drop(index, *refusal);
    }
}

// Frees a slot and corrects the charge of its flow from the expected to the used slot time.
void Scheduler::Data::finish(std::uint32_t index, Duration used, Instant now)
{
    const WorkItem item = store[index];
    PlanState &plan = *item.flow->plan;
    priorities.correct({item.flow, item.yielded}, used - item.cost);
    --plan.running;
    plan.runningLong -= item.isLong ? 1 : 0;
    runningLong -= item.isLong ? 1 : 0;
    shortFinished += item.isLong ? 0 : 1;
    std::erase(running, index);
    startNext(now);
    store.free(index);
    priorities.refresh(plan);
}

void Scheduler::Data::replacePlan(PlanState &state, const Plan &plan, bool isRemoved)
{
    if (state.plan == plan && state.isRemoved == isRemoved)
        return;
    priorities.detach(state);
    state.plan = plan;
    state.isRemoved = isRemoved;
    priorities.attach(state);
}

void Scheduler::Data::eraseRemovedPlans()
{
    std::erase_if(plans, [](const auto &entry) {
        const PlanState &state = entry.second;
        return state.isRemoved && state.queued() == 0 && state.running == 0;
    });
}

Scheduler::Scheduler(const SchedulerOptions &options)
    : m_data(std::make_unique<Data>(options))
{}

Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler &&) noexcept = default;
Scheduler &Scheduler::operator=(Scheduler &&) noexcept = default;

void Scheduler::setPlans(const std::map<PlanId, Plan> &plans)
{
    for (auto &[id, state] : m_data->plans) {
        if (!plans.contains(id))
            m_data->replacePlan(state, removedPlan(state.plan), true);
    }
    m_data->eraseRemovedPlans();
    for (const auto &[id, plan] : plans) {
        const auto [place, isNew] = m_data->plans.try_emplace(id);
        PlanState &state = place->second;
        if (isNew) {
            for (const FlowKind kind : detail::allFlowKinds) {
                state.flow(kind).plan = &state;
                state.flow(kind).kind = kind;
                state.flow(kind).id = ++m_data->lastFlowId;
            }
        }
        m_data->replacePlan(state, plan, false);
    }
}

void Scheduler::setSlots(std::uint32_t slots)
{
    m_data->slots = std::min(slots, m_data->options.slots);
}

Admission Scheduler::enqueue(const Work &work, Instant now)
{
    m_data->decayUse(now);
    PlanState *plan = m_data->find(work.plan);
    if (!plan)
        return Refusal{Reason::PlanForbids};
    const Expectation expectation = m_data->estimator.expect(work.length, work.fingerprint);
    if (const auto refusal = m_data->checkAdmission(work, *plan, expectation, now))
        return *refusal;

    const std::uint32_t index = m_data->store.allocate();
    WorkItem &item = m_data->store[index];
    item.fingerprint = work.fingerprint;
    item.context = work.context;
    item.deadline = work.deadline;
    item.enqueuedAt = now;
    item.cost = expectation.cost;
    item.isLong = expectation.isLong;
    item.customer = std::hash<CustomerId>()(work.customer);
    m_data->push(index, *plan, now);
    return m_data->store.ticket(index);
}

bool Scheduler::isReady() const
{
    return m_data->running.size() < m_data->limit() && m_data->pick().flow;
}

std::optional<Dispatch> Scheduler::next(Instant now)
{
    m_data->decayUse(now);
    m_data->markOverrunning(now);
    while (m_data->running.size() < m_data->limit()) {
        const Pick pick = m_data->pick();
        if (!pick.flow)
            return std::nullopt;
        const std::uint32_t index = pick.flow->front(m_data->store);
        if (const auto cost = m_data->reestimate(index, now))
            return m_data->dispatch(index, pick, *cost, now);
    }
    return std::nullopt;
}

std::optional<DroppedWork> Scheduler::takeDropped(Instant now)
{
    m_data->sweep(now);
    if (m_data->dropped.empty())
        return std::nullopt;
    const DroppedWork dropped = m_data->dropped.back();
    m_data->dropped.pop_back();
    return dropped;
}

void Scheduler::finished(Ticket ticket, Instant now, Duration service)
{
    const std::uint32_t index = m_data->store.find(ticket);
    if (index == noIndex || m_data->store[index].state != WorkState::Running)
        return;
    const WorkItem &item = m_data->store[index];
    const Duration used = m_data->slotTime(item, service);
    m_data->estimator.finished(item.fingerprint, used, item.isLong);
    m_data->finish(index, used, now);
}

void Scheduler::abandoned(Ticket ticket, Instant now)
{
    const std::uint32_t index = m_data->store.find(ticket);
    if (index == noIndex || m_data->store[index].state != WorkState::Running)
        return;
    const WorkItem &item = m_data->store[index];
    m_data->finish(index, m_data->slotTime(item, now - item.dispatchedAt), now);
}

CancelResult Scheduler::cancel(Ticket ticket)
{
    const std::uint32_t index = m_data->store.find(ticket);
    if (index == noIndex)
        return CancelResult::NotFound;
    if (m_data->store[index].state == WorkState::Running)
        return CancelResult::Running;
    m_data->removeFromQueue(index);
    m_data->store.free(index);
    return CancelResult::Removed;
}

SchedulerLoad Scheduler::load() const
{
    SchedulerLoad load;
    load.queued = m_data->queued[0] + m_data->queued[1];
    load.queuedLong = m_data->queued[detail::indexOf(FlowKind::Long)];
    load.running = static_cast<std::uint32_t>(m_data->running.size());
    load.runningLong = m_data->runningLong;
    load.backlog = m_data->priorities.backlog();
    return load;
}

std::optional<Duration> Scheduler::expectedWait(const PlanId &plan) const
{
    const PlanState *state = m_data->find(plan);
    if (!state || m_data->slots == 0 || state->queued() >= state->plan.queue)
        return std::nullopt;
    const Duration wait = m_data->expectedWait(state->flow(FlowKind::Short));
    if (wait > m_data->options.maximumWait)
        return std::nullopt;
    return wait;
}

} // namespace fescuespring
