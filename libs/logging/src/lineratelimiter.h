#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace fescuespring::detail {

// Limits the rate of lines of each event with a token bucket that holds two seconds' worth. A surge
// of one event, such as refusals under load, neither floods the log nor suppresses other events.
// Not thread-safe.
class LineRateLimiter
{
public:
    using Clock = std::chrono::steady_clock;

    // Maximum rate for each event; 0 for no limit.
    explicit LineRateLimiter(std::uint32_t linesPerSecond);

    // Returns the number of lines of the event suppressed since the last accepted one, or nullopt
    // if this line must be suppressed too.
    std::optional<std::uint64_t> admit(std::string_view event, Clock::time_point now);

private:
    struct Bucket
    {
        double tokens = 0;
        Clock::time_point refilledAt;
        std::uint64_t suppressedLines = 0;
    };

    std::uint32_t m_linesPerSecond;
    std::map<std::string, Bucket, std::less<>> m_buckets;
};

} // namespace fescuespring::detail
