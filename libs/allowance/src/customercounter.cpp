#include "allowance/customercounter.h"

#include <algorithm>

namespace fescuespring {

namespace {

using std::chrono::milliseconds;

// A data centre keeps or borrows its measured demand times this, and for chance one operation per
// second more.
constexpr double demandHeadroom = 1.5;
constexpr double extraOperationsPerSecond = 1;

// Demand below this, in operations per second, counts as none: one operation is forgotten in 6 s.
constexpr double noDemand = 0.02;

// Interval of loan requests after a refusal.
constexpr Duration urgentRenewal = milliseconds(250);

// Bounds of the time after which a VM asks again. The lower one bounds the messages for a customer
// over its limit, and lets tokens collect for more than one operation.
constexpr Duration minimumRetry = milliseconds(50);
constexpr Duration maximumRetry = milliseconds(500);

} // namespace

void CustomerCounter::start(double level, Instant now)
{
    m_bucket = TokenBucket(now, level);
    m_startedAt = now;
}

void CustomerCounter::stop()
{
    m_bucket.reset();
}

double CustomerCounter::fraction(const CountingShare &share, Instant now) const
{
    return std::max(0.0, share.part - lent.lent(now)) + borrowed.borrowed(now);
}

double CustomerCounter::need(const Allowance &allowance, Instant now) const
{
    const double demand = m_demand.rate(now);
    if (demand < noDemand || allowance.operationsPerSecond <= 0)
        return 0;
    return std::min(1.0, (demand * demandHeadroom + extraOperationsPerSecond)
                                 / allowance.operationsPerSecond);
}

void CustomerCounter::refill(const CountingShare &share, Instant now)
{
    if (!m_bucket)
        return;
    const Allowance &allowance = share.allowance;
    const bool isZero = allowance.operationsPerSecond <= 0 && allowance.burst <= 0;
    const double own = fraction(share, now);
    m_bucket->refill({.rate = allowance.operationsPerSecond * own,
                      .capacity = isZero ? 0 : allowance.burst * own + share.extraCapacity},
                     now);
}

AllowanceAnswer CustomerCounter::grant(const AllowanceRequest &request, const VmId &self,
                                       const CountingShare &share, Instant now)
{
    // Expired tokens that come back were part of an earlier request.
    const std::uint32_t returned = request.returnedTo == self ? request.returned : 0;
    m_demand.add(static_cast<double>(request.tokens) - returned, now);
    m_bucket->putBack(returned);
    refill(share, now);
    AllowanceAnswer answer{
            .isCounting = true, .granter = self, .tokens = m_bucket->take(request.tokens)};
    if (answer.tokens < request.tokens) {
        m_refusedAt = now;
        const double rate = share.allowance.operationsPerSecond * fraction(share, now);
        answer.retryAfter = std::max(minimumRetry, m_bucket->timeToToken(rate, maximumRetry));
    }
    return answer;
}

AllowanceAnswer CustomerCounter::lend(const AllowanceRequest &request, const CountingShare &share,
                                      Instant now)
{
    // Tokens up to now are granted at the rate before the loan.
    refill(share, now);
    const double available =
            share.part - lent.lentToOthers(request.from, now) - need(share.allowance, now);
    AllowanceAnswer answer{.isCounting = true};
    answer.fraction = lent.lend(request, available, now);
    refill(share, now);
    return answer;
}

double CustomerCounter::wantedLoans(const CountingShare &share, Instant now) const
{
    return std::max(0.0, need(share.allowance, now) - std::max(0.0, share.part - lent.lent(now)));
}

std::optional<double> CustomerCounter::dueRequest(const VmId &lender, const CountingShare &share,
                                                  Instant now)
{
    const double wanted = wantedLoans(share, now);
    const double total = borrowed.borrowed(now);
    const double fromLender = borrowed.borrowedFrom(lender, now);
    const bool isUrgent = wanted > total && now - m_refusedAt < loanRenewal;
    Instant &requestedAt = m_requestedAt[lender];
    if (now - requestedAt < (isUrgent ? urgentRenewal : loanRenewal))
        return std::nullopt;
    if (wanted <= 0 && fromLender <= 0)
        return std::nullopt;
    requestedAt = now;
    // All lenders are asked for what is missing, since some may have nothing to lend; what turns
    // out to be too much is given back in proportion.
    return total > wanted ? fromLender * wanted / total : fromLender + wanted - total;
}

} // namespace fescuespring
