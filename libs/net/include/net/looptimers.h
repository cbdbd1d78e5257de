#pragma once

#include "base/timers.h"
#include "net/eventloop.h"

namespace fescuespring {

// The timers of an event loop, with a clock that advances while the machine is suspended. The loop
// must outlive this object.
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
