#pragma once

#include "base/types.h"
#include "store/storeclient.h"

#include <chrono>
#include <memory>
#include <string>

namespace fescuespring::detail {

// Writes the status object of a data centre when its text has changed, at a limited rate.
class StatusWriter : public std::enable_shared_from_this<StatusWriter>
{
public:
    StatusWriter(StoreClient &store, std::string key, Duration interval);

    // Writes text if it differs from the last text written and the interval has passed.
    void writeIfChanged(const std::string &text, Instant now);

private:
    StoreClient &m_store;
    std::string m_key;
    Duration m_interval;
    Instant m_nextWrite;
    bool m_isWriting = false;
    ObjectVersion m_version;
    std::string m_written;
};

} // namespace fescuespring::detail
