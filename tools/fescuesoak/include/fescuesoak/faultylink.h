#pragma once

#include "base/result.h"
#include "base/types.h"
#include "net/eventloop.h"

#include <memory>
#include <string>

namespace fescuespring {

// How the ways of one caller of a link misbehave.
struct LinkFault
{
    // Each piece of bytes arrives this much later, in both directions.
    Duration delay{0};

    // Bytes in this direction are held until this ends.
    bool holdsToTarget = false;
    bool holdsToCaller = false;
};

// A relay on loopback between callers and one target, which does harm between them. Callers are
// told apart by the IP number that they come from, and the target sees them come from it too.
//
//     auto link = FaultyLink::listen(loop, {"127.0.0.1", 0}, target);
//     link.value()->setFault("127.0.0.21", {.holdsToCaller = true});
//
// Loop thread only.
class FaultyLink
{
public:
    static Result<std::unique_ptr<FaultyLink>> listen(EventLoop &loop, const Endpoint &endpoint,
                                                      const Endpoint &target);
    ~FaultyLink();
    FaultyLink(const FaultyLink &) = delete;
    FaultyLink &operator=(const FaultyLink &) = delete;

    Endpoint endpoint() const;

    void setFault(const std::string &callerIp, const LinkFault &fault);

    // Resets the connections of a caller that are open.
    void reset(const std::string &callerIp);

    // The connections of a caller that are open carry nothing any more; new ones work.
    void silence(const std::string &callerIp);

private:
    struct Data;
    explicit FaultyLink(std::shared_ptr<Data> data);
    std::shared_ptr<Data> m_data;
};

} // namespace fescuespring
