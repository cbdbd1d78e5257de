#include "logwaiters.h"

#include <algorithm>
#include <utility>

namespace fescuespring {

namespace {

constexpr std::size_t maximumEntries = 2000;

} // namespace

void LogWaiters::ask(const Database &database, const LogRequest &request, Instant now,
                     Duration wait, Handler handler)
{
    Waiter waiter{request, now, now + wait, std::move(handler)};
    if (!answer(database, waiter, now))
        m_waiters.push_back(std::move(waiter));
}

void LogWaiters::check(const Database &database, Instant now)
{
    const auto isAnswered = [&database, now](const Waiter &waiter) {
        return answer(database, waiter, now);
    };
    m_waiters.erase(std::remove_if(m_waiters.begin(), m_waiters.end(), isAnswered),
                    m_waiters.end());
}

std::optional<Instant> LogWaiters::nextEvent() const
{
    std::optional<Instant> next;
    for (const Waiter &waiter : m_waiters)
        next = next ? std::min(*next, waiter.until) : waiter.until;
    return next;
}

bool LogWaiters::answer(const Database &database, const Waiter &waiter, Instant now)
{
    const bool hasNews =
            database.log().tip() != waiter.request.after || database.term() != waiter.request.term;
    if (!hasNews && now < waiter.until)
        return false;
    LogBatch batch = database.read(waiter.request, maximumEntries);
    batch.waited = now - waiter.since;
    waiter.handler(batch);
    return true;
}

} // namespace fescuespring
