#pragma once

#include "base/timers.h"
#include "net/tcpstream.h"
#include "relay/relaymessages.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace fescuespring {

// Another VM whose connections this VM may borrow. One connection carries the statements of all
// databases. A peer that is unresponsive while statements await their outcome counts as lost; these
// statements may have run.
//
// Loop thread only.
class RelayPeer
{
public:
    struct Options
    {
        Endpoint endpoint;

        // Local IP address to connect from; if empty, the system chooses.
        std::string localIp = {};

        // Called once, when the peer is lost.
        std::function<void(const Error &)> onLost = {};
    };
    using Done = StatementLink::Done;

    RelayPeer(EventLoop &loop, Timers &timers, Options options);
    ~RelayPeer();
    RelayPeer(const RelayPeer &) = delete;
    RelayPeer &operator=(const RelayPeer &) = delete;

    // The identifier of a new lease.
    std::uint64_t newLease();

    // Runs a statement on a lease, one at a time. Calls done exactly once, never from inside the
    // call, unless the lease is released first.
    void run(const RelayMessage &request, Done done);

    void release(std::uint64_t lease);

    // Sends a request about allowances. Calls answered exactly once, never from inside the call:
    // with nothing if the answer does not arrive within the time. Not called once the peer has been
    // destroyed.
    using Answered = std::function<void(const std::optional<AllowanceAnswer> &)>;
    void ask(const AllowanceRequest &request, Duration timeout, Answered answered);

    bool isLost() const;
    bool isConnected() const;

private:
    struct Data;
    std::shared_ptr<Data> m_data;
};

} // namespace fescuespring
