#pragma once

#include "base/timers.h"
#include "net/eventloop.h"

namespace fescuespring {

// The timers of an event loop, with a clock that counts suspension of the machine. The loop must
// outlive it.
class LoopTimers : public Timers
{
public:
    explicit LoopTimers(EventLoop &loop);

    Instant now() const override;
    Id after(Duration delay, std::function<void()> task) override;
    void cancel(Id id) override;

private:
    EventLoop &m_loop;
};

} // namespace fescuespring
