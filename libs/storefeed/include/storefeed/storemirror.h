#pragma once

#include "store/objectstore.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace fescuespring {

// A change of one object of the store.
struct StoreChange
{
    StoredObject object;
    bool isRemoved = false;
};

// The objects of some kinds of the store as this VM knows them, whoever it has them from. Versions
// of an object only rise, so that a source that is behind takes nothing back. Kinds are the part of
// a key before the slash. One thread only, no clock.
class StoreMirror
{
public:
    // Called after each change of a kind; objects that were given up in a full list count as
    // removed.
    using Listener = std::function<void(const std::string &kind, const StoreChange &change)>;

    // Listeners live as long as the mirror.
    void listen(Listener listener);

    // Every object of a kind, from a source that knew them all at one moment.
    void replaceAll(const std::string &kind, const std::vector<StoredObject> &objects);

    void apply(const std::string &kind, const StoreChange &change);

    // The objects of a kind, ordered by key.
    std::vector<StoredObject> objects(const std::string &kind) const;
    std::vector<std::string> kinds() const;

    // Whether a full list of the kind was ever taken.
    bool isKnown(const std::string &kind) const
    {
        return m_kinds.contains(kind);
    }

private:
    void remove(const std::string &kind, const std::string &key);
    void tell(const std::string &kind, const StoreChange &change);

    std::map<std::string, std::map<std::string, StoredObject>> m_kinds;
    std::vector<Listener> m_listeners;
};

} // namespace fescuespring
