#include "allowance/tokencache.h"

#include <algorithm>

namespace fescuespring {

namespace {

// Operations per second at one VM from which tokens are requested in advance. Below it, more than a
// quarter of them would expire unused.
constexpr double busyRate = 16;

constexpr int maximumBackoff = 8;

double expectedWithinLifetime(double rate)
{
    return rate * std::chrono::duration<double>(tokenLifetime).count();
}

} // namespace

std::uint32_t TokenCache::held(Instant now) const
{
    std::uint32_t sum = 0;
    for (const Batch &batch : m_batches) {
        if (batch.until > now)
            sum += batch.tokens;
    }
    return sum;
}

bool TokenCache::take(Instant now)
{
    for (Batch &batch : m_batches) {
        if (batch.until <= now || batch.tokens == 0)
            continue;
        --batch.tokens;
        return true;
    }
    return false;
}

std::uint32_t TokenCache::tokensToAsk(std::uint32_t waiting, Instant now) const
{
    const auto expected = static_cast<std::uint32_t>(expectedWithinLifetime(m_demand.rate(now)));
    const std::uint32_t inHand = held(now);
    return waiting + (expected > inHand ? expected - inHand : 0);
}

bool TokenCache::shouldAskAhead(Instant now) const
{
    const double rate = m_demand.rate(now);
    return rate >= busyRate && held(now) < expectedWithinLifetime(rate) / 2;
}

void TokenCache::granted(std::uint32_t tokens, const VmId &granter, Instant sentAt)
{
    // Batches are few: they expire after 250 ms and leave with the next request.
    std::erase_if(m_batches, [](const Batch &batch) { return batch.tokens == 0; });
    if (tokens > 0)
        m_batches.push_back({tokens, granter, sentAt + tokenLifetime});
}

Duration TokenCache::retryAfter(std::uint32_t tokens, Duration requested)
{
    if (requested <= Duration(0))
        m_backoff = 1;
    else if (tokens == 0)
        m_backoff = std::min(m_backoff * 2, maximumBackoff);
    return requested * m_backoff;
}

void TokenCache::clear()
{
    m_batches.clear();
    m_refusedUntil = Instant();
    m_backoff = 1;
}

void TokenCache::fillReturned(AllowanceRequest &request, Instant now)
{
    for (const Batch &batch : m_batches) {
        if (batch.until > now || batch.tokens == 0)
            continue;
        if (request.returned > 0 && request.returnedTo != batch.granter)
            continue;
        request.returned += batch.tokens;
        request.returnedTo = batch.granter;
    }
    std::erase_if(m_batches, [now](const Batch &batch) { return batch.until <= now; });
}

} // namespace fescuespring
