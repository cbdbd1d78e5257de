#pragma once

#include "base/types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fescuespring {

// Calls a second that are let through, with bursts of up to one second's worth.
class RateLimit
{
public:
    explicit RateLimit(double perSecond);

    void setRate(double perSecond);
    double rate() const;

    // Takes one call out of the budget; false where it is spent.
    bool take(Instant now);

    // Takes calls that cannot be refused, into debt if need be.
    void charge(double calls, Instant now);

private:
    void refill(Instant now);

    double m_perSecond;
    double m_available;
    Instant m_filledAt;
};

struct PlatformObject
{
    std::string key;
    std::uint64_t version = 0;
    std::string value = {};

    bool operator==(const PlatformObject &) const = default;
};

struct PlatformOptions
{
    double readsPerSecond = 2000;
    double writesPerSecond = 400;

    // A change of the VM list is seen this much later.
    Duration vmLag = std::chrono::seconds(2);
};

enum class PlatformOutcome {
    Done,
    NotFound,
    Conflict,
    Unchanged,
    TooManyCalls,
};

struct PlatformAnswer
{
    PlatformOutcome outcome = PlatformOutcome::Done;

    // One object of a read, write, conflict or watch; several of a list.
    std::vector<PlatformObject> objects = {};
};

// The platform's object store and list of VMs, without sockets: objects with versions, conditional
// writes, watches, rate limits and the lag of the VM list. Time is passed in. One thread.
//
//     Platform platform({});
//     platform.write("plans", "...", 0, now);              // version 1
//     platform.watch("plans", 1, now, now + 30s, [](const PlatformAnswer &answer) {...});
//     platform.advance(now);                               // at each nextEvent()
class Platform
{
public:
    using WatchHandler = std::function<void(const PlatformAnswer &)>;

    explicit Platform(const PlatformOptions &options);

    PlatformAnswer read(const std::string &key, Instant now);
    PlatformAnswer list(const std::string &prefix, Instant now);

    // Takes effect where the version is ifVersion; 0: where there is no such object.
    PlatformAnswer write(const std::string &key, const std::string &value, std::uint64_t ifVersion,
                         Instant now);

    // Calls handler once: with the object as soon as its version exceeds after, or with Unchanged
    // at until. Counts as a read, and as one more for each second it waits.
    void watch(const std::string &key, std::uint64_t after, Instant now, Instant until,
               WatchHandler handler);

    // Ends every watch with Unchanged.
    void endWatches();

    // The VM list is text that the platform does not look into. Nothing: too many calls.
    std::optional<std::string> vms(Instant now);
    void setVms(std::string list, Instant now);

    void setOptions(const PlatformOptions &options);
    const PlatformOptions &options() const;

    void advance(Instant now);
    std::optional<Instant> nextEvent() const;

    std::size_t watches() const;

    // Seconds that watches have waited, each charged as a read.
    std::uint64_t watchSeconds() const;

private:
    struct Watch
    {
        std::string key;
        std::uint64_t after = 0;
        Instant until;
        Instant chargeAt;
        WatchHandler handler;
    };

    struct VmList
    {
        std::string text;
        Instant setAt;
    };

    const PlatformObject *find(const std::string &key) const;
    void chargeWatch(Watch &watch, Instant now);
    bool finishWatch(const Watch &watch, Instant now) const;
    void checkWatches(Instant now);

    PlatformOptions m_options;
    RateLimit m_reads;
    RateLimit m_writes;
    std::map<std::string, PlatformObject> m_objects;
    std::vector<Watch> m_watches;
    std::vector<VmList> m_vmLists;
    std::uint64_t m_watchSeconds = 0;
};

} // namespace fescuespring
