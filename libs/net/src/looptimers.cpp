#include "net/looptimers.h"

#include <ctime>

namespace fescuespring {

LoopTimers::LoopTimers(EventLoop &loop)
    : m_loop(loop)
{}

Instant LoopTimers::now() const
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                        + std::chrono::nanoseconds(time.tv_nsec)));
}

Timers::Id LoopTimers::after(Duration delay, std::function<void()> task)
{
    return m_loop.after(delay, std::move(task));
}

void LoopTimers::cancel(Id id)
{
    m_loop.cancel(id);
}

} // namespace fescuespring
