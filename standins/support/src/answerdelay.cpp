#include "standinsupport/answerdelay.h"

#include <utility>

namespace fescuespring {

AnswerDelay::AnswerDelay(EventLoop &loop, std::uint64_t seed)
    : m_loop(loop)
    , m_random(seed)
{}

void AnswerDelay::setRange(const Range &range)
{
    m_range = range;
}

const AnswerDelay::Range &AnswerDelay::range() const
{
    return m_range;
}

void AnswerDelay::send(const HttpResponder &respond, HttpResponse response)
{
    Duration delay = m_range.delay;
    if (m_range.jitter > Duration(0)) {
        std::uniform_int_distribution<Duration::rep> jitter(0, m_range.jitter.count());
        delay += Duration(jitter(m_random));
    }
    if (delay == Duration(0)) {
        respond(std::move(response));
        return;
    }
    m_loop.after(delay, [respond, response = std::move(response)] { respond(response); });
}

} // namespace fescuespring
