#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace fescuespring::detail {

// Bounds the lines of each kind of event, so that a rise in one kind, as of refusals under load,
// neither floods the log nor crowds out the others: a bucket an event, filled at a steady rate up
// to two seconds' worth. Not thread safe.
class LineBudget
{
public:
    using Clock = std::chrono::steady_clock;

    // Lines a second for each event; 0 bounds nothing.
    explicit LineBudget(std::uint32_t linesPerSecond);

    // How many lines of event were left out before this one; nothing if this one is left out too.
    std::optional<std::uint64_t> take(std::string_view event, Clock::time_point now);

private:
    struct Bucket
    {
        double tokens = 0;
        Clock::time_point filledAt;
        std::uint64_t leftOut = 0;
    };

    std::uint32_t m_linesPerSecond;
    std::map<std::string, Bucket, std::less<>> m_buckets;
};

} // namespace fescuespring::detail
