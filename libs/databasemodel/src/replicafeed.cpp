#include "databasemodel/replicafeed.h"

#include <algorithm>
#include <utility>

namespace fescuespring {

void ReplicaFeed::setLag(const ReplicationLag &lag)
{
    m_lag = lag;
}

const ReplicationLag &ReplicaFeed::lag() const
{
    return m_lag;
}

void ReplicaFeed::arrive(Arrival arrival)
{
    m_arrivals.push_back(std::move(arrival));
}

void ReplicaFeed::received(Mark mark)
{
    m_marks.push_back(mark);
}

std::optional<ReplicaFeed::Arrival> ReplicaFeed::takeReceived(Instant now)
{
    if (m_arrivals.empty() || m_arrivals.front().arrivedAt + m_lag.receive > now)
        return std::nullopt;
    Arrival arrival = std::move(m_arrivals.front());
    m_arrivals.pop_front();
    return arrival;
}

std::optional<ReplicaFeed::Mark> ReplicaFeed::takeApplied(Instant now)
{
    if (m_marks.empty() || m_marks.front().receivedAt + m_lag.apply > now)
        return std::nullopt;
    const Mark mark = m_marks.front();
    m_marks.pop_front();
    return mark;
}

void ReplicaFeed::dropArrivals()
{
    m_arrivals.clear();
}

void ReplicaFeed::dropMarks()
{
    m_marks.clear();
}

std::optional<Instant> ReplicaFeed::nextEvent() const
{
    std::optional<Instant> next;
    if (!m_arrivals.empty())
        next = m_arrivals.front().arrivedAt + m_lag.receive;
    if (m_marks.empty())
        return next;
    const Instant applied = m_marks.front().receivedAt + m_lag.apply;
    return next ? std::min(*next, applied) : applied;
}

} // namespace fescuespring
