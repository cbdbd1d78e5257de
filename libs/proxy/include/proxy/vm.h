#pragma once

#include "base/counters.h"
#include "base/result.h"
#include "logging/log.h"
#include "settings/daemonsettings.h"

#include <memory>

namespace fescuespring {

// One entry VM: listens for callers and peers, takes part in membership, owns the slices placed on
// it, and applies updates of the plan lists.
//
//     Result<std::unique_ptr<Vm>> vm = Vm::start(settings, log, counters);
//     vm.value()->run();       // until SIGTERM, SIGINT or stop()
//
// The thread that calls run() becomes the control thread. Traffic runs on separate threads.
class Vm
{
public:
    // Opens every port. The log and the counters must outlive the VM.
    static Result<std::unique_ptr<Vm>> start(const DaemonSettings &settings, Log &log,
                                             Counters &counters);

    ~Vm();
    Vm(const Vm &) = delete;
    Vm &operator=(const Vm &) = delete;

    // Serves until a planned stop has completed. Returns false if the stop was cut short, by the
    // stop deadline or by a second stop().
    bool run();

    // Starts a planned stop. A second call stops at once. Any thread may call it.
    void stop();

private:
    struct Data;
    explicit Vm(std::unique_ptr<Data> data);
    std::unique_ptr<Data> m_data;
};

} // namespace fescuespring
