#pragma once

#include "base/counters.h"
#include "base/result.h"
#include "logging/log.h"
#include "settings/daemonsettings.h"

#include <memory>

namespace fescuespring {

// One entry VM of the system: listens for callers and peers, takes part in membership, owns the
// slices that fall to it, and follows the plan lists.
//
//     Result<std::unique_ptr<Vm>> vm = Vm::start(settings, log, counters);
//     vm.value()->run();       // until SIGTERM, SIGINT or stop()
//
// The calling thread becomes the control thread in run(); traffic runs on threads of its own.
class Vm
{
public:
    // Opens every port; log and counters must outlive the VM.
    static Result<std::unique_ptr<Vm>> start(const DaemonSettings &settings, Log &log,
                                             Counters &counters);

    ~Vm();
    Vm(const Vm &) = delete;
    Vm &operator=(const Vm &) = delete;

    // Serves until a planned stop has ended. Returns false if the stop deadline passed with
    // requests still in flight.
    bool run();

    // Begins a planned stop; a second call ends it at once. Any thread.
    void stop();

private:
    struct Data;
    explicit Vm(std::unique_ptr<Data> data);
    std::unique_ptr<Data> m_data;
};

} // namespace fescuespring
