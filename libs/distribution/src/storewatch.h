#pragma once

#include "base/types.h"
#include "planlists/listtext.h"
#include "store/storeclient.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace fescuespring::detail {

// The watches on the objects of the lists. Each object is first read, since a watch does not report
// a missing object, and then watched.
class StoreWatch : public std::enable_shared_from_this<StoreWatch>
{
public:
    // Called with each object read or changed; version 0 if the object does not exist.
    using ObjectReceived = std::function<void(const StoredObject &)>;

    StoreWatch(StoreClient &store, ObjectReceived objectReceived);

    // Watches the plans and the customers' parts 0 to parts - 1, and ends all other watches.
    void watch(std::uint32_t parts, Instant now);
    void stop();

    bool isWatching() const
    {
        return !m_keys.empty();
    }

    // True if every object has been read, including those that do not exist.
    bool hasReadAll() const;

private:
    void readFirst(const std::string &key, Instant now);
    void follow(const StoredObject &object);

    StoreClient &m_store;
    ObjectReceived m_objectReceived;
    Instant m_now;
    std::set<std::string> m_keys;
    std::set<std::string> m_readKeys;
};

} // namespace fescuespring::detail
