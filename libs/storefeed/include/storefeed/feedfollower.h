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

// Gets from one other VM what that VM knows of the store.
//
// The age of records counts from the moment that the question was sent: the reader asked the store
// no earlier than the age that it answers with before that. So no clock of the reader counts, and
// neither a slow network nor a suspended reader makes records look younger than they are.
//
// Loop thread only. Destroying it ends the connection; no callback comes after that.
class FeedFollower
{
public:
    struct Options
    {
        Endpoint reader;

        // Own IP number to connect from; empty lets the system choose.
        std::string localIp = {};

        // Where what the reader sends goes.
        StoreMirror &mirror;

        // The records changed: ask.
        std::function<void()> onWakeUp = {};

        // The connection is gone. Called once, as the last call.
        std::function<void(const Error &)> onLost = {};
    };
    using Answered = std::function<void(const Result<DatedRecords> &)>;

    FeedFollower(EventLoop &loop, Timers &timers, Options options);
    ~FeedFollower();

    // Asks for the records; by the time of the first answer the mirror holds all that the reader
    // knows. Timeout where no answer comes within timeout, Unavailable where the
    // reader knows nothing.
    void requestRecords(Duration timeout, Answered answered);

    // When something came from the reader last; the epoch before that.
    Instant lastReceived() const;

private:
    struct Data;
    std::shared_ptr<Data> m_data;
};

} // namespace fescuespring
