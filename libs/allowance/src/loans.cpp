#include "allowance/loans.h"

#include <algorithm>

namespace fescuespring {

double LentLoans::lend(const AllowanceRequest &request, double available, Instant now)
{
    Loan &loan = m_loans[request.from];
    // A borrower that has restarted begins its serials anew, after its old loan has ended.
    if (loan.until > now && request.serial <= loan.serial)
        return 0;
    loan.serial = request.serial;
    const double granted = std::clamp(request.fraction, 0.0, std::max(0.0, available));
    // The borrower goes on with what it holds if the answer is lost. A lender that has restarted
    // does not know of it.
    loan.fraction = std::max(request.held, granted);
    loan.until = now + loanDuration;
    return granted;
}

void LentLoans::inherit(const VmId &lender, const LentNote &note, Instant now)
{
    m_inherited[lender] = {.fraction = note.fraction, .until = now + note.remaining};
}

double LentLoans::lent(Instant now) const
{
    return lentToOthers({}, now);
}

double LentLoans::lentToOthers(const VmId &borrower, Instant now) const
{
    double sum = 0;
    for (const auto &[vm, loan] : m_loans) {
        if (vm != borrower && loan.until > now)
            sum += loan.fraction;
    }
    for (const auto &[vm, loan] : m_inherited) {
        if (loan.until > now)
            sum += loan.fraction;
    }
    return sum;
}

std::optional<LentNote> LentLoans::note(const CustomerId &customer, Instant now) const
{
    LentNote note{.customer = customer};
    for (const auto &[vm, loan] : m_loans) {
        if (loan.until <= now || loan.fraction <= 0)
            continue;
        note.fraction += loan.fraction;
        note.remaining = std::max(note.remaining, loan.until - now);
    }
    return note.fraction > 0 ? std::optional(note) : std::nullopt;
}

double BorrowedLoans::borrowed(Instant now) const
{
    double sum = 0;
    for (const auto &[vm, loan] : m_loans) {
        if (loan.until > now)
            sum += loan.fraction;
    }
    return sum;
}

double BorrowedLoans::borrowedFrom(const VmId &lender, Instant now) const
{
    const auto found = m_loans.find(lender);
    return found != m_loans.end() && found->second.until > now ? found->second.fraction : 0;
}

void BorrowedLoans::answered(const VmId &lender, double fraction, Instant sentAt)
{
    m_loans[lender] = {.fraction = fraction, .until = sentAt + loanDuration};
}

std::vector<VmId> BorrowedLoans::release(Instant now)
{
    std::vector<VmId> lenders;
    for (const auto &[vm, loan] : m_loans) {
        if (loan.until > now && loan.fraction > 0)
            lenders.push_back(vm);
    }
    m_loans.clear();
    return lenders;
}

} // namespace fescuespring
