#include "standinplatform/platform.h"

#include <algorithm>
#include <utility>

namespace fescuespring {

namespace {

constexpr Duration watchCharge = std::chrono::seconds(1);
constexpr const char *noVms = R"({"vms":[]})";

} // namespace

RateLimit::RateLimit(double perSecond)
    : m_perSecond(perSecond)
    , m_available(perSecond)
{}

void RateLimit::setRate(double perSecond)
{
    m_perSecond = perSecond;
}

double RateLimit::rate() const
{
    return m_perSecond;
}

bool RateLimit::take(Instant now)
{
    refill(now);
    if (m_available < 1)
        return false;
    m_available -= 1;
    return true;
}

void RateLimit::charge(double calls, Instant now)
{
    refill(now);
    m_available -= calls;
}

void RateLimit::refill(Instant now)
{
    if (now <= m_filledAt)
        return;
    const std::chrono::duration<double> passed = now - m_filledAt;
    m_filledAt = now;
    m_available = std::min(m_perSecond, m_available + passed.count() * m_perSecond);
}

Platform::Platform(const PlatformOptions &options)
    : m_options(options)
    , m_reads(options.readsPerSecond)
    , m_writes(options.writesPerSecond)
{}

PlatformAnswer Platform::read(const std::string &key, Instant now)
{
    if (!m_reads.take(now))
        return {PlatformOutcome::TooManyCalls};
    const PlatformObject *object = find(key);
    if (!object)
        return {PlatformOutcome::NotFound};
    return {PlatformOutcome::Done, {*object}};
}

PlatformAnswer Platform::list(const std::string &prefix, Instant now)
{
    if (!m_reads.take(now))
        return {PlatformOutcome::TooManyCalls};
    PlatformAnswer answer;
    for (auto object = m_objects.lower_bound(prefix);
         object != m_objects.end() && object->first.starts_with(prefix); ++object)
        answer.objects.push_back(object->second);
    return answer;
}

PlatformAnswer Platform::write(const std::string &key, const std::string &value,
                               std::uint64_t ifVersion, Instant now)
{
    if (!m_writes.take(now))
        return {PlatformOutcome::TooManyCalls};
    const PlatformObject *before = find(key);
    const std::uint64_t version = before ? before->version : 0;
    if (version != ifVersion)
        return {PlatformOutcome::Conflict, {{key, version}}};
    const PlatformObject written{key, version + 1, value};
    m_objects[key] = written;
    checkWatches(now);
    return {PlatformOutcome::Done, {written}};
}

void Platform::watch(const std::string &key, std::uint64_t after, Instant now, Instant until,
                     WatchHandler handler)
{
    if (!m_reads.take(now)) {
        handler({PlatformOutcome::TooManyCalls});
        return;
    }
    Watch watch{key, after, until, now + watchCharge, std::move(handler)};
    if (!finishWatch(watch, now))
        m_watches.push_back(std::move(watch));
}

void Platform::endWatches()
{
    for (const Watch &watch : std::exchange(m_watches, {}))
        watch.handler({PlatformOutcome::Unchanged});
}

std::optional<std::string> Platform::vms(Instant now)
{
    if (!m_reads.take(now))
        return std::nullopt;
    std::string seen = noVms;
    for (const VmList &list : m_vmLists) {
        if (list.setAt + m_options.vmLag <= now)
            seen = list.text;
    }
    return seen;
}

void Platform::setVms(std::string list, Instant now)
{
    // All but the last one that is seen by now are of the past.
    while (m_vmLists.size() > 1 && m_vmLists[1].setAt + m_options.vmLag <= now)
        m_vmLists.erase(m_vmLists.begin());
    m_vmLists.push_back({std::move(list), now});
}

void Platform::setOptions(const PlatformOptions &options)
{
    m_options = options;
    m_reads.setRate(options.readsPerSecond);
    m_writes.setRate(options.writesPerSecond);
}

const PlatformOptions &Platform::options() const
{
    return m_options;
}

void Platform::advance(Instant now)
{
    for (Watch &watch : m_watches)
        chargeWatch(watch, now);
    checkWatches(now);
}

std::optional<Instant> Platform::nextEvent() const
{
    std::optional<Instant> next;
    for (const Watch &watch : m_watches) {
        const Instant due = std::min(watch.until, watch.chargeAt);
        next = next ? std::min(*next, due) : due;
    }
    return next;
}

std::size_t Platform::watches() const
{
    return m_watches.size();
}

std::uint64_t Platform::watchSeconds() const
{
    return m_watchSeconds;
}

const PlatformObject *Platform::find(const std::string &key) const
{
    const auto found = m_objects.find(key);
    return found == m_objects.end() ? nullptr : &found->second;
}

void Platform::chargeWatch(Watch &watch, Instant now)
{
    while (watch.chargeAt <= now && watch.chargeAt < watch.until) {
        watch.chargeAt += watchCharge;
        ++m_watchSeconds;
        m_reads.charge(1, now);
    }
}

bool Platform::finishWatch(const Watch &watch, Instant now) const
{
    const PlatformObject *object = find(watch.key);
    if (object && object->version > watch.after)
        watch.handler({PlatformOutcome::Done, {*object}});
    else if (now >= watch.until)
        watch.handler({PlatformOutcome::Unchanged});
    else
        return false;
    return true;
}

void Platform::checkWatches(Instant now)
{
    const auto isFinished = [this, now](const Watch &watch) {
        return finishWatch(watch, now);
    };
    m_watches.erase(std::remove_if(m_watches.begin(), m_watches.end(), isFinished),
                    m_watches.end());
}

} // namespace fescuespring
