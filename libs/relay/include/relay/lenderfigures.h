#pragma once

#include "upstreampool/linkpool.h"

#include <cstddef>
#include <map>
#include <optional>

namespace fescuespring {

// What a VM expects of statements that it relays to one database, from the figures that the lender
// returns with each outcome. A reported wait counts half after each halfLife, so that a VM that
// refuses statements because of an old figure tries again. While outcomes are due and none arrives,
// the time since then counts as wait.
//
//     figures.sent(now);
//     figures.ended(work, outcome.load, now);
//     const auto load = figures.expected(work, now);
//
// Not thread-safe. Time is passed in by the caller.
class LenderFigures
{
public:
    static constexpr Duration halfLife = std::chrono::milliseconds(250);

    void sent(Instant now);

    // load is empty if the lender returned none.
    void ended(const WorkKind &work, const std::optional<ExpectedLoad> &load, Instant now);

    // Empty until a lender returned figures.
    std::optional<ExpectedLoad> expected(const WorkKind &work, Instant now) const;

private:
    std::size_t m_inFlight = 0;
    Instant m_noEndSince;
    bool m_hasFigures = false;
    Duration m_wait{0};
    Duration m_lastService{0};
    Instant m_waitAt;
    std::map<WorkKind, Duration> m_services;
};

} // namespace fescuespring
