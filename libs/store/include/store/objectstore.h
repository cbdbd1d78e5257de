#pragma once

#include "base/result.h"
#include "base/types.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace fescuespring {

// An object of the platform's store. Version 0 means that there is none of this key.
struct StoredObject
{
    std::string key;
    ObjectVersion version;
    std::string value;

    bool operator==(const StoredObject &) const = default;
};

// A write that takes effect only where the object's version is still ifVersion.
struct ObjectWrite
{
    std::string key;
    std::string value;
    ObjectVersion ifVersion;
};

// The answer to a write: the new version, or the current one where it was not ifVersion.
struct WriteAnswer
{
    bool written = false;
    ObjectVersion version;
};

// A VM as the platform's lagging list has it.
struct PlatformVm
{
    VmId vm;
    DataCentreId dataCentre;
    bool isEntry = true;
    bool leaving = false;
    Endpoint endpoint;

    // Of upstream VMs only.
    GroupId group;
    DatabaseId database;
};

// The platform as a port: one call each, no retries, no memory. An adapter calls done exactly once,
// on the thread that made the call, and never from inside the call. Errors: Refused for too many
// calls, Unavailable for an outage, Timeout and ConnectionLost where the answer did not come (a
// write may then have taken effect), Unreachable where the call was surely not received.
class ObjectStore
{
public:
    using ReadDone = std::function<void(const Result<StoredObject> &)>;
    using ListDone = std::function<void(const Result<std::vector<StoredObject>> &)>;
    using WriteDone = std::function<void(const Result<WriteAnswer> &)>;
    using VmsDone = std::function<void(const Result<std::vector<PlatformVm>> &)>;

    virtual ~ObjectStore() = default;

    virtual void read(const std::string &key, std::chrono::milliseconds timeout, ReadDone done) = 0;
    virtual void list(const std::string &prefix, std::chrono::milliseconds timeout,
                      ListDone done) = 0;
    virtual void write(const ObjectWrite &write, std::chrono::milliseconds timeout,
                       WriteDone done) = 0;

    // Answers as soon as the version exceeds after. An answer whose version does not, says that
    // nothing newer came within wait.
    virtual void watch(const std::string &key, ObjectVersion after, std::chrono::milliseconds wait,
                       ReadDone done) = 0;

    virtual void vms(std::chrono::milliseconds timeout, VmsDone done) = 0;
};

} // namespace fescuespring
