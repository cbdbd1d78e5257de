#pragma once

#include "base/result.h"
#include "base/types.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace fescuespring {

// An object in the platform's store. Version 0 means that no object has this key.
struct StoredObject
{
    std::string key;
    ObjectVersion version;
    std::string value;

    bool operator==(const StoredObject &) const = default;
};

// A conditional write: takes effect only if the object's version is still ifVersion.
struct ObjectWrite
{
    std::string key;
    std::string value;
    ObjectVersion ifVersion;
};

// The reply to a write: the new version, or the current one if it differed from ifVersion.
struct WriteAnswer
{
    bool written = false;
    ObjectVersion version;
};

// A VM as in the platform's list, which lags behind.
struct PlatformVm
{
    VmId vm;
    DataCentreId dataCentre;
    bool isEntry = true;
    bool leaving = false;
    Endpoint endpoint;

    // Set for upstream VMs only.
    GroupId group;
    DatabaseId database;
};

// Interface to the platform: one request per call, no retries, no state. An adapter calls done
// exactly once, on the calling thread, and never from inside the call. Errors: Refused for too many
// calls, Unavailable for an outage, Timeout and ConnectionLost if no reply arrived (a write may
// then have taken effect), Unreachable if the call was certainly not received.
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

    // Calls done as soon as the version exceeds after, or after wait with an object whose version
    // does not.
    virtual void watch(const std::string &key, ObjectVersion after, std::chrono::milliseconds wait,
                       ReadDone done) = 0;

    virtual void vms(std::chrono::milliseconds timeout, VmsDone done) = 0;
};

} // namespace fescuespring
