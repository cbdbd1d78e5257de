#pragma once

#include "base/types.h"
#include "net/eventloop.h"
#include "net/httpserver.h"

#include <cstdint>
#include <random>

namespace fescuespring {

// Sends answers later by a fixed time and a seeded random one, as over a slow network. The delay
// of an answer is drawn when it is sent. Loop thread only.
class AnswerDelay
{
public:
    AnswerDelay(EventLoop &loop, std::uint64_t seed);

    struct Range
    {
        Duration delay{0};

        // Up to this much more.
        Duration jitter{0};
    };

    void setRange(const Range &range);
    const Range &range() const;

    void send(const HttpResponder &respond, HttpResponse response);

private:
    EventLoop &m_loop;
    Range m_range;
    std::mt19937_64 m_random;
};

} // namespace fescuespring
