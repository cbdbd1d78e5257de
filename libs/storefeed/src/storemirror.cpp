#include "storefeed/storemirror.h"

#include "store/objectversion.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fescuespring {

void StoreMirror::listen(Listener listener)
{
    m_listeners.push_back(std::move(listener));
}

void StoreMirror::notify(const std::string &kind, const StoreChange &change)
{
    for (const Listener &listener : m_listeners)
        listener(kind, change);
}

void StoreMirror::replaceAll(const std::string &kind, const std::vector<StoredObject> &objects,
                             ObjectVersion storeVersion, const Scope &scope)
{
    std::set<std::string> listed;
    for (const StoredObject &object : objects) {
        listed.insert(object.key);
        apply(kind, {object, false});
    }
    for (const StoredObject &known : this->objects(kind)) {
        const bool isInScope = !scope || scope(known);
        if (isInScope && known.version <= storeVersion && !listed.contains(known.key))
            remove(kind, known.key, storeVersion);
    }
    advanceVersion(kind, storeVersion);
}

void StoreMirror::apply(const std::string &kind, const StoreChange &change)
{
    auto &objects = m_kinds[kind].objects;
    const auto known = objects.find(change.object.key);
    if (change.isRemoved) {
        // A late removal must not remove an object that was created after it.
        if (known != objects.end() && known->second.version <= change.object.version)
            remove(kind, change.object.key, change.object.version);
        return;
    }
    if (known != objects.end() && known->second.version >= change.object.version)
        return;
    objects[change.object.key] = change.object;
    notify(kind, change);
}

void StoreMirror::advanceVersion(const std::string &kind, ObjectVersion version)
{
    Kind &known = m_kinds[kind];
    known.version = std::max(known.version, version);
}

ObjectVersion StoreMirror::version(const std::string &kind) const
{
    const auto known = m_kinds.find(kind);
    return known == m_kinds.end() ? ObjectVersion() : known->second.version;
}

void StoreMirror::remove(const std::string &kind, const std::string &key,
                         ObjectVersion storeVersion)
{
    auto &objects = m_kinds[kind].objects;
    const auto known = objects.find(key);
    if (known == objects.end())
        return;
    const bool isLost = epochOf(known->second.version) < epochOf(storeVersion);
    const StoreChange change{std::move(known->second), true, isLost};
    objects.erase(known);
    notify(kind, change);
}

const StoredObject *StoreMirror::find(const std::string &kind, const std::string &key) const
{
    const auto known = m_kinds.find(kind);
    if (known == m_kinds.end())
        return nullptr;
    const auto found = known->second.objects.find(key);
    return found == known->second.objects.end() ? nullptr : &found->second;
}

std::vector<StoredObject> StoreMirror::objects(const std::string &kind) const
{
    std::vector<StoredObject> objects;
    const auto known = m_kinds.find(kind);
    if (known == m_kinds.end())
        return objects;
    objects.reserve(known->second.objects.size());
    for (const auto &[key, object] : known->second.objects)
        objects.push_back(object);
    return objects;
}

std::vector<std::string> StoreMirror::kinds() const
{
    std::vector<std::string> kinds;
    for (const auto &[kind, known] : m_kinds)
        kinds.push_back(kind);
    return kinds;
}

} // namespace fescuespring
