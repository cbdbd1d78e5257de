#include "storewatch.h"

#include <algorithm>
#include <utility>

namespace fescuespring::detail {

namespace {

// Time limit for the first read of an object, after which it is retried.
constexpr std::chrono::seconds readDeadline{10};

} // namespace

StoreWatch::StoreWatch(StoreClient &store, ObjectReceived objectReceived)
    : m_store(store)
    , m_objectReceived(std::move(objectReceived))
{}

void StoreWatch::watch(std::uint32_t parts, Instant now)
{
    m_now = now;
    std::set<std::string> wanted{std::string(plansKey)};
    for (std::uint32_t part = 0; part < parts; ++part)
        wanted.insert(customersKey(part));
    std::erase_if(m_keys, [&](const std::string &key) {
        if (wanted.contains(key))
            return false;
        m_store.unwatch(key);
        return true;
    });
    for (const std::string &key : wanted) {
        if (m_keys.insert(key).second)
            readFirst(key, now);
    }
}

void StoreWatch::stop()
{
    for (const std::string &key : m_keys)
        m_store.unwatch(key);
    m_keys.clear();
    m_readKeys.clear();
}

bool StoreWatch::hasReadAll() const
{
    return !m_keys.empty()
           && std::all_of(m_keys.begin(), m_keys.end(),
                          [this](const std::string &key) { return m_readKeys.contains(key); });
}

void StoreWatch::readFirst(const std::string &key, Instant now)
{
    m_store.read(key, now, now + readDeadline,
                 [weak = weak_from_this(), key](const Result<StoredObject> &result) {
                     const std::shared_ptr<StoreWatch> self = weak.lock();
                     if (!self || !self->m_keys.contains(key))
                         return;
                     if (result)
                         self->follow(result.value());
                     else
                         self->readFirst(key, self->m_now);
                 });
}

void StoreWatch::follow(const StoredObject &object)
{
    m_readKeys.insert(object.key);
    m_store.watch(object.key, object.version, m_now,
                  [weak = weak_from_this()](const StoredObject &changed) {
                      if (const std::shared_ptr<StoreWatch> self = weak.lock())
                          self->m_objectReceived(changed);
                  });
    m_objectReceived(object);
}

} // namespace fescuespring::detail
