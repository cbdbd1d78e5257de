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
    // Calls a second of this VM, and how many may come at once. A watch counts as a call each time
    // it is sent.
    double callsPerSecond = 10;
    int burst = 20;

    // Calls that may wait for the budget or a retry; more are refused.
    std::size_t queue = 1000;

    std::chrono::milliseconds callTimeout{1000};
    std::chrono::milliseconds watchWait{30000};

    // A retry waits for a random time up to firstBackoff, doubled with each failure in a row, up to
    // maximumBackoff.
    std::chrono::milliseconds firstBackoff{100};
    std::chrono::milliseconds maximumBackoff{2000};

    std::uint64_t randomSeed = 1;
};

enum class WriteOutcome {
    // The write took effect.
    Written,
    // It did not and will not: the object has another version.
    Conflict,
    // Neither could be found out before the deadline.
    Unknown,
    // The store was not reached before the deadline: the write did not and will not take effect.
    NotWritten,
};

const char *toString(WriteOutcome outcome);

struct WriteResult
{
    WriteOutcome outcome = WriteOutcome::Unknown;

    // The object as last seen; after Conflict what stands there now.
    StoredObject current;

    // The last error where the store did not answer; empty message else.
    Error error = {};
};

// Tells from an object read after a write of unknown fate whether that write is in it, for writes
// that leave a mark in the value. Nothing: it cannot be told.
using WriteMark = std::function<std::optional<bool>(const StoredObject &)>;

// The platform's store for one VM: keeps to one budget of calls, tries again with backoff and
// jitter, finds out by reading back what became of a write whose answer was lost, and never passes
// on an object older than one it has passed on or been told of.
//
//     StoreClient store(objectStore, {.randomSeed = seed}, counters);
//     store.read("groups/herd", now, now + 2s, [](const Result<StoredObject> &object) {...});
//     store.write({"groups/herd", value, version}, now, now + 2s,
//                 [](const WriteResult &result) {...});
//     store.tick(now);   // every 50 ms or so: sends what budget and backoff allow
//
// Belongs to one thread. Callbacks come from tick or from the port's callbacks, never from inside
// the call that they answer. After destruction no callback comes.
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

    // An object that is not there is an answer of version 0.
    void read(const std::string &key, Instant now, Instant deadline, ReadDone done);
    void list(const std::string &prefix, Instant now, Instant deadline, ListDone done);
    void vms(Instant now, Instant deadline, VmsDone done);

    // Without a mark, a write of unknown fate is recognised by the value at version ifVersion + 1.
    void write(const ObjectWrite &write, Instant now, Instant deadline, WriteDone done,
               WriteMark mark = {});

    // Calls changed with each newer version of key, from the one after `after` on, through outages,
    // until unwatch. Versions in between may be left out.
    void watch(const std::string &key, ObjectVersion after, Instant now, Changed changed);
    void unwatch(const std::string &key);

    // Versions below this are no longer passed on; for versions learnt from other VMs.
    void raiseFloor(const std::string &key, ObjectVersion version);

    // True where the last call that ended was answered.
    bool isReachable() const;

private:
    class Data;
    std::shared_ptr<Data> m_data;
};

} // namespace fescuespring
