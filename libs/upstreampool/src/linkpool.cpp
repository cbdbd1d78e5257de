#include "upstreampool/linkpool.h"

#include <algorithm>
#include <utility>

namespace fescuespring {

namespace {

// The newest sample has a weight of 1 / smoothing in smoothed times.
constexpr int smoothing = 8;

} // namespace

bool isExpectedLate(const ExpectedLoad &load, Duration useful, StartCheck check)
{
    const Duration left = check == StartCheck::HoldEnd ? useful / 2 : useful;
    return load.wait > std::max(left - load.service, left / 4);
}

DatabaseObserver::DatabaseObserver(Instant now)
{
    m_observation.lastReplyAt = now;
}

void DatabaseObserver::sent(Instant now)
{
    ++m_unanswered;
    if (!m_observation.unresponsiveSince)
        m_observation.unresponsiveSince = now;
}

void DatabaseObserver::replied(const StatementReply &reply, Duration time, Instant now)
{
    m_observation.lastReplyAt = now;
    if (m_unanswered > 0)
        --m_unanswered;
    m_observation.unresponsiveSince = m_unanswered > 0 ? std::optional(now) : std::nullopt;
    if (reply.failure == StatementFailure::Failed)
        ++m_observation.failuresInARow;
    else if (reply.isSuccess())
        m_observation.failuresInARow = 0;
    if (time > Duration(0) && reply.isSuccess())
        m_observation.serviceTime += (time - m_observation.serviceTime) / smoothing;
}

void DatabaseObserver::refused(Instant now)
{
    lost();
    m_observation.lastReplyAt = now;
    m_observation.unresponsiveSince.reset();
}

void DatabaseObserver::lost()
{
    if (m_unanswered > 0)
        --m_unanswered;
}

LinkLease::LinkLease(std::shared_ptr<LinkPool> pool, std::shared_ptr<StatementLink> link)
    : m_pool(std::move(pool))
    , m_link(std::move(link))
{}

LinkLease::~LinkLease()
{
    release();
}

LinkLease::LinkLease(LinkLease &&other) noexcept
    : m_pool(std::move(other.m_pool))
    , m_link(std::move(other.m_link))
{}

LinkLease &LinkLease::operator=(LinkLease &&other) noexcept
{
    if (this == &other)
        return *this;
    release();
    m_pool = std::move(other.m_pool);
    m_link = std::move(other.m_link);
    return *this;
}

void LinkLease::release()
{
    if (!m_link)
        return;
    const auto link = std::exchange(m_link, nullptr);
    const auto pool = std::exchange(m_pool, nullptr);
    pool->giveBack(link);
}

} // namespace fescuespring
