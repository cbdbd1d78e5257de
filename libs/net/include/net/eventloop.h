#pragma once

#include "base/types.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace fescuespring {

class EventLoop;

namespace detail {
struct EventLoopAccess;
} // namespace detail

// One thread's loop of tasks, timers and I/O. Servers, connections and sockets belong to a loop and
// are used on its thread only; other threads pass tasks to it with post().
//
//     EventLoop loop;
//     loop.after(std::chrono::seconds(1), [&loop] { loop.stop(); });
//     loop.run();
//
// A loop must outlive everything created on it.
class EventLoop
{
public:
    // Identifies a timer until it fires or is cancelled; 0 is never used.
    using TimerId = std::uint64_t;

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    // Runs tasks on the calling thread until stop() is called; may be called again afterwards.
    void run();

    // Makes run() return after the current task. Any thread.
    void stop();

    // Queues a task. Any thread.
    void post(std::function<void()> task);

    bool isLoopThread() const;

    // Current time of a monotonic clock.
    static Instant now();

    // Runs task once after delay. Loop thread, or before run().
    TimerId after(Duration delay, std::function<void()> task);

    // Cancels a timer; no effect if it has fired already or id is 0.
    void cancel(TimerId id);

    // Runs handler on the loop thread for each SIGTERM or SIGINT.
    void onStopSignal(const std::function<void()> &handler);

    // Runs handler on the loop thread for each SIGHUP; without a handler SIGHUP ends the process.
    void onReloadSignal(const std::function<void()> &handler);

private:
    friend struct detail::EventLoopAccess;
    struct Data;
    std::unique_ptr<Data> m_data;
};

} // namespace fescuespring
