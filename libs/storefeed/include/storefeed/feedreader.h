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

// The records that a VM last read, and when it requested them.
struct DatedRecords
{
    std::vector<StoredObject> objects;
    Instant askedAt;

    // Epoch of the store in which they were read.
    StoreEpoch epoch = {};
};

// Serves to other VMs what this VM has of the store: the objects of its mirror, and the leadership
// records that it last read with their age. Every VM answers, but only those that read the store
// themselves have recent records.
//
//     auto feed = FeedReader::listen(loop, endpoint, timers, mirror, records);
//
// Loop thread only.
class FeedReader
{
public:
    // records returns what was last read, or null; the pointer is not used beyond the call.
    static Result<std::unique_ptr<FeedReader>>
    listen(EventLoop &loop, const Endpoint &endpoint, Timers &timers, StoreMirror &mirror,
           std::function<const DatedRecords *()> records);

    ~FeedReader();

    // Sends a wake-up to all followers: the records differ from those read before.
    void wakeFollowers();

    std::size_t followerCount() const;

    // The listening endpoint, with the actual port.
    Endpoint endpoint() const;

private:
    struct Data;
    explicit FeedReader(std::shared_ptr<Data> data);
    std::shared_ptr<Data> m_data;
};

} // namespace fescuespring
