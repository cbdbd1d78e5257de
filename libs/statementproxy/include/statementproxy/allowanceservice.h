#pragma once

#include "allowance/allowancevm.h"
#include "base/timers.h"
#include "vmregistry/vmregistry.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace fescuespring {

class Upstreams;

// Decides whether an operation of a customer may start: connects this VM's part in the allowances
// to the other VMs over their relay connections, and to log and counters.
//
//     allowances.setCustomers(configuration.customers);
//     allowances.start(customer, [](const AllowanceDecision &decision) {...});
//
// With no customers it sends nothing and starts no timer. Not thread-safe.
class AllowanceService
{
public:
    // The upstreams must outlive it, and provide the connections to the other VMs.
    AllowanceService(Upstreams &upstreams, const AllowanceBound &bound);
    ~AllowanceService();
    AllowanceService(const AllowanceService &) = delete;
    AllowanceService &operator=(const AllowanceService &) = delete;

    void setCustomers(const std::vector<Customer> &customers);
    void setVms(const std::vector<VmRecord> &vms);

    // A VM has left in an orderly way and serves no callers any more.
    void vmLeft(const VmId &vm);
    void setRestarted();

    // Takes a token for an operation. Calls decided once, possibly from inside the call. An
    // operation without a customer may always start.
    void start(const CustomerId &customer, AllowanceVm::Decided decided);

    // A request of another VM. Calls reply once, possibly from inside the call.
    void handle(const AllowanceRequest &request, const AllowanceVm::Reply &reply);

private:
    void ask(const VmId &vm, const AllowanceRequest &request, Duration timeout,
             AllowanceVm::Answered answered);
    void scheduleTick();
    void publish() const;

    Upstreams &m_upstreams;

    // Answers that arrive after its end are dropped.
    std::shared_ptr<AllowanceVm> m_vm;
    bool m_hasCustomers = false;

    // The last record of each VM that was ever listed: a VM may be reachable after its record has
    // expired.
    std::map<VmId, VmRecord> m_records;
    Timers::Id m_timer = 0;
};

} // namespace fescuespring
