#pragma once

#include "base/result.h"
#include "storefeed/storemirror.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace fescuespring {

// Every object of a kind, and the version of the store from which on changes are still to come.
struct KindList
{
    std::vector<StoredObject> objects;
    ObjectVersion storeVersion = {};
};

// Changes of a kind, in order, and the version of the store up to which they go.
struct KindChanges
{
    std::vector<StoreChange> changes;
    ObjectVersion storeVersion = {};
};

// How fresh an answer of the store has to be.
enum class ReadFreshness {
    // As of some moment after the question.
    Current,

    // Perhaps seconds old, and cheaper.
    MayBeOld,
};

// A store that lists and watches whole kinds of objects. Answers come on the thread that asked, and
// never from inside the call.
class KindSource
{
public:
    using ListDone = std::function<void(const Result<KindList> &)>;
    using ChangesDone = std::function<void(const Result<KindChanges> &)>;

    virtual ~KindSource() = default;

    // All objects of a kind, over as many pages as there are.
    virtual void listKind(const std::string &kind, ReadFreshness freshness,
                          std::chrono::milliseconds timeout, ListDone done) = 0;

    // Changes of a kind after a version of the store, as soon as there is one or after wait.
    // NotFound where the store has forgotten that part of its history.
    virtual void watchKind(const std::string &kind, ObjectVersion after,
                           std::chrono::milliseconds wait, ChangesDone done) = 0;
};

} // namespace fescuespring
