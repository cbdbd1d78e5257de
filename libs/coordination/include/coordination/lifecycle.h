#pragma once

#include "base/timers.h"
#include "logging/log.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>

namespace fescuespring {

// Decides when a VM accepts callers, and shuts it down without interrupting active work.
//
// A VM that is isolated from most primaries reports that it is not ready; once the balancer has
// reacted, idle sessions are closed, since their callers are routed to a better VM. A VM that is
// told to stop is not ready either; once the balancer has reacted, idle sessions are closed, then
// idle transactions are aborted. The shutdown ends when no session is left and no other VM uses
// its connections, or at the deadline; statements that are still running shortly before it are
// ended with a reply.
//
//     Lifecycle lifecycle({.timers = timers, .log = log, .isInitialized = ..., ...});
//     lifecycle.start();
//     loop.onStopSignal([&] { lifecycle.stop(); });
//
// Single-threaded.
class Lifecycle
{
public:
    struct Options
    {
        Timers &timers;
        Log &log;

        // Time limit for a shutdown.
        std::chrono::milliseconds stopDeadline{5750};

        // How long open transactions may go on during a shutdown.
        std::chrono::milliseconds transactionTime{3000};

        // Whether the configuration, the databases and the leadership records have been read.
        std::function<bool()> isInitialized;

        // Whether this VM cannot reach most primaries; see Coordinator::isIsolated.
        std::function<bool()> isIsolated;

        // Closes idle sessions, and each session that becomes idle until called with false.
        std::function<void(bool isClosing)> closeIdleSessions;

        // Aborts idle transactions.
        std::function<void()> abortIdleTransactions;

        // Replies to the statements that are still running; called shortly before the deadline.
        std::function<void()> endStatements;

        std::function<std::size_t()> sessionCount;

        // Number of connections to databases on which statements of other VMs run.
        std::function<std::size_t()> loanCount;

        // Announces the shutdown to the other VMs.
        std::function<void()> announceStop;

        // Called last; isClean is false if sessions or loans were left.
        std::function<void(bool isClean)> stopped;
    };

    explicit Lifecycle(Options options);
    ~Lifecycle();
    Lifecycle(const Lifecycle &) = delete;
    Lifecycle &operator=(const Lifecycle &) = delete;

    void start();

    // Starts the shutdown; further calls have no effect.
    void stop();

    // Whether the balancer may send callers to this VM.
    bool isReady() const;

private:
    void checkIsolation();
    void continueStop();

    Options m_options;
    std::optional<Instant> m_isolatedSince;
    Instant m_stopRequestedAt;
    bool m_isStopping = false;
    Timers::Id m_checkTimer = 0;
    Timers::Id m_stopTimer = 0;
};

} // namespace fescuespring
