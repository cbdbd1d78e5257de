#pragma once

#include "base/result.h"
#include "base/types.h"
#include "databasemodel/server.h"
#include "net/eventloop.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace fescuespring {

struct UpstreamStandinOptions
{
    DatabaseOptions database = {};
    DatabaseServerOptions server = {};

    // Port 0 lets the system choose.
    Endpoint dataEndpoint;
    Endpoint controlEndpoint;

    // Where the other databases of the group are, so that a cut can name them.
    std::map<DatabaseId, Endpoint> peers = {};

    // How long a primary may hold a replica's question while there is nothing new. The age that a
    // replica tells of is at most this much too high.
    std::chrono::milliseconds pullWait{100};

    // Of the jitter of answers.
    std::uint64_t seed = 1;

    // Called for the fault "kill".
    std::function<void()> onKill = {};
};

// One database of a group behind HTTP, as docs/PROTOCOLS.md says, with replication, faults and
// counters; see docs/STANDINS.md. One loop, one thread.
//
//     EventLoop loop;
//     auto standin = UpstreamStandin::start(loop, {.dataEndpoint = {"127.0.0.1", 0}, ...});
//     loop.run();
class UpstreamStandin
{
public:
    static Result<std::unique_ptr<UpstreamStandin>> start(EventLoop &loop,
                                                          UpstreamStandinOptions options);
    ~UpstreamStandin();
    UpstreamStandin(const UpstreamStandin &) = delete;
    UpstreamStandin &operator=(const UpstreamStandin &) = delete;

    Endpoint dataEndpoint() const;
    Endpoint controlEndpoint() const;

private:
    struct Data;
    explicit UpstreamStandin(std::shared_ptr<Data> data);
    std::shared_ptr<Data> m_data;
};

} // namespace fescuespring
