#pragma once

#include "base/result.h"
#include "storefeed/storemirror.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace fescuespring {

// All objects of a kind, and the store version after which to watch for changes. An object whose
// value cannot be read, as other writers may leave, has an empty value.
struct KindList
{
    std::vector<StoredObject> objects;
    ObjectVersion storeVersion = {};

    // Objects that were left out because their name or version could not be read.
    std::size_t unreadable = 0;
};

// Changes of a kind, in order, and the store version up to which they are complete.
struct KindChanges
{
    std::vector<StoreChange> changes;
    ObjectVersion storeVersion = {};

    // Changes that were left out because the object's name or version could not be read.
    std::size_t unreadable = 0;
};

// Required freshness of an answer of the store.
enum class ReadFreshness {
    // The state at some time after the request was sent.
    Current,

    // May be seconds old, but cheaper.
    MayBeOld,
};

// A store that lists and watches whole kinds of objects. Callbacks run on the calling thread, but
// never before the call has returned.
class KindSource
{
public:
    using ListDone = std::function<void(const Result<KindList> &)>;
    using ChangesDone = std::function<void(const Result<KindChanges> &)>;

    virtual ~KindSource() = default;

    // Lists all objects of a kind, across all pages.
    virtual void listKind(const std::string &kind, ReadFreshness freshness,
                          std::chrono::milliseconds timeout, ListDone done) = 0;

    // Returns the changes of a kind after a store version, as soon as there is one or after wait.
    // Fails with NotFound if the store no longer has that part of its history.
    virtual void watchKind(const std::string &kind, ObjectVersion after,
                           std::chrono::milliseconds wait, ChangesDone done) = 0;
};

} // namespace fescuespring
