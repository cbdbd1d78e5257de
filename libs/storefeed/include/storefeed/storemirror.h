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

    // With isRemoved: the store was restored since and lacks the object, which may be written
    // again.
    bool isLost = false;
};

// This VM's copy of the store objects of some kinds, from any source. Versions of an object only
// rise, so that a source that lags behind reverts nothing. The kind is the part of a key before the
// slash. Single-threaded, uses no clock.
class StoreMirror
{
public:
    // Called after each change of an object; an object missing in a full list counts as removed.
    using Listener = std::function<void(const std::string &kind, const StoreChange &change)>;

    // Adds a listener for the lifetime of the mirror.
    void listen(Listener listener);

    // Selects the objects of a kind for which a list is complete.
    using Scope = std::function<bool(const StoredObject &)>;

    // Applies a list of objects of a kind that is complete within scope at a store version; an
    // empty scope means all of the kind. An object in scope that the list lacks is removed, unless
    // it is newer than that version.
    void replaceAll(const std::string &kind, const std::vector<StoredObject> &objects,
                    ObjectVersion storeVersion, const Scope &scope = {});

    void apply(const std::string &kind, const StoreChange &change);

    // Records that every change of the kind up to a store version was applied.
    void advanceVersion(const std::string &kind, ObjectVersion version);

    // The store version up to which a kind is complete.
    ObjectVersion version(const std::string &kind) const;

    // One object, or null. Valid until the next change.
    const StoredObject *find(const std::string &kind, const std::string &key) const;

    // The objects of a kind, ordered by key.
    std::vector<StoredObject> objects(const std::string &kind) const;
    std::vector<std::string> kinds() const;

    // Whether a full list of the kind was ever applied.
    bool isKnown(const std::string &kind) const
    {
        return m_kinds.contains(kind);
    }

private:
    void remove(const std::string &kind, const std::string &key, ObjectVersion storeVersion);
    void notify(const std::string &kind, const StoreChange &change);

    struct Kind
    {
        std::map<std::string, StoredObject> objects;
        ObjectVersion version;
    };

    std::map<std::string, Kind> m_kinds;
    std::vector<Listener> m_listeners;
};

} // namespace fescuespring
