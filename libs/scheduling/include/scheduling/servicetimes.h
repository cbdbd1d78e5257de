#pragma once

#include "base/types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace fescuespring {

// Running estimates of service time by fingerprint, in a table of fixed size. A new fingerprint
// replaces the least recently used one of its bucket.
//
//     ServiceTimes times(4096);
//     times.record(fingerprint, 12ms);
//     times.estimate(fingerprint);  // 12 ms
class ServiceTimes
{
public:
    // capacity is rounded up to a power of two.
    explicit ServiceTimes(std::size_t capacity);

    // Returns nothing for a fingerprint that is not in the table.
    std::optional<Duration> estimate(std::uint64_t fingerprint) const;

    void record(std::uint64_t fingerprint, Duration service);

    // Lowers the estimate slightly. To be called when work was refused because of it: an estimate
    // that is far too high would otherwise never be corrected.
    void lowerEstimate(std::uint64_t fingerprint);

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
