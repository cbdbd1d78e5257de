#pragma once

#include "upstreampool/linkpool.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace fescuespring {

// What a VM expects of statements that it relays to one database, from the figures that the lender
// returns with each outcome. A reported wait counts half after each halfLife, so that a VM that
// refuses statements because of an old figure tries again. While outcomes are due and none arrives,
// the time since then counts as wait.
//
//     figures.sent(now);
//     figures.ended({work, priority}, outcome.load, now);
//     const auto load = figures.expected({work, priority}, now);
//
// Not thread-safe. Time is passed in by the caller.
class LenderFigures
{
public:
    // The service time depends on the kind of work, the wait on priority and customer, as each
    // customer has its own place in the queue of its own owner.
    struct Key
    {
        WorkKind work;
        std::uint32_t priority = 0;
        CustomerId customer = {};
    };

    static constexpr Duration halfLife = std::chrono::milliseconds(250);

    void sent(Instant now);

    // load is empty if the lender returned none.
    void ended(const Key &key, const std::optional<ExpectedLoad> &load, Instant now);

    // Empty until a lender returned figures, for a customer figures of its own.
    std::optional<ExpectedLoad> expected(const Key &key, Instant now) const;

private:
    struct Wait
    {
        Duration time{0};
        Instant at;
    };

    std::size_t m_inFlight = 0;
    Instant m_noEndSince;
    bool m_hasFigures = false;
    Duration m_lastService{0};
    // By customer and priority.
    std::map<std::pair<CustomerId, std::uint32_t>, Wait> m_waits;
    std::map<WorkKind, Duration> m_services;
};

} // namespace fescuespring
