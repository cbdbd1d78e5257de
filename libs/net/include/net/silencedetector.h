#pragma once

#include "base/types.h"

#include <optional>

namespace fescuespring {

// Detects that connections to a peer stopped delivering while new ones work: a call got no answer
// in time, and a later one, on another connection, did. Connections on which nothing was received
// since the first of them was sent are then not to be used any more, those that only wait included.
// While nothing answers at all, the peer itself may be away, and nothing follows for its
// connections.
//
//     if (const auto since = detector.timedOut(sentAt))
//         client.closeSilent(*since);
//
// Reads no clock. Not thread-safe.
class SilenceDetector
{
public:
    // A call sent at this time got no answer in time. Returns since when connections are silent.
    std::optional<Instant> timedOut(Instant sentAt);

    // A call was answered now. Returns since when other connections are silent.
    std::optional<Instant> answered(Instant now);

private:
    std::optional<Instant> m_unansweredSince;
    std::optional<Instant> m_answeredAt;
};

} // namespace fescuespring
