#include "allowance/allowancevm.h"

#include "allowancetimes.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace fescuespring {

using namespace detail;

void AllowanceVm::handle(const AllowanceRequest &request, const Reply &reply)
{
    ++m_statistics.requestsReceived;
    Contact &contact = m_contacts[request.from];
    contact.heardAt = now();
    if (request.isCounting)
        contact.countingAt = now();
    switch (request.kind) {
    case AllowanceRequest::Kind::Tokens:
        handleTokens(request, reply);
        break;
    case AllowanceRequest::Kind::Borrow:
        handleBorrow(request, reply);
        break;
    case AllowanceRequest::Kind::Hello:
        handleHello(request, reply);
        break;
    }
}

void AllowanceVm::handleTokens(const AllowanceRequest &request, const Reply &reply)
{
    State *state = find(request.customer);
    if (!state || !isStarted()) {
        reply(notCounting());
        return;
    }
    const std::vector<VmId> &order = m_orders[request.customer];
    if (order.empty()) {
        reply(notCounting());
        return;
    }
    const VmId counter = order.front();
    const bool isDeputy = order.size() > 1 && order[1] == m_options.vm;
    if (counter == m_options.vm) {
        updateRole(request.customer, *state);
        reply(state->counter.grant(request, m_options.vm, share(request.customer, *state), now()));
        return;
    }
    if (request.isForwarded) {
        reply(notCounting());
        return;
    }
    // A counter that asks its deputy does not count itself.
    const bool isCounterUnavailable = request.from == counter || isUnavailable(counter);
    if (!isCounterUnavailable) {
        forward(request, counter, isDeputy, reply);
    } else if (isDeputy) {
        m_contacts[request.from].counters[counter].askedDeputyAt = now();
        countAsDeputy(request, *state, reply);
    } else {
        reply(notCounting());
    }
}

// The deputy asks the counter, since it may be only the sender that cannot reach it.
void AllowanceVm::forward(const AllowanceRequest &request, const VmId &counter, bool isDeputy,
                          const Reply &reply)
{
    AllowanceRequest forwarded = request;
    forwarded.from = m_options.vm;
    forwarded.isForwarded = true;
    sendTo(counter, forwarded, forwardTimeout,
           [this, request, isDeputy, reply](const std::optional<AllowanceAnswer> &answer) {
               State *state = find(request.customer);
               if (state && answer && answer->isCounting) {
                   state->counter.stop();
                   reply(*answer);
               } else if (state && isDeputy) {
                   countAsDeputy(request, *state, reply);
               } else {
                   reply(notCounting());
               }
           });
}

void AllowanceVm::countAsDeputy(const AllowanceRequest &request, State &state, const Reply &reply)
{
    if (!state.counter.isCounting()) {
        state.counter.start(startLevel(), now());
        event("allowance-deputy-counts", m_options.vm, request.customer);
        sayHelloAbout(m_orders[request.customer].front());
    }
    reply(state.counter.grant(request, m_options.vm, share(request.customer, state), now()));
}

void AllowanceVm::handleHello(const AllowanceRequest &request, const Reply &reply)
{
    for (const LentNote &note : request.lent) {
        if (State *state = find(note.customer))
            state->counter.lent.inherit(request.from, note, now());
    }
    AllowanceAnswer answer = notCounting();
    answer.isCounting = isStarted();
    if (!request.about.isEmpty() && request.about != m_options.vm) {
        const Contact &counter = m_contacts[request.about];
        if (counter.countingAt > Instant() && !isUnavailable(request.about))
            answer.countingAge = now() - counter.countingAt;
        // The next answer tells whether the counter responds now.
        if (now() - std::max(counter.heardAt, counter.helloAt) >= aboutInterval)
            sendHello(request.about, {});
    }
    reply(answer);
}

AllowanceAnswer AllowanceVm::notCounting() const
{
    return {.retryAfter = pauseLeft()};
}

Duration AllowanceVm::pauseLeft() const
{
    const Duration pause = m_isRestarted ? restartPause : startPause;
    return std::max(Duration(0), pause - (now() - m_startedAt));
}

bool AllowanceVm::isStarted() const
{
    return pauseLeft() == Duration(0);
}

double AllowanceVm::startLevel() const
{
    return std::min(1.0, m_options.bound.tolerance * startTolerance
                                 / static_cast<double>(m_dataCentreCount));
}

CountingShare AllowanceVm::share(const CustomerId &customer, const State &state) const
{
    const auto order = m_orders.find(customer);
    const bool isDeputy =
            !state.counter.isCounter() && order != m_orders.end() && !order->second.empty();
    const std::size_t contacts =
            isDeputy ? deputyContacts(order->second.front(), state.counter.startedAt())
                     : heardSince(now() - contactTime);
    const double heard =
            std::min(1.0, static_cast<double>(contacts) / static_cast<double>(m_vmCount));
    const auto dataCentres = static_cast<double>(m_dataCentreCount);
    return {.allowance = state.allowance,
            .part = heard / dataCentres,
            .extraCapacity = m_options.bound.tolerance * capacityTolerance / dataCentres};
}

// The VMs whose parts a deputy grants, as the counter does not grant them: those that cannot reach
// the counter, and those that have not been in contact with it for contactTime.
std::size_t AllowanceVm::deputyContacts(const VmId &counter, Instant startedAt) const
{
    const Instant since = now() - contactTime;
    std::size_t count = 1;
    for (const VmId &vm : m_fleet.liveVms(m_options.dataCentre)) {
        const auto found = m_contacts.find(vm);
        if (vm == m_options.vm || found == m_contacts.end() || found->second.heardAt < since)
            continue;
        const auto known = found->second.counters.find(counter);
        if (known == found->second.counters.end())
            continue;
        const CounterContact &contact = known->second;
        const bool isCutOff =
                contact.askedDeputyAt >= since && contact.askedDeputyAt >= contact.countingAt;
        if (isCutOff || (contact.reportedAt >= startedAt && contact.countingAt < since))
            ++count;
    }
    return count;
}

// This VM is one of them.
std::size_t AllowanceVm::heardSince(Instant since) const
{
    std::size_t count = 1;
    for (const VmId &vm : m_fleet.liveVms(m_options.dataCentre)) {
        const auto found = m_contacts.find(vm);
        if (vm != m_options.vm && found != m_contacts.end() && found->second.heardAt >= since)
            ++count;
    }
    return count;
}

void AllowanceVm::updateFleet()
{
    m_fleetUpdatedAt = now();
    m_fleet.setLive(m_members, now(), [this](const VmId &vm) {
        const auto found = m_contacts.find(vm);
        return found != m_contacts.end() && now() - found->second.heardAt < contactTime;
    });
    m_orders.clear();
    updateRoles();
}

void AllowanceVm::updateRoles()
{
    updateCounts();
    for (auto &[customer, state] : m_states) {
        if (!m_orders.contains(customer))
            m_orders[customer] = m_fleet.counters(m_options.dataCentre, customer);
        updateRole(customer, state);
        if (state.counter.isCounting())
            state.counter.refill(share(customer, state), now());
    }
}

void AllowanceVm::updateCounts()
{
    m_vmCount = m_fleet.vmCount(m_options.dataCentre, now());
    m_dataCentreCount = m_fleet.dataCentreCount(now());
}

void AllowanceVm::updateRole(const CustomerId &customer, State &state)
{
    if (std::isinf(state.allowance.operationsPerSecond)) {
        state.counter.stop();
        return;
    }
    const std::vector<VmId> &order = m_orders[customer];
    const bool isCounter = !order.empty() && order.front() == m_options.vm;
    const bool isDeputy = order.size() > 1 && order[1] == m_options.vm;
    state.counter.setCounter(isCounter);
    if (isCounter) {
        if (!state.counter.isCounting() && isStarted())
            state.counter.start(startLevel(), now());
        return;
    }
    if (state.counter.isCounting() && (!isDeputy || isKnownToCount(order.front()))) {
        state.counter.stop();
        for (const VmId &lender : state.counter.borrowed.release(now()))
            requestLoan(customer, lender, 0);
    }
}

void AllowanceVm::tick()
{
    if (m_fleet.hasExpired() && now() - m_fleetUpdatedAt >= helloInterval)
        updateFleet();
    updateCounts();
    for (auto &[customer, state] : m_states) {
        if (std::isinf(state.allowance.operationsPerSecond))
            continue;
        updateRole(customer, state);
        if (state.counter.isCounting())
            renewLoans(customer, state);
    }
    if (!m_states.empty())
        sayHello();
}

// Exchanges a message with each VM of the data centre that has not been heard of for a while. Of
// each two VMs the first by name sends it, unless it does not.
void AllowanceVm::sayHello()
{
    for (const VmId &vm : m_fleet.liveVms(m_options.dataCentre)) {
        const Duration silence = m_options.vm < vm ? helloInterval : lateHelloInterval;
        const Contact &contact = m_contacts[vm];
        if (vm != m_options.vm && now() - contact.heardAt >= silence
            && now() - contact.helloAt >= helloInterval / 2)
            sendHello(vm, {});
    }
    std::set<VmId> replaced;
    for (const auto &[customer, state] : m_states) {
        if (state.counter.isCounting() && !state.counter.isCounter())
            replaced.insert(m_orders[customer].front());
    }
    for (const VmId &counter : replaced)
        sayHelloAbout(counter);
}

// Asks all VMs of the data centre whether they are in contact with the counter that this VM
// counts in place of.
void AllowanceVm::sayHelloAbout(const VmId &counter)
{
    Instant &askedAt = m_askedAbout[counter];
    if (now() - askedAt < aboutInterval)
        return;
    askedAt = now();
    for (const VmId &vm : m_fleet.liveVms(m_options.dataCentre)) {
        if (vm != m_options.vm && vm != counter)
            sendHello(vm, counter);
    }
}

void AllowanceVm::sendHello(const VmId &vm, const VmId &about)
{
    m_contacts[vm].helloAt = now();
    sendTo(vm,
           {.kind = AllowanceRequest::Kind::Hello,
            .from = m_options.vm,
            .isCounting = isStarted(),
            .about = about},
           counterTimeout, [this, vm, about](const std::optional<AllowanceAnswer> &answer) {
               if (!answer || about.isEmpty())
                   return;
               CounterContact &contact = m_contacts[vm].counters[about];
               contact.reportedAt = now();
               contact.countingAt = answer->countingAge ? now() - *answer->countingAge : Instant();
           });
}

} // namespace fescuespring
