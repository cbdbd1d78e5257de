#pragma once

#include "base/timers.h"
#include "net/tcpstream.h"
#include "relay/relaymessages.h"

#include <functional>
#include <memory>
#include <string>

namespace fescuespring {

// Another VM whose connections this VM may borrow. One connection carries the statements of all
// databases. A peer that says nothing for a while although something is expected of it counts as
// lost: what was sent to it may have run.
//
// Loop thread only.
class RelayPeer
{
public:
    struct Options
    {
        Endpoint endpoint;

        // Own IP number to connect from; empty lets the system choose.
        std::string localIp = {};

        // The peer is lost. Called once.
        std::function<void(const Error &)> onLost = {};
    };
    using Done = StatementLink::Done;

    RelayPeer(EventLoop &loop, Timers &timers, Options options);
    ~RelayPeer();
    RelayPeer(const RelayPeer &) = delete;
    RelayPeer &operator=(const RelayPeer &) = delete;

    // A number for a lease that this VM is about to take.
    std::uint64_t newLease();

    // Runs a statement on a lease; one at a time on each. done comes once, never from inside the
    // call, unless the lease is released first.
    void run(const RelayMessage &request, Done done);

    void release(std::uint64_t lease);

    bool isLost() const;
    bool isConnected() const;

private:
    struct Data;
    std::shared_ptr<Data> m_data;
};

} // namespace fescuespring
