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

    // Which objects of a kind a list is whole for.
    using Scope = std::function<bool(const StoredObject &)>;

    // Objects of a kind, from a source that knew all those in scope as they were at a version of
    // the store; an empty scope means all of the kind. An object that the list lacks is given up,
    // unless it is newer than what the source knew.
    void replaceAll(const std::string &kind, const std::vector<StoredObject> &objects,
                    ObjectVersion knownUpTo, const Scope &scope = {});

    void apply(const std::string &kind, const StoreChange &change);

    // Every change of the kind up to a version of the store was applied.
    void noteVersion(const std::string &kind, ObjectVersion version);

    // The version of the store up to which a kind is known.
    ObjectVersion version(const std::string &kind) const;

    // One object; null where there is none. Valid until the next change.
    const StoredObject *find(const std::string &kind, const std::string &key) const;

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

    struct Kind
    {
        std::map<std::string, StoredObject> objects;
        ObjectVersion version;
    };

    std::map<std::string, Kind> m_kinds;
    std::vector<Listener> m_listeners;
};

} // namespace fescuespring
