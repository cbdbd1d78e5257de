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

// One thread's loop of tasks, timers and input. Servers, connections and sockets are made on a loop
// and used on its thread only; post() is the one way in from other threads.
//
//     EventLoop loop;
//     loop.after(std::chrono::seconds(1), [&loop] { loop.stop(); });
//     loop.run();
//
// A loop must outlive everything made on it.
class EventLoop
{
public:
    // Identifies a timer until it has fired or was cancelled; 0 is never used.
    using TimerId = std::uint64_t;

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    // Runs tasks on the calling thread until stop(); may be called again after that.
    void run();

    // Ends run() after the task at hand. Any thread.
    void stop();

    // Queues a task. Any thread.
    void post(std::function<void()> task);

    bool isLoopThread() const;

    // The time now, of a clock that never goes back.
    static Instant now();

    // Runs task once after delay. Loop thread, or before run().
    TimerId after(Duration delay, std::function<void()> task);

    // Forgets a timer; one that has fired already, or 0, is ignored.
    void cancel(TimerId id);

    // Runs handler on the loop thread for each of the signals SIGTERM and SIGINT.
    void onStopSignal(const std::function<void()> &handler);

    // Runs handler on the loop thread for each SIGHUP, which ends the process where nobody asks.
    void onReloadSignal(const std::function<void()> &handler);

private:
    friend struct detail::EventLoopAccess;
    struct Data;
    std::unique_ptr<Data> m_data;
};

} // namespace fescuespring
