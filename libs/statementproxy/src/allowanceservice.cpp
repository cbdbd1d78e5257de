#include "statementproxy/allowanceservice.h"

#include "statementproxy/upstreams.h"

#include <utility>

namespace fescuespring {

AllowanceService::AllowanceService(Upstreams &upstreams, const AllowanceBound &bound)
    : m_upstreams(upstreams)
    , m_vm(std::make_shared<AllowanceVm>(AllowanceVm::Options{
              .vm = upstreams.context().vm,
              .dataCentre = upstreams.context().dataCentre,
              .bound = bound,
              .now = [&upstreams] { return upstreams.context().timers.now(); },
              .ask =
                      [this](const VmId &vm, const AllowanceRequest &request, Duration timeout,
                             AllowanceVm::Answered answered) {
                          ask(vm, request, timeout, std::move(answered));
                      },
              .onEvent =
                      [&upstreams](std::string_view event, const VmId &vm,
                                   const CustomerId &customer) {
                          upstreams.context().log.info(std::string(event),
                                                       {{"vm", vm}, {"customer", customer}});
                      }}))
{}

AllowanceService::~AllowanceService()
{
    m_upstreams.context().timers.cancel(m_timer);
}

void AllowanceService::setCustomers(const std::vector<Customer> &customers)
{
    m_hasCustomers = !customers.empty();
    m_vm->setCustomers(customers);
    if (m_hasCustomers && m_timer == 0)
        scheduleTick();
}

void AllowanceService::setVms(const std::vector<VmRecord> &vms)
{
    std::vector<AllowanceMember> members;
    members.reserve(vms.size());
    for (const VmRecord &record : vms) {
        m_records[record.vm] = record;
        members.push_back({record.vm, record.dataCentre});
    }
    m_vm->setVms(members);
}

void AllowanceService::vmLeft(const VmId &vm)
{
    m_records.erase(vm);
    m_vm->vmLeft(vm);
}

void AllowanceService::setRestarted()
{
    m_vm->setRestarted();
}

void AllowanceService::start(const CustomerId &customer, AllowanceVm::Decided decided)
{
    // Without customers set, allowances are not enforced.
    if (customer.isEmpty() || !m_hasCustomers)
        decided({});
    else
        m_vm->start(customer, std::move(decided));
}

void AllowanceService::handle(const AllowanceRequest &request, const AllowanceVm::Reply &reply)
{
    m_vm->handle(request, reply);
}

void AllowanceService::ask(const VmId &vm, const AllowanceRequest &request, Duration timeout,
                           AllowanceVm::Answered answered)
{
    const auto done = [alive = std::weak_ptr(m_vm),
                       call = std::move(answered)](const std::optional<AllowanceAnswer> &answer) {
        if (const auto state = alive.lock())
            call(answer);
    };
    const auto record = m_records.find(vm);
    const std::shared_ptr<RelayPeer> peer =
            record == m_records.end() ? nullptr : m_upstreams.peerFor(record->second);
    if (peer)
        peer->ask(request, timeout, done);
    else
        m_upstreams.context().timers.after(Duration(0), [done] { done(std::nullopt); });
}

void AllowanceService::scheduleTick()
{
    m_timer = m_upstreams.context().timers.after(allowanceTick, [this] {
        m_timer = 0;
        m_vm->tick();
        publish();
        if (m_hasCustomers)
            scheduleTick();
    });
}

void AllowanceService::publish() const
{
    const AllowanceVm::Statistics &totals = m_vm->statistics();
    Counters &counters = m_upstreams.context().counters;
    constexpr const char *refused = "fescuespring_allowance_refused_total";
    counters.counter("fescuespring_allowance_granted_total").set(totals.granted);
    counters.counter(refused, "reason", "allowance").set(totals.refusedUsedUp);
    counters.counter(refused, "reason", "no-counter").set(totals.refusedNoCounter);
    counters.counter("fescuespring_allowance_tokens_asked_total").set(totals.tokensAsked);
    counters.counter("fescuespring_allowance_tokens_borrowed_total").set(totals.tokensBorrowed);
    counters.counter("fescuespring_allowance_requests_sent_total").set(totals.requestsSent);
    counters.counter("fescuespring_allowance_requests_received_total").set(totals.requestsReceived);
}

} // namespace fescuespring
