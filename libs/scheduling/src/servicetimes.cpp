#include "scheduling/servicetimes.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace fescuespring {
namespace {

// A new measurement has a weight of 1 / smoothing.
constexpr std::int64_t smoothing = 8;

// Measurements are clipped to this multiple of the estimate, so that a stall of the database does
// not classify a statement as long.
constexpr std::int64_t clipFactor = 4;

constexpr std::int64_t longestMicroseconds = std::numeric_limits<std::uint32_t>::max();

std::uint32_t clamped(std::int64_t microseconds)
{
    return static_cast<std::uint32_t>(
            std::clamp<std::int64_t>(microseconds, 1, longestMicroseconds));
}

} // namespace

ServiceTimes::ServiceTimes(std::size_t capacity)
    : m_buckets(std::bit_ceil(std::max<std::size_t>(capacity / ways, 1)))
{}

std::optional<Duration> ServiceTimes::estimate(std::uint64_t fingerprint) const
{
    const Entry *entry = find(fingerprint);
    if (!entry)
        return std::nullopt;
    return Duration(entry->serviceMicroseconds);
}

void ServiceTimes::record(std::uint64_t fingerprint, Duration service)
{
    Entry &entry = findOrReplace(fingerprint);
    if (entry.serviceMicroseconds == 0) {
        entry.serviceMicroseconds = clamped(service.count());
        return;
    }
    const std::int64_t old = entry.serviceMicroseconds;
    const std::int64_t sample = std::min<std::int64_t>(service.count(), clipFactor * old);
    entry.serviceMicroseconds = clamped(old + (sample - old) / smoothing);
}

void ServiceTimes::lowerEstimate(std::uint64_t fingerprint)
{
    if (!find(fingerprint))
        return;
    Entry &entry = findOrReplace(fingerprint);
    const std::int64_t old = entry.serviceMicroseconds;
    entry.serviceMicroseconds = clamped(old - old / smoothing);
}

const ServiceTimes::Entry *ServiceTimes::find(std::uint64_t fingerprint) const
{
    const Bucket &bucket = m_buckets[fingerprint & (m_buckets.size() - 1)];
    for (const Entry &entry : bucket) {
        if (entry.fingerprint == fingerprint && entry.serviceMicroseconds != 0)
            return &entry;
    }
    return nullptr;
}

ServiceTimes::Entry &ServiceTimes::findOrReplace(std::uint64_t fingerprint)
{
    Bucket &bucket = m_buckets[fingerprint & (m_buckets.size() - 1)];
    ++m_uses;
    Entry *leastRecentlyUsed = bucket.data();
    for (Entry &entry : bucket) {
        if (entry.fingerprint == fingerprint && entry.serviceMicroseconds != 0) {
            entry.lastUse = m_uses;
            return entry;
        }
        // Compares differences, since the counter may wrap around.
        if (m_uses - entry.lastUse > m_uses - leastRecentlyUsed->lastUse)
            leastRecentlyUsed = &entry;
    }
    *leastRecentlyUsed = Entry{fingerprint, 0, m_uses};
    return *leastRecentlyUsed;
}

} // namespace fescuespring
