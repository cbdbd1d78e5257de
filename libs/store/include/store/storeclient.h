#pragma once

#include "base/counters.h"
#include "base/result.h"
#include "base/types.h"
#include "store/objectstore.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fescuespring {

struct StoreClientOptions
{
    // Rate limit of this VM's calls, and the largest burst. A watch counts as a call each time it
    // is sent.
    double callsPerSecond = 10;
    int burst = 20;

    // Maximum number of calls that wait for the rate limit or a retry; further calls fail.
    std::size_t queue = 1000;

    std::chrono::milliseconds callTimeout{1000};
    std::chrono::milliseconds watchWait{30000};

    // A retry waits for a random time up to firstBackoff, which doubles with each consecutive
    // failure up to maximumBackoff.
    std::chrono::milliseconds firstBackoff{100};
    std::chrono::milliseconds maximumBackoff{2000};

    std::uint64_t randomSeed = 1;
};

enum class WriteOutcome {
    // The write took effect.
    Written,
    // The write did not and will not take effect: the object has another version.
    Conflict,
    // Whether it took effect could not be determined before the deadline.
    Unknown,
    // The store was not reached before the deadline: the write did not and will not take effect.
    NotWritten,
};

const char *toString(WriteOutcome outcome);

struct WriteResult
{
    WriteOutcome outcome = WriteOutcome::Unknown;

    // The object as last read; after Conflict the current object.
    StoredObject current;

    // The last error if the store did not reply; otherwise the message is empty.
    Error error = {};
};

// Decides from an object read after a write with unknown outcome whether it contains that write,
// for writes that leave a mark in the value. nullopt if this cannot be decided.
using WriteMark = std::function<std::optional<bool>(const StoredObject &)>;

// Client of the platform's store for one VM: limits the rate of calls, retries with backoff and
// jitter, reads an object back to determine the outcome of a write whose reply was lost, and never
// delivers an object older than one it has delivered or than the minimum version of its key.
//
//     StoreClient store(objectStore, {.randomSeed = seed}, counters);
//     store.read("groups/herd", now, now + 2s, [](const Result<StoredObject> &object) {...});
//     store.write({"groups/herd", value, version}, now, now + 2s,
//                 [](const WriteResult &result) {...});
//     store.tick(now);   // every 50 ms or so: sends the calls that are due
//
// Not thread-safe. Callbacks run from tick or from the callbacks of the ObjectStore, never from
// inside the call that they complete, and never after destruction.
class StoreClient
{
public:
    using ReadDone = ObjectStore::ReadDone;
    using ListDone = ObjectStore::ListDone;
    using WriteDone = std::function<void(const WriteResult &)>;
    using VmsDone = ObjectStore::VmsDone;
    using Changed = std::function<void(const StoredObject &)>;

    StoreClient(ObjectStore &store, StoreClientOptions options, Counters &counters);
    ~StoreClient();
    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;

    void tick(Instant now);

    // A missing object is returned with version 0.
    void read(const std::string &key, Instant now, Instant deadline, ReadDone done);
    void list(const std::string &prefix, Instant now, Instant deadline, ListDone done);
    void vms(Instant now, Instant deadline, VmsDone done);

    // Without a mark, a write with unknown outcome is recognised by its value at version
    // ifVersion + 1.
    void write(const ObjectWrite &write, Instant now, Instant deadline, WriteDone done,
               WriteMark mark = {});

    // Calls changed with each version of key newer than after, across outages, until unwatch.
    // Intermediate versions may be skipped.
    void watch(const std::string &key, ObjectVersion after, Instant now, Changed changed);
    void unwatch(const std::string &key);

    // Versions below this one are no longer delivered; for versions received from other VMs.
    void raiseMinimumVersion(const std::string &key, ObjectVersion version);

    // True if the last completed call received a reply.
    bool isReachable() const;

private:
    class Data;
    std::shared_ptr<Data> m_data;
};

} // namespace fescuespring
