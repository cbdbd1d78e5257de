#include "admission/learnedlimit.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fescuespring {

namespace {

// The slowdown covers this many samples, or more if they came within smoothingSeconds. At 14
// samples per second, a server that falls to a third of its speed passes the upper threshold within
// a second; at higher rates a longer window has less noise.
constexpr double smoothedSamples = 12;
constexpr double smoothingSeconds = 0.6;

// Samples between two decreases: one excursion of the slowdown must not lower the limit repeatedly.
constexpr unsigned samplesPerDecrease = 6;

constexpr double meanWeight = 1.0 / 16;

// Samples of one kind that a recent time covers, and those after which a kind counts in the
// slowdown: the time of a single statement may be far from the mean of its kind.
constexpr unsigned recentSamples = 64;
constexpr unsigned firstSamples = 8;

// Time constants of base times. With a ratio of four between them, noise keeps a base time within a
// tenth of the mean. A rise beyond normalRatio is rather a slow server, and is followed with the
// time constant of the options.
constexpr double fallSeconds = 10;
constexpr double riseSeconds = 40;
constexpr double normalRatio = 1.5;

// One statement counts as at most this many times its base time.
constexpr double maximumRatio = 8;

// The limit is kept while the slowdown is between these. Below 2, noise of a single statement's
// time passes the upper one too often; a third of the speed must pass it.
constexpr double raiseBelow = 1.7;
constexpr double lowerAbove = 2.3;
constexpr double slowdownTarget = 2;

constexpr double largestDecrease = 0.6;
constexpr double increaseFraction = 0.1;
constexpr double smallestIncrease = 0.5;

// A server counts as stalled after this many mean times without an end.
constexpr double stallFactor = 4;

// Changes of the number in flight that are remembered, enough for the longest statements at 100
// statements per second.
constexpr std::size_t maximumHistory = 512;

// Bounds the memory for kinds of work; further ones share one entry.
constexpr std::size_t maximumKinds = 256;

double microseconds(Duration time)
{
    return static_cast<double>(std::chrono::duration_cast<std::chrono::microseconds>(time).count());
}

double seconds(Duration time)
{
    return microseconds(time) / 1e6;
}

Duration fromMicroseconds(double time)
{
    return std::chrono::microseconds(std::llround(time));
}

} // namespace

const char *toString(LimitChange change)
{
    switch (change) {
    case LimitChange::None:
        return "none";
    case LimitChange::Raised:
        return "raised";
    case LimitChange::Queueing:
        return "queueing";
    case LimitChange::Slow:
        return "slow";
    }
    return "unknown";
}

LearnedLimit::LearnedLimit(LearnedLimitOptions options)
    : m_options(std::move(options))
    , m_limit(m_options.minimum)
{}

void LearnedLimit::setBounds(double minimum, double maximum)
{
    m_options.minimum = minimum;
    m_options.maximum = maximum;
    m_limit = std::clamp(m_limit, minimum, maximum);
}

void LearnedLimit::begin(Instant now)
{
    if (m_active == 0)
        m_noEndSince = now;
    ++m_active;
    recordActive(now);
    if (!hasRoom())
        m_wasFull = true;
}

void LearnedLimit::recordActive(Instant now)
{
    m_history.push_back({now, m_active});
    if (m_history.size() > maximumHistory)
        m_history.pop_front();
}

unsigned LearnedLimit::activeAt(Instant at) const
{
    const auto next = std::upper_bound(
            m_history.begin(), m_history.end(), at,
            [](Instant value, const ActiveSince &entry) { return value < entry.since; });
    return next == m_history.begin() ? m_active : std::prev(next)->count;
}

void LearnedLimit::end(const WorkKind &kind, Duration time, Instant now)
{
    const unsigned activeAtBegin = activeAt(now - time);
    if (m_active > 0)
        --m_active;
    recordActive(now);
    m_noEndSince = now;
    if (time <= Duration(0))
        return;
    if (m_options.wasPaused && m_options.wasPaused(now - time, now))
        return;
    const double measured = microseconds(time);
    m_meanTime += (m_meanTime > 0 ? meanWeight : 1) * (measured - m_meanTime);
    Base &base = baseOf(kind);
    if (base.samples < firstSamples) {
        learnFirst(base, measured, now);
        return;
    }
    const double ratio = std::min(measured / std::max(base.time, 1.0), maximumRatio);
    const double weight = nextWeight(now);
    ++m_samplesSinceDecrease;
    m_slowdown += weight * (ratio - m_slowdown);
    // The minimum, rounded up, counts as low concurrency, so that base times are learned also while
    // the limit stays at its minimum. Only the number at the begin is used: a bound on the number
    // until the end would leave out long statements rather than short ones.
    if (activeAtBegin <= std::ceil(m_options.minimum)) {
        m_lowSlowdown += weight * (ratio - m_lowSlowdown);
        learnBase(base, measured, now);
    }
    adjust(now);
}

// Uses the mean interval, because a long statement often follows a long interval without samples
// and would get more weight than a short one.
double LearnedLimit::nextWeight(Instant now)
{
    const double interval = std::min(seconds(now - m_lastSampleAt), smoothingSeconds);
    m_lastSampleAt = now;
    m_meanInterval += meanWeight * (interval - m_meanInterval);
    return std::min(1 / smoothedSamples, m_meanInterval / smoothingSeconds);
}

LearnedLimit::Base &LearnedLimit::baseOf(const WorkKind &kind)
{
    const bool isKnown = m_bases.contains(kind);
    return m_bases[isKnown || m_bases.size() < maximumKinds ? kind : WorkKind()];
}

// The first times of a kind say nothing about the server; the slowdown that other kinds show is no
// part of its base time.
void LearnedLimit::learnFirst(Base &base, double measured, Instant now) const
{
    ++base.samples;
    base.time += (measured / std::max(m_slowdown, 1.0) - base.time) / base.samples;
    base.recent = base.time;
    base.updatedAt = now;
}

void LearnedLimit::learnBase(Base &base, double measured, Instant now) const
{
    base.samples = std::min(base.samples + 1, recentSamples);
    base.recent += (measured - base.recent) / base.samples;
    const double elapsed = seconds(now - base.updatedAt);
    base.updatedAt = now;
    if (base.samples < recentSamples) {
        base.time = base.recent;
        return;
    }
    double timeConstant = fallSeconds;
    if (base.recent > normalRatio * base.time)
        timeConstant = seconds(m_options.forgetting);
    else if (base.recent > base.time)
        timeConstant = riseSeconds;
    base.time += (base.recent - base.time) * std::min(1.0, elapsed / timeConstant);
}

void LearnedLimit::adjust(Instant now)
{
    if (now < m_nextChangeAt)
        return;
    const double before = m_limit;
    if (m_slowdown > lowerAbove) {
        if (m_samplesSinceDecrease < samplesPerDecrease)
            return;
        m_samplesSinceDecrease = 0;
        const double factor = std::max(largestDecrease, slowdownTarget / m_slowdown);
        m_limit = std::max(m_options.minimum, m_limit * factor);
        if (m_limit < before)
            m_lastChange = m_lowSlowdown > lowerAbove ? LimitChange::Slow : LimitChange::Queueing;
    } else if (m_slowdown < raiseBelow && m_wasFull) {
        const double step = std::max(smallestIncrease, increaseFraction * m_limit);
        m_limit = std::min(m_options.maximum, m_limit + step);
        if (m_limit > before)
            m_lastChange = LimitChange::Raised;
    }
    m_wasFull = false;
    m_nextChangeAt = now + m_options.settling;
}

Duration LearnedLimit::serviceTime(const WorkKind &kind) const
{
    const auto found = m_bases.find(kind);
    if (found == m_bases.end())
        return fromMicroseconds(m_meanTime);
    return fromMicroseconds(found->second.time * std::max(m_slowdown, 1.0));
}

Duration LearnedLimit::expectedWait(std::size_t queued, Instant now) const
{
    const Duration withoutEnd = m_active > 0 ? now - m_noEndSince : Duration(0);
    const bool isStalled = microseconds(withoutEnd) > stallFactor * m_meanTime && m_meanTime > 0;
    const Duration stall = isStalled ? withoutEnd : Duration(0);
    if (queued == 0 && hasRoom())
        return stall;
    const double ahead = static_cast<double>(queued) + 1;
    return stall + fromMicroseconds(ahead * m_meanTime / std::ceil(std::max(m_limit, 1.0)));
}

} // namespace fescuespring
