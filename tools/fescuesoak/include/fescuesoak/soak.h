#pragma once

#include "base/result.h"
#include "fescuesoak/ledger.h"
#include "net/eventloop.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fescuespring {

// What is done to a VM's process. Whoever started the processes obeys.
enum class ProcessOrder {
    Kill,
    Terminate,
    Start,
    Pause,
    Resume,
    Reload,
};

const char *toString(ProcessOrder order);

struct SoakVm
{
    std::string name;
    Endpoint callers;
};

struct SoakOptions
{
    std::uint64_t seed = 1;

    // Time with faults; before it the callers have a calm second, after it everything is mended.
    std::chrono::seconds length{20};

    // From the mending until every caller has to be served.
    std::chrono::seconds recovery{12};

    std::uint32_t groups = 2;
    std::uint32_t callersPerRoute = 4;
    std::vector<SoakVm> vms;

    // 100 ports from here on are used: the store at the first of them, as VMs see it.
    std::uint16_t firstPort = 24000;
    std::string ip = "127.0.0.1";

    std::function<void(ProcessOrder order, const std::string &vm)> order;

    // One line for people on each fault and on progress.
    std::function<void(const std::string &line)> say;

    // Called once, when all is over.
    std::function<void(const std::vector<SoakViolation> &)> done;
};

// A randomized run of real VM processes against the stand-in of the platform: callers all the time,
// faults in overlapping series between the processes and in them, the promises checked from what
// callers and databases see. The same seed plans the same faults; processes run in real time.
//
//     auto soak = Soak::start(loop, {.seed = 7, .vms = vms, .order = order, ...});
//     loop.run();
//
// The VMs are started when the store's port is open. The loop must outlive it.
class Soak
{
public:
    static Result<std::unique_ptr<Soak>> start(EventLoop &loop, SoakOptions options);
    ~Soak();
    Soak(const Soak &) = delete;
    Soak &operator=(const Soak &) = delete;

private:
    struct Data;
    explicit Soak(std::shared_ptr<Data> data);
    std::shared_ptr<Data> m_data;
};

} // namespace fescuespring
