#pragma once

#include "allowance/allowancemessages.h"
#include "allowance/demandmeter.h"
#include "allowance/loans.h"
#include "allowance/tokenbucket.h"
#include "customers/customer.h"

#include <map>
#include <optional>

namespace fescuespring {

// What a VM that counts a customer's operations may grant.
struct CountingShare
{
    Allowance allowance = {};

    // The fraction of the allowance that is this data centre's without loans, for the VMs that this
    // VM is in contact with.
    double part = 0;

    // Tokens that the bucket holds in addition, so that a rare customer's burst is not cut into
    // parts below one token.
    double extraCapacity = 0;
};

// Counts one customer's operations for a data centre: a token bucket whose rate and capacity are
// the data centre's part of the allowance, less what is lent to others and with what is borrowed.
//
//     counter.start(0, now);
//     const AllowanceAnswer answer = counter.grant(request, share, now);
//
// Loans are remembered also while this VM does not count.
class CustomerCounter
{
public:
    bool isCounting() const
    {
        return m_bucket.has_value();
    }

    // Counts from now on, with `level` tokens.
    void start(double level, Instant now);
    void stop();

    // Whether this VM is the counter; otherwise it counts in place of it.
    void setCounter(bool isCounter)
    {
        m_isCounter = isCounter;
    }
    bool isCounter() const
    {
        return m_isCounter;
    }

    // Since when it counts.
    Instant startedAt() const
    {
        return m_startedAt;
    }

    // Grants tokens. It must be counting.
    AllowanceAnswer grant(const AllowanceRequest &request, const VmId &self,
                          const CountingShare &share, Instant now);

    // Lends what this data centre does not need itself.
    AllowanceAnswer lend(const AllowanceRequest &request, const CountingShare &share, Instant now);

    // Fills and clamps the bucket, for example after a change of the allowance.
    void refill(const CountingShare &share, Instant now);

    // The fraction that is needed in addition to what this data centre has of its own.
    double wantedLoans(const CountingShare &share, Instant now) const;

    // The fraction to request from one lender; empty if no request is due. A refusal makes one due
    // earlier.
    std::optional<double> dueRequest(const VmId &lender, const CountingShare &share, Instant now);

    LentLoans lent;
    BorrowedLoans borrowed;

private:
    double fraction(const CountingShare &share, Instant now) const;
    double need(const Allowance &allowance, Instant now) const;

    std::optional<TokenBucket> m_bucket;
    bool m_isCounter = false;
    Instant m_startedAt;
    DemandMeter m_demand;
    Instant m_refusedAt;
    std::map<VmId, Instant> m_requestedAt;
};

} // namespace fescuespring
