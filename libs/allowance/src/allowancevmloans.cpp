#include "allowance/allowancevm.h"

#include "allowancetimes.h"

namespace fescuespring {

using namespace detail;

void AllowanceVm::handleBorrow(const AllowanceRequest &request, const Reply &reply)
{
    State *state = find(request.customer);
    if (!state || !isStarted()) {
        reply(notCounting());
        return;
    }
    updateRole(request.customer, *state);
    if (!state->counter.isCounting()) {
        reply(notCounting());
        return;
    }
    reply(state->counter.lend(request, share(request.customer, *state), now()));
    notifySuccessor(request.customer);
}

void AllowanceVm::renewLoans(const CustomerId &customer, State &state)
{
    const CountingShare current = share(customer, state);
    state.counter.refill(current, now());
    if (state.counter.wantedLoans(current, now()) <= 0
        && state.counter.borrowed.borrowed(now()) <= 0)
        return;
    for (const DataCentreId &dataCentre : m_fleet.dataCentres()) {
        if (dataCentre == m_options.dataCentre)
            continue;
        // The deputy lends while the counter does not respond.
        for (const VmId &lender : m_fleet.counters(dataCentre, customer)) {
            if (isUnavailable(lender))
                continue;
            if (const auto fraction = state.counter.dueRequest(lender, current, now()))
                requestLoan(customer, lender, *fraction);
            break;
        }
    }
}

void AllowanceVm::requestLoan(const CustomerId &customer, const VmId &lender, double fraction)
{
    State &state = m_states[customer];
    const Instant sentAt = now();
    const Instant countingSince = state.counter.startedAt();
    sendTo(lender,
           {.kind = AllowanceRequest::Kind::Borrow,
            .from = m_options.vm,
            .customer = customer,
            .fraction = fraction,
            .held = state.counter.borrowed.borrowedFrom(lender, sentAt),
            .serial = ++m_lastSerial},
           counterTimeout,
           [this, customer, lender, sentAt,
            countingSince](const std::optional<AllowanceAnswer> &answer) {
               State *borrower = find(customer);
               if (!answer || !answer->isCounting || !borrower)
                   return;
               CustomerCounter &counter = borrower->counter;
               // After an interruption, the loans of before have been given back.
               if (!counter.isCounting() || counter.startedAt() != countingSince)
                   return;
               counter.refill(share(customer, *borrower), now());
               counter.borrowed.answered(lender, answer->fraction, sentAt);
               m_statistics.tokensBorrowed += static_cast<std::uint64_t>(
                       answer->fraction * borrower->allowance.operationsPerSecond);
           });
}

// Tells the VM that would take over what this one has lent, so that it does not grant it too.
void AllowanceVm::notifySuccessor(const CustomerId &customer)
{
    const auto note = m_states[customer].counter.lent.note(customer, now());
    if (!note)
        return;
    for (const VmId &vm : m_orders[customer]) {
        if (vm == m_options.vm)
            continue;
        sendTo(vm,
               {.kind = AllowanceRequest::Kind::Hello,
                .from = m_options.vm,
                .isCounting = isStarted(),
                .lent = {*note}},
               counterTimeout, [](const std::optional<AllowanceAnswer> &) {});
    }
}

} // namespace fescuespring
