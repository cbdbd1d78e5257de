#pragma once

#include "base/timers.h"
#include "store/objectstore.h"

#include <functional>
#include <memory>
#include <string>

namespace fescuespring {

// A store object that only this VM writes. At most one write is in flight; the latest value is
// retried until it is stored, despite lost or late replies.
//
//     OwnObject record(store, timers, vmKey(vm));
//     record.write(encodeVmRecord(own));
//
// Single-threaded; the store calls back on the same thread.
class OwnObject
{
public:
    // Called after each successful write with the time at which it was sent and the version that
    // it got. May be empty.
    using Written = std::function<void(Instant sentAt, ObjectVersion version)>;

    OwnObject(ObjectStore &store, Timers &timers, std::string key, Written written = {});
    OwnObject(const OwnObject &) = delete;
    OwnObject &operator=(const OwnObject &) = delete;

    void write(std::string value);

    // Whether write was ever called.
    bool isWritten() const
    {
        return !m_value.empty();
    }

private:
    void send();
    void ended(const Result<WriteAnswer> &answer);

    ObjectStore &m_store;
    Timers &m_timers;
    std::string m_key;
    Written m_written;
    std::string m_value;
    ObjectVersion m_version;
    Instant m_sentAt;
    bool m_isWriting = false;
    bool m_isWritePending = false;

    // Expires with this object; callbacks hold it weakly.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fescuespring
