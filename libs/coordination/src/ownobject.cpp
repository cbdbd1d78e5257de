#include "coordination/ownobject.h"

#include <utility>

namespace fescuespring {

namespace {

constexpr std::chrono::milliseconds writeTimeout{1000};
constexpr Duration writeRetry = std::chrono::milliseconds(300);

} // namespace

OwnObject::OwnObject(ObjectStore &store, Timers &timers, std::string key, Written written)
    : m_store(store)
    , m_timers(timers)
    , m_key(std::move(key))
    , m_written(std::move(written))
{}

void OwnObject::write(std::string value)
{
    m_value = std::move(value);
    m_isWritePending = true;
    if (!m_isWriting)
        send();
}

void OwnObject::send()
{
    m_isWriting = true;
    m_isWritePending = false;
    m_sentAt = m_timers.now();
    m_store.write({m_key, m_value, m_version}, writeTimeout,
                  [this, alive = std::weak_ptr(m_alive)](const Result<WriteAnswer> &answer) {
                      if (!alive.expired())
                          ended(answer);
                  });
}

void OwnObject::ended(const Result<WriteAnswer> &answer)
{
    if (!answer) {
        m_timers.after(writeRetry, [this, alive = std::weak_ptr(m_alive)] {
            if (!alive.expired())
                send();
        });
        return;
    }
    // A refused write returns the version written by a previous incarnation, or by a write whose
    // reply was lost.
    m_version = answer.value().version;
    m_isWriting = false;
    if (answer.value().written && m_written)
        m_written(m_sentAt, m_version);
    if (!answer.value().written || m_isWritePending)
        send();
}

} // namespace fescuespring
