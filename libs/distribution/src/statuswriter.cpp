#include "statuswriter.h"

#include <utility>

namespace fescuespring::detail {

StatusWriter::StatusWriter(StoreClient &store, std::string key, Duration interval)
    : m_store(store)
    , m_key(std::move(key))
    , m_interval(interval)
{}

void StatusWriter::writeIfChanged(const std::string &text, Instant now)
{
    if (m_isWriting || now < m_nextWrite || text == m_written)
        return;
    m_isWriting = true;
    m_nextWrite = now + m_interval;
    m_store.write({m_key, text, m_version}, now, now + m_interval,
                  [weak = weak_from_this(), text](const WriteResult &result) {
                      const std::shared_ptr<StatusWriter> self = weak.lock();
                      if (!self)
                          return;
                      self->m_isWriting = false;
                      if (result.current.version.value() > 0)
                          self->m_version = result.current.version;
                      if (result.outcome == WriteOutcome::Written)
                          self->m_written = text;
                      else if (result.outcome == WriteOutcome::Conflict)
                          // Another VM wrote it first; retry at once with the version now known.
                          self->m_nextWrite = Instant();
                  });
}

} // namespace fescuespring::detail
