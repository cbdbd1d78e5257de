#include "relay/lenderfigures.h"

#include <algorithm>
#include <cmath>

namespace fescuespring {

namespace {

// Without an outcome for so long, and for several service times, the lender or its database has
// stalled; hedged reads are sent elsewhere at about the same time.
constexpr Duration minimumStall = std::chrono::milliseconds(100);
constexpr int stallFactor = 8;

// Bounds the memory for kinds of work and priorities.
constexpr std::size_t maximumKinds = 256;

} // namespace

void LenderFigures::sent(Instant now)
{
    if (m_inFlight++ == 0)
        m_noEndSince = now;
}

void LenderFigures::ended(const Key &key, const std::optional<ExpectedLoad> &load, Instant now)
{
    if (m_inFlight > 0)
        --m_inFlight;
    m_noEndSince = now;
    if (!load)
        return;
    m_hasFigures = true;
    const std::pair place(key.customer, key.priority);
    if (m_waits.size() < maximumKinds || m_waits.contains(place))
        m_waits[place] = {load->wait, now};
    if (load->service <= Duration(0))
        return;
    m_lastService = load->service;
    if (m_services.size() < maximumKinds || m_services.contains(key.work))
        m_services[key.work] = load->service;
}

std::optional<ExpectedLoad> LenderFigures::expected(const Key &key, Instant now) const
{
    if (!m_hasFigures)
        return std::nullopt;
    const auto found = m_services.find(key.work);
    ExpectedLoad load{.service = found == m_services.end() ? m_lastService : found->second};
    const auto reported = m_waits.find({key.customer, key.priority});
    if (reported == m_waits.end() && !key.customer.isEmpty())
        return std::nullopt;
    if (reported != m_waits.end()) {
        const auto &[time, at] = reported->second;
        const double halves =
                static_cast<double>((now - at).count()) / static_cast<double>(halfLife.count());
        load.wait = Duration(std::llround(static_cast<double>(time.count()) * std::exp2(-halves)));
    }
    const Duration withoutEnd = m_inFlight > 0 ? now - m_noEndSince : Duration(0);
    if (withoutEnd > std::max(minimumStall, load.wait + load.service * stallFactor))
        load.wait += withoutEnd;
    return load;
}

} // namespace fescuespring
