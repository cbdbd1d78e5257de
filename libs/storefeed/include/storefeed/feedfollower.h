#pragma once

#include "base/timers.h"
#include "net/tcpstream.h"
#include "storefeed/feedmessages.h"
#include "storefeed/feedreader.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace fescuespring {

// Receives the store objects and records of one other VM over its feed.
//
// The age of records is counted from the time at which the question was sent: the reader requested
// them from the store no earlier than that time minus the age in its answer. So the clocks of the
// two VMs are never compared, and neither a slow network nor a suspended reader makes records
// appear newer than they are.
//
// Loop thread only. Destroying it closes the connection; no callback is called after that.
class FeedFollower
{
public:
    struct Options
    {
        Endpoint reader;

        // Local IP address to connect from; if empty, the system chooses one.
        std::string localIp = {};

        // Receives the objects that the reader sends.
        StoreMirror &mirror;

        // The records have changed and should be requested.
        std::function<void()> onWakeUp = {};

        // The connection is lost. Called at most once, as the last callback.
        std::function<void(const Error &)> onLost = {};
    };
    using Answered = std::function<void(const Result<DatedRecords> &)>;

    FeedFollower(EventLoop &loop, Timers &timers, Options options);
    ~FeedFollower();

    // Requests the records. When the first answer arrives, the mirror holds all objects of the
    // reader. Fails with Timeout without an answer within timeout, and with Unavailable if the
    // reader has no records.
    void requestRecords(Duration timeout, Answered answered);

    // When data last arrived from the reader; the epoch before the first data.
    Instant lastReceived() const;

private:
    struct Data;
    std::shared_ptr<Data> m_data;
};

} // namespace fescuespring
