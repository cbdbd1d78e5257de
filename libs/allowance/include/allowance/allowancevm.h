#pragma once

#include "allowance/allowancefleet.h"
#include "allowance/allowancemessages.h"
#include "allowance/customercounter.h"
#include "allowance/tokencache.h"
#include "customers/customer.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace fescuespring {

// Whether an operation may start.
struct AllowanceDecision
{
    enum class Cause {
        Granted,

        // The allowance is used up.
        UsedUp,

        // No counter responds, and this VM's own part is used up.
        NoCounter,
    };
    Cause cause = Cause::Granted;

    // With a refusal: when another operation has a chance.
    Duration retryAfter{0};

    bool isGranted() const
    {
        return cause == Cause::Granted;
    }
};

// What one VM does for the allowances of all customers: it takes tokens for the operations that it
// starts, and counts the operations of the customers for which it is the counter or the deputy.
//
//     AllowanceVm vm({.vm = self, .dataCentre = here, .now = now, .ask = ask});
//     vm.setCustomers(configuration.customers);
//     vm.setVms(members);
//     vm.start(customer, [](const AllowanceDecision &decision) {...});
//     vm.handle(request, reply);       // of another VM
//     vm.tick();                       // every allowanceTick
//
// One thread only. The object must outlive the calls of the hooks that it was given.
class AllowanceVm
{
public:
    using Decided = std::function<void(const AllowanceDecision &)>;
    using Answered = std::function<void(const std::optional<AllowanceAnswer> &)>;
    using Reply = std::function<void(const AllowanceAnswer &)>;

    struct Options
    {
        VmId vm;
        DataCentreId dataCentre;
        AllowanceBound bound = {.tolerance = 20};
        std::function<Instant()> now;

        // Sends a request to another VM. Calls the last argument exactly once and not from inside
        // the call: with the answer, or with nothing if none arrives within the time.
        std::function<void(const VmId &, const AllowanceRequest &, Duration, Answered)> ask;

        // A change of what this VM believes, to be logged. May be empty.
        std::function<void(std::string_view event, const VmId &, const CustomerId &)> onEvent = {};
    };

    // Totals since the start.
    struct Statistics
    {
        std::uint64_t granted = 0;
        std::uint64_t refusedUsedUp = 0;
        std::uint64_t refusedNoCounter = 0;
        std::uint64_t tokensAsked = 0;
        std::uint64_t tokensBorrowed = 0;
        std::uint64_t requestsSent = 0;
        std::uint64_t requestsReceived = 0;
    };

    explicit AllowanceVm(Options options);

    // The customers in force. An allowance of infinite operationsPerSecond is no limit; a customer
    // that is not among these may start nothing.
    void setCustomers(const std::vector<Customer> &customers);

    // The live VMs of the installation, this one too. A later list without this VM is ignored: it
    // comes from records that have expired because the store could not be reached.
    void setVms(const std::vector<AllowanceMember> &members);

    // The other VMs know this VM from before its start, so that it may count sooner.
    void setRestarted()
    {
        m_isRestarted = true;
    }

    // A VM has left in an orderly way.
    void vmLeft(const VmId &vm);

    // Takes a token for an operation. Calls decided once, possibly from inside the call.
    void start(const CustomerId &customer, Decided decided);

    // A request of another VM. Calls reply once, possibly from inside the call.
    void handle(const AllowanceRequest &request, const Reply &reply);

    // Renews loans and contacts.
    void tick();

    const Statistics &statistics() const
    {
        return m_statistics;
    }

private:
    // One customer with a limit.
    struct State
    {
        Allowance allowance = {};
        CustomerCounter counter = {};
        TokenCache cache = {};
        std::deque<Decided> waiting = {};
        bool isAsking = false;

        // For use while no counter responds; exists from the first such time on.
        std::optional<TokenBucket> ownPart = {};
        bool isIsolated = false;
    };

    // What is known of the contact between another VM and a counter.
    struct CounterContact
    {
        // When the VM last reported, and when the counter was then last known to count.
        Instant reportedAt;
        Instant countingAt;

        // When the VM last asked the deputy, as it could not reach the counter.
        Instant askedDeputyAt;
    };

    // What is known of another VM.
    struct Contact
    {
        Instant heardAt;
        Instant countingAt;
        Instant notCountingUntil;
        Instant helloAt;

        std::map<VmId, CounterContact> counters;
        std::optional<Instant> failedAt;
    };

    State *find(const CustomerId &customer);

    // Taking tokens.
    void ask(const CustomerId &customer);
    void askNext(const AllowanceRequest &request, std::vector<VmId> order);
    void answered(const CustomerId &customer, const AllowanceAnswer &answer, Instant sentAt);
    void noCounter(const CustomerId &customer, std::uint32_t wanted);
    void serveWaiting(const CustomerId &customer, AllowanceDecision::Cause refusal,
                      Duration retryAfter);
    void decide(const Decided &decided, const AllowanceDecision &decision);
    void sendTo(const VmId &vm, const AllowanceRequest &request, Duration timeout,
                Answered answered);

    // Counting.
    void handleTokens(const AllowanceRequest &request, const Reply &reply);
    void handleBorrow(const AllowanceRequest &request, const Reply &reply);
    void handleHello(const AllowanceRequest &request, const Reply &reply);
    void forward(const AllowanceRequest &request, const VmId &counter, bool isDeputy,
                 const Reply &reply);
    void countAsDeputy(const AllowanceRequest &request, State &state, const Reply &reply);
    AllowanceAnswer notCounting() const;
    CountingShare share(const CustomerId &customer, const State &state) const;
    std::size_t deputyContacts(const VmId &counter, Instant startedAt) const;
    double startLevel() const;
    // Until it counts for others.
    Duration pauseLeft() const;
    bool isStarted() const;
    void updateFleet();
    void updateRoles();
    void updateCounts();
    void updateRole(const CustomerId &customer, State &state);
    void renewLoans(const CustomerId &customer, State &state);
    void requestLoan(const CustomerId &customer, const VmId &lender, double fraction);
    void notifySuccessor(const CustomerId &customer);
    void sayHello();
    void sayHelloAbout(const VmId &counter);
    void sendHello(const VmId &vm, const VmId &about);

    // Contacts.
    bool isUnavailable(const VmId &vm) const;
    bool isKnownToCount(const VmId &vm) const;
    std::size_t heardSince(Instant since) const;
    void event(std::string_view name, const VmId &vm, const CustomerId &customer) const;
    Instant now() const
    {
        return m_options.now();
    }

    Options m_options;
    Instant m_startedAt;
    bool m_isRestarted = false;
    std::vector<AllowanceMember> m_members;
    bool m_wasListed = false;
    AllowanceFleet m_fleet;
    Instant m_fleetUpdatedAt;
    std::size_t m_vmCount = 1;
    std::size_t m_dataCentreCount = 1;
    std::map<CustomerId, State> m_states;
    std::map<CustomerId, std::vector<VmId>> m_orders;
    std::map<VmId, Contact> m_contacts;

    // When the other VMs were last asked about a counter.
    std::map<VmId, Instant> m_askedAbout;
    std::uint64_t m_lastSerial = 0;
    Statistics m_statistics;
};

// Interval of AllowanceVm::tick().
inline constexpr Duration allowanceTick = std::chrono::milliseconds(100);

} // namespace fescuespring
