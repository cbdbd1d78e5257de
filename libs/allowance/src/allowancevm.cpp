#include "allowance/allowancevm.h"

#include "allowancetimes.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fescuespring {

using namespace detail;

namespace {

constexpr Duration unknownCustomerRetry = std::chrono::seconds(1);
constexpr Duration maximumOwnRetry = std::chrono::milliseconds(500);

} // namespace

AllowanceVm::AllowanceVm(Options options)
    : m_options(std::move(options))
    , m_startedAt(now())
{}

void AllowanceVm::setCustomers(const std::vector<Customer> &customers)
{
    std::map<CustomerId, State> before = std::exchange(m_states, {});
    for (const Customer &customer : customers) {
        State &state = m_states[customer.id];
        if (auto node = before.extract(customer.id))
            state = std::move(node.mapped());
        if (state.allowance != customer.allowance)
            state.cache.clear();
        state.allowance = customer.allowance;
    }
    for (auto &[id, state] : before) {
        for (const Decided &decided : std::exchange(state.waiting, {}))
            decide(decided, {AllowanceDecision::Cause::UsedUp, unknownCustomerRetry});
    }
    m_orders.clear();
    updateRoles();
}

void AllowanceVm::setVms(const std::vector<AllowanceMember> &members)
{
    const bool isListed = std::ranges::any_of(
            members, [this](const AllowanceMember &member) { return member.vm == m_options.vm; });
    if (m_wasListed && !isListed)
        return;
    m_wasListed = isListed;
    m_members = members;
    updateFleet();
}

void AllowanceVm::vmLeft(const VmId &vm)
{
    m_fleet.left(vm);
    updateRoles();
}

AllowanceVm::State *AllowanceVm::find(const CustomerId &customer)
{
    const auto found = m_states.find(customer);
    return found == m_states.end() ? nullptr : &found->second;
}

void AllowanceVm::start(const CustomerId &customer, Decided decided)
{
    State *state = find(customer);
    if (!state) {
        decide(decided, {AllowanceDecision::Cause::UsedUp, unknownCustomerRetry});
        return;
    }
    if (std::isinf(state->allowance.operationsPerSecond)) {
        decided({});
        return;
    }
    const Instant at = now();
    state->cache.operationArrived(at);
    if (state->cache.take(at)) {
        if (!state->isAsking && !state->cache.isRefused(at) && state->cache.shouldAskAhead(at))
            ask(customer);
        decide(decided, {});
        return;
    }
    if (state->cache.isRefused(at)) {
        decide(decided, {state->isIsolated ? AllowanceDecision::Cause::NoCounter
                                           : AllowanceDecision::Cause::UsedUp,
                         state->cache.refusedUntil() - at});
        return;
    }
    state->waiting.push_back(std::move(decided));
    if (!state->isAsking)
        ask(customer);
}

void AllowanceVm::decide(const Decided &decided, const AllowanceDecision &decision)
{
    if (decision.cause == AllowanceDecision::Cause::Granted)
        ++m_statistics.granted;
    else if (decision.cause == AllowanceDecision::Cause::UsedUp)
        ++m_statistics.refusedUsedUp;
    else
        ++m_statistics.refusedNoCounter;
    decided(decision);
}

void AllowanceVm::ask(const CustomerId &customer)
{
    State &state = m_states[customer];
    const Instant at = now();
    const std::vector<VmId> order = m_orders[customer];
    const auto waiting = static_cast<std::uint32_t>(state.waiting.size());
    // A VM that counts by itself needs no tokens in advance.
    const bool isCounter = !order.empty() && order.front() == m_options.vm;
    AllowanceRequest request{.kind = AllowanceRequest::Kind::Tokens,
                             .from = m_options.vm,
                             .customer = customer,
                             .tokens = isCounter ? waiting : state.cache.tokensToAsk(waiting, at)};
    if (request.tokens == 0)
        return;
    state.isAsking = true;
    state.cache.fillReturned(request, at);
    m_statistics.tokensAsked += request.tokens;
    askNext(request, order);
}

// Asks the first VM of the order that is available, and the others if it does not count.
void AllowanceVm::askNext(const AllowanceRequest &request, std::vector<VmId> order)
{
    const Instant sentAt = now();
    while (!order.empty() && order.front() != m_options.vm && isUnavailable(order.front()))
        order.erase(order.begin());
    if (order.empty()) {
        noCounter(request.customer, request.tokens);
        return;
    }
    const VmId vm = order.front();
    order.erase(order.begin());
    const auto done = [this, request, order, sentAt](const std::optional<AllowanceAnswer> &answer) {
        if (!find(request.customer))
            return;
        if (answer && answer->isCounting) {
            answered(request.customer, *answer, sentAt);
            return;
        }
        // The VM that granted the returned tokens may have put them back already.
        AllowanceRequest again = request;
        again.returned = 0;
        askNext(again, order);
    };
    if (vm == m_options.vm)
        handleTokens(request, done);
    else
        sendTo(vm, request, order.empty() ? deputyTimeout : counterTimeout, done);
}

void AllowanceVm::answered(const CustomerId &customer, const AllowanceAnswer &answer,
                           Instant sentAt)
{
    State &state = m_states[customer];
    if (std::exchange(state.isIsolated, false))
        event("allowance-counter-found", answer.granter, customer);
    state.cache.granted(answer.tokens, answer.granter, sentAt);
    const Duration retryAfter = state.cache.retryAfter(answer.tokens, answer.retryAfter);
    if (retryAfter > Duration(0))
        state.cache.refuseUntil(now() + retryAfter);
    serveWaiting(customer, AllowanceDecision::Cause::UsedUp, retryAfter);
}

void AllowanceVm::noCounter(const CustomerId &customer, std::uint32_t wanted)
{
    State &state = m_states[customer];
    const Instant at = now();
    const bool wasIsolated = std::exchange(state.isIsolated, true);
    if (!wasIsolated)
        event("allowance-counter-missing", m_options.vm, customer);
    const Allowance &allowance = state.allowance;
    // Without a list of VMs, the part is unknown.
    const double part = m_orders[customer].empty()
                                ? 0
                                : 1.0 / static_cast<double>(m_dataCentreCount * m_vmCount);
    const bool isZero = allowance.operationsPerSecond <= 0 && allowance.burst <= 0;
    if (!state.ownPart) {
        const auto starters =
                static_cast<std::size_t>(m_options.bound.tolerance * isolatedTolerance);
        const bool startsWithOne = m_fleet.isAmong(starters, customer, m_options.vm);
        state.ownPart = TokenBucket(at, startsWithOne ? 1 : 0);
    }
    // The counter grants this VM's part until it has not heard of the VM for contactTime.
    if (!wasIsolated)
        state.ownPart->pauseUntil(at + contactTime);
    const double rate = allowance.operationsPerSecond * part;
    state.ownPart->refill(
            {.rate = rate, .capacity = isZero ? 0 : std::max(1.0, allowance.burst * part)}, at);
    const auto waiting = static_cast<std::uint32_t>(state.waiting.size());
    const std::uint32_t granted = state.ownPart->take(std::min(wanted, waiting));
    state.cache.granted(granted, {}, at);
    Duration retryAfter{0};
    if (granted < waiting) {
        retryAfter = std::max(counterTimeout, state.ownPart->timeToToken(rate, maximumOwnRetry));
        state.cache.refuseUntil(at + retryAfter);
    }
    serveWaiting(customer, AllowanceDecision::Cause::NoCounter, retryAfter);
}

// Gives the tokens in hand to the operations that wait, and refuses the others if retryAfter is
// set. The callbacks may start further operations.
void AllowanceVm::serveWaiting(const CustomerId &customer, AllowanceDecision::Cause refusal,
                               Duration retryAfter)
{
    State &state = m_states[customer];
    const Instant at = now();
    std::vector<std::pair<Decided, AllowanceDecision>> decisions;
    while (!state.waiting.empty()) {
        const bool isGranted = state.cache.take(at);
        if (!isGranted && retryAfter <= Duration(0))
            break;
        decisions.emplace_back(std::move(state.waiting.front()),
                               isGranted ? AllowanceDecision{}
                                         : AllowanceDecision{refusal, retryAfter});
        state.waiting.pop_front();
    }
    state.isAsking = false;
    if (!state.waiting.empty())
        ask(customer);
    for (const auto &[decided, decision] : decisions)
        decide(decided, decision);
}

void AllowanceVm::sendTo(const VmId &vm, const AllowanceRequest &request, Duration timeout,
                         Answered answered)
{
    ++m_statistics.requestsSent;
    const Instant sentAt = now();
    m_options.ask(vm, request, timeout,
                  [this, vm, sentAt,
                   done = std::move(answered)](const std::optional<AllowanceAnswer> &answer) {
                      Contact &contact = m_contacts[vm];
                      const Instant at = now();
                      if (!answer) {
                          if (!contact.failedAt)
                              event("allowance-vm-unresponsive", vm, {});
                          contact.failedAt = sentAt;
                      } else {
                          contact.failedAt.reset();
                          contact.heardAt = at;
                          if (answer->isCounting)
                              contact.countingAt = at;
                          else if (answer->retryAfter > Duration(0))
                              contact.notCountingUntil = at + answer->retryAfter;
                      }
                      done(answer);
                  });
}

bool AllowanceVm::isUnavailable(const VmId &vm) const
{
    const auto found = m_contacts.find(vm);
    if (found == m_contacts.end())
        return false;
    const Contact &contact = found->second;
    if (now() < contact.notCountingUntil)
        return true;
    return contact.failedAt && contact.heardAt <= *contact.failedAt
           && now() - *contact.failedAt < failureMemory;
}

bool AllowanceVm::isKnownToCount(const VmId &vm) const
{
    const auto found = m_contacts.find(vm);
    return found != m_contacts.end() && !isUnavailable(vm)
           && now() - found->second.countingAt < contactTime;
}

void AllowanceVm::event(std::string_view name, const VmId &vm, const CustomerId &customer) const
{
    if (m_options.onEvent)
        m_options.onEvent(name, vm, customer);
}

} // namespace fescuespring
