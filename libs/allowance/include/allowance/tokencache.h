#pragma once

#include "allowance/allowancemessages.h"
#include "allowance/demandmeter.h"
#include "base/types.h"

#include <cstdint>
#include <vector>

namespace fescuespring {

// Time for which granted tokens may be used, from the moment of the request for them.
inline constexpr Duration tokenLifetime = std::chrono::milliseconds(250);

// The tokens of one customer that a VM holds, and how many it should request.
//
//     cache.operationArrived(now);
//     if (!cache.take(now) && !cache.isRefused(now))
//         ask(cache.tokensToAsk(waiting, now));
class TokenCache
{
public:
    void operationArrived(Instant now)
    {
        m_demand.add(1, now);
    }

    // Takes one token that has not expired.
    bool take(Instant now);

    // Tokens to request for `waiting` operations and the demand that follows. Where less than one
    // operation is expected within the lifetime of tokens, none are requested in advance.
    std::uint32_t tokensToAsk(std::uint32_t waiting, Instant now) const;

    // Whether the customer is so busy here that tokens should be requested before they are needed.
    bool shouldAskAhead(Instant now) const;

    void granted(std::uint32_t tokens, const VmId &granter, Instant sentAt);

    // Time to the next request after an answer. It doubles while answers bring nothing, so that a
    // customer far over its limit costs few messages.
    Duration retryAfter(std::uint32_t tokens, Duration requested);

    // Operations are refused until then without a request.
    void refuseUntil(Instant until)
    {
        m_refusedUntil = until;
    }
    bool isRefused(Instant now) const
    {
        return now < m_refusedUntil;
    }
    Instant refusedUntil() const
    {
        return m_refusedUntil;
    }

    // Drops all tokens and refusals, for example as the allowance has changed.
    void clear();

    // Fills in the expired tokens to return, once.
    void fillReturned(AllowanceRequest &request, Instant now);

private:
    struct Batch
    {
        std::uint32_t tokens = 0;
        VmId granter;
        Instant until;
    };

    std::uint32_t held(Instant now) const;

    std::vector<Batch> m_batches;
    DemandMeter m_demand;
    Instant m_refusedUntil;
    int m_backoff = 1;
};

} // namespace fescuespring
