#include "net/silencedetector.h"

#include <algorithm>
#include <utility>

namespace fescuespring {

std::optional<Instant> SilenceDetector::timedOut(Instant sentAt)
{
    if (m_answeredAt && *m_answeredAt > sentAt)
        return sentAt;
    m_unansweredSince = std::max(m_unansweredSince.value_or(sentAt), sentAt);
    return std::nullopt;
}

std::optional<Instant> SilenceDetector::answered(Instant now)
{
    m_answeredAt = now;
    return std::exchange(m_unansweredSince, std::nullopt);
}

} // namespace fescuespring
