#pragma once

#include "base/result.h"
#include "base/types.h"
#include "net/eventloop.h"
#include "standinplatform/platform.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace fescuespring {

struct PlatformStandinOptions
{
    PlatformOptions platform = {};

    // Port 0 lets the system choose.
    Endpoint dataEndpoint = {};
    Endpoint controlEndpoint = {};

    // Of the jitter of answers.
    std::uint64_t seed = 1;

    // Called for the fault "kill".
    std::function<void()> onKill = {};
};

// The platform behind HTTP, as docs/PROTOCOLS.md says, with faults and counters; see
// docs/STANDINS.md. One loop, one thread.
class PlatformStandin
{
public:
    static Result<std::unique_ptr<PlatformStandin>> start(EventLoop &loop,
                                                          PlatformStandinOptions options);
    ~PlatformStandin();
    PlatformStandin(const PlatformStandin &) = delete;
    PlatformStandin &operator=(const PlatformStandin &) = delete;

    Endpoint dataEndpoint() const;
    Endpoint controlEndpoint() const;

private:
    struct Data;
    explicit PlatformStandin(std::shared_ptr<Data> data);
    std::shared_ptr<Data> m_data;
};

} // namespace fescuespring
