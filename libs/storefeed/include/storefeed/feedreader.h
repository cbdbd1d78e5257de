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

// A version of the configuration, and a time at which the store held no newer one.
struct ConfirmedConfiguration
{
    std::uint64_t version = 0;
    Instant confirmedAt;
};

// The records that a VM last read, and when it requested them.
struct DatedRecords
{
    std::vector<StoredObject> objects;
    Instant askedAt;

    // Epoch of the store in which they were read.
    StoreEpoch epoch = {};

    // Set if they came from another VM that knows its configuration to be current.
    std::optional<ConfirmedConfiguration> configuration = {};
};

// Serves to other VMs what this VM has of the store: the objects of its mirror, and the leadership
// records that it last read with their age. Every VM answers, but only those that read the store
// themselves have recent records.
//
//     auto feed = FeedReader::listen(loop, endpoint, timers, mirror, {.records = records});
//
// Loop thread only.
class FeedReader
{
public:
    struct Hooks
    {
        // Returns what was last read, or null; the pointer is not used beyond the call.
        std::function<const DatedRecords *()> records;

        // Returns the configuration in force and when it was last known to be current.
        std::function<std::optional<ConfirmedConfiguration>()> configuration = {};
    };

    static Result<std::unique_ptr<FeedReader>> listen(EventLoop &loop, const Endpoint &endpoint,
                                                      Timers &timers, StoreMirror &mirror,
                                                      Hooks hooks);

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
