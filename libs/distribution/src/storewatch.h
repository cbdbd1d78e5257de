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

// The watches on the objects of the lists. Each is read once, since a watch says nothing of an
// object that is not there, and then watched.
class StoreWatch : public std::enable_shared_from_this<StoreWatch>
{
public:
    // Called with each object read or changed; version 0 where there is none.
    using Taken = std::function<void(const StoredObject &)>;

    StoreWatch(StoreClient &store, Taken taken);

    // Watches the plans and the customers' parts 0 to parts - 1, and no more.
    void watch(std::uint32_t parts, Instant now);
    void stop();

    bool isWatching() const
    {
        return !m_keys.empty();
    }

    // True where each of the objects was read, if only to find that there is none.
    bool hasReadAll() const;

private:
    void readFirst(const std::string &key, Instant now);
    void follow(const StoredObject &object);

    StoreClient &m_store;
    Taken m_taken;
    Instant m_now;
    std::set<std::string> m_keys;
    std::set<std::string> m_read;
};

} // namespace fescuespring::detail
