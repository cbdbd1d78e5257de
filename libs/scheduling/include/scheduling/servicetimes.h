#pragma once

#include "base/types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace fescuespring {

// Running estimates of service time by fingerprint, in a table of fixed size: a new fingerprint
// takes the place of the one of its bucket that was used longest ago.
//
//     ServiceTimes times(4096);
//     times.record(fingerprint, 12ms);
//     times.estimate(fingerprint);  // 12 ms
class ServiceTimes
{
public:
    // capacity is rounded up to a power of two.
    explicit ServiceTimes(std::size_t capacity);

    // Nothing for a fingerprint that is not in the table.
    std::optional<Duration> estimate(std::uint64_t fingerprint) const;

    void record(std::uint64_t fingerprint, Duration service);

    // Lowers the estimate a little, where it was the reason not to run the work: an estimate that
    // was once far too high would else never be corrected.
    void relax(std::uint64_t fingerprint);

private:
    static constexpr std::size_t ways = 4;

    struct Entry
    {
        std::uint64_t fingerprint = 0;
        std::uint32_t serviceMicroseconds = 0;
        std::uint32_t lastUse = 0;
    };
    using Bucket = std::array<Entry, ways>;

    const Entry *find(std::uint64_t fingerprint) const;
    Entry &findOrReplace(std::uint64_t fingerprint);

    std::vector<Bucket> m_buckets;
    std::uint32_t m_uses = 0;
};

} // namespace fescuespring
