#pragma once

#include "base/timers.h"
#include "net/tcpstream.h"
#include "storefeed/feedmessages.h"
#include "storefeed/storemirror.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace fescuespring {

// The records that a VM last read, and when it asked for them.
struct DatedRecords
{
    std::vector<StoredObject> objects;
    Instant askedAt;
};

// Hands on to other VMs what this VM knows of the store: its mirror, and how old the records of
// leadership are that it last read. Any VM answers; those that read the store themselves are worth
// asking.
//
//     auto feed = FeedReader::listen(loop, endpoint, timers, mirror, records);
//
// Loop thread only.
class FeedReader
{
public:
    // records gives what was last read, or null; it is not kept beyond the call.
    static Result<std::unique_ptr<FeedReader>>
    listen(EventLoop &loop, const Endpoint &endpoint, Timers &timers, StoreMirror &mirror,
           std::function<const DatedRecords *()> records);

    ~FeedReader();

    // The records differ from those read before: followers are told to ask.
    void wakeFollowers();

    std::size_t followerCount() const;

    // Where it listens, with the port that the system chose.
    Endpoint endpoint() const;

private:
    struct Data;
    explicit FeedReader(std::shared_ptr<Data> data);
    std::shared_ptr<Data> m_data;
};

} // namespace fescuespring
