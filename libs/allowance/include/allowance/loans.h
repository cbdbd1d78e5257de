#pragma once

#include "allowance/allowancemessages.h"
#include "base/types.h"

#include <map>
#include <optional>
#include <vector>

namespace fescuespring {

// Duration of a loan: the lender counts it from its answer, the borrower from its request, so that
// the borrower's use ends first whichever messages are lost.
inline constexpr Duration loanDuration = std::chrono::seconds(10);

// Interval at which a loan is renewed while it is needed.
inline constexpr Duration loanRenewal = std::chrono::seconds(1);

// The fractions of one customer's rate that this VM has lent to VMs of other data centres.
//
//     const double lent = loans.lend(request, available, now);
//     const double own = part - loans.lent(now);
class LentLoans
{
public:
    // Lends at most `available` in addition to what this borrower holds. Returns the fraction that
    // the borrower may use from now on, which may be less than it holds.
    double lend(const AllowanceRequest &request, double available, Instant now);

    // Respects loans of the VM that this VM takes over from.
    void inherit(const VmId &lender, const LentNote &note, Instant now);

    // The fraction that borrowers may be using.
    double lent(Instant now) const;

    // The same without what one borrower holds.
    double lentToOthers(const VmId &borrower, Instant now) const;

    // What this VM itself has lent, for the VM that would take over; empty if nothing. Inherited
    // loans are not part of it, so that two VMs that exchange notes do not add them up.
    std::optional<LentNote> note(const CustomerId &customer, Instant now) const;

private:
    struct Loan
    {
        double fraction = 0;
        Instant until = {};
        std::uint64_t serial = 0;
    };

    std::map<VmId, Loan> m_loans;
    std::map<VmId, Loan> m_inherited;
};

// The fractions of one customer's rate that this VM has borrowed, by lender.
class BorrowedLoans
{
public:
    // The fraction that this VM may use now, and the one from one lender.
    double borrowed(Instant now) const;
    double borrowedFrom(const VmId &lender, Instant now) const;

    // An answer to a request sent at `sentAt`.
    void answered(const VmId &lender, double fraction, Instant sentAt);

    // Ends the use of all loans; returns their lenders.
    std::vector<VmId> release(Instant now);

private:
    struct Loan
    {
        double fraction = 0;
        Instant until = {};
    };
    std::map<VmId, Loan> m_loans;
};

} // namespace fescuespring
