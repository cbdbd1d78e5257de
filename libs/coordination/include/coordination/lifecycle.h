#pragma once

#include "base/timers.h"
#include "logging/log.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>

namespace fescuespring {

// Decides when a VM takes callers and how it stops without cutting anything off.
//
// A VM that is cut off from most primaries says that it takes no callers; once the balancer has
// noticed, sessions that rest are closed, as their callers find a better VM. After the order to
// stop it takes no callers either; when the balancer has noticed, resting sessions are closed, then
// transactions that rest are ended, and it is done when no session is left or time is up.
//
//     Lifecycle lifecycle({.timers = timers, .log = log, .isInitialized = ..., ...});
//     lifecycle.start();
//     loop.onStopSignal([&] { lifecycle.stop(); });
//
// One thread only.
class Lifecycle
{
public:
    struct Options
    {
        Timers &timers;
        Log &log;

        // From the order to stop until the VM is gone.
        std::chrono::milliseconds stopDeadline{4500};

        // Whether configuration, databases and who leads are known.
        std::function<bool()> isInitialized;

        // Whether this VM is worse off than others.
        std::function<bool()> isIsolated;

        // Closes sessions that rest, and each that comes to rest until called with false.
        std::function<void(bool isClosing)> closeIdleSessions;

        // Ends transactions that rest.
        std::function<void()> abortIdleTransactions;

        std::function<std::size_t()> sessionCount;

        // Tells the other VMs.
        std::function<void()> announceStop;

        // The last call; isClean is false where sessions were left.
        std::function<void(bool isClean)> stopped;
    };

    explicit Lifecycle(Options options);
    ~Lifecycle();
    Lifecycle(const Lifecycle &) = delete;
    Lifecycle &operator=(const Lifecycle &) = delete;

    void start();

    // Further orders change nothing.
    void stop();

    // Whether the balancer may send callers.
    bool isReady() const;

private:
    void checkCutOff();
    void stopStep();

    Options m_options;
    std::optional<Instant> m_cutOffSince;
    Instant m_stopAt;
    bool m_isStopping = false;
    Timers::Id m_checkTimer = 0;
    Timers::Id m_stopTimer = 0;
};

} // namespace fescuespring
