#pragma once

#include "base/types.h"

#include <cstdint>
#include <functional>

namespace fescuespring {

// Clock and timers of a component: an event loop's in production, a virtual clock's in tests.
//
//     const Timers::Id id = timers.after(std::chrono::seconds(1), [this] { retry(); });
//     timers.cancel(id);
//
// Used on one thread only. The clock advances while the machine is suspended, so that leases and
// deadlines expire meanwhile; timers may fire late after a suspension.
class Timers
{
public:
    // Identifies a timer until it fires or is cancelled; 0 is never used.
    using Id = std::uint64_t;

    virtual ~Timers() = default;

    virtual Instant now() const = 0;

    // Runs task once after delay, never synchronously.
    virtual Id after(Duration delay, std::function<void()> task) = 0;

    // Cancels a timer; no effect if it has fired already or id is 0.
    virtual void cancel(Id id) = 0;
};

} // namespace fescuespring
