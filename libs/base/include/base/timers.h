#pragma once

#include "base/types.h"

#include <cstdint>
#include <functional>

namespace fescuespring {

// The time and the timers that a component runs on. Production code takes them from an event loop,
// tests from a virtual clock.
//
//     const Timers::Id id = timers.after(std::chrono::seconds(1), [this] { retry(); });
//     timers.cancel(id);
//
// One thread only. The time counts suspension of the machine, so that whatever it says has lapsed
// has lapsed; timers may fire late after a suspension.
class Timers
{
public:
    // Identifies a timer until it has fired or was cancelled; 0 is never used.
    using Id = std::uint64_t;

    virtual ~Timers() = default;

    virtual Instant now() const = 0;

    // Runs task once after delay, never from inside the call.
    virtual Id after(Duration delay, std::function<void()> task) = 0;

    // Forgets a timer; one that has fired already, or 0, is ignored.
    virtual void cancel(Id id) = 0;
};

} // namespace fescuespring
