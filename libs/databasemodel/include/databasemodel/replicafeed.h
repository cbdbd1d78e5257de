#pragma once

#include "base/types.h"
#include "databasemodel/log.h"

#include <deque>
#include <optional>
#include <vector>

namespace fescuespring {

// Injected replication lag: entries count as received this long after they arrived, and are applied
// this long after that.
struct ReplicationLag
{
    Duration receive{0};
    Duration apply{0};

    bool operator==(const ReplicationLag &) const = default;
};

// Queues of a replica: entries that arrived but are not yet received, and received positions that
// are not yet applied. Lag may change at any time and also applies to what is already queued.
class ReplicaFeed
{
public:
    // Entries of one batch. The data up to the last entry is complete as observed at observedAt;
    // nullopt if the batch ended before the primary's log.
    struct Arrival
    {
        std::vector<LogEntry> entries;
        std::optional<Instant> observedAt;
        Instant arrivedAt;
    };

    // Everything up to end was received; observedAt is nullopt if the age of the data is unknown.
    struct Mark
    {
        LogPosition end;
        std::optional<Instant> observedAt;
        Instant receivedAt;
    };

    void setLag(const ReplicationLag &lag);
    const ReplicationLag &lag() const;

    void arrive(Arrival arrival);
    void received(Mark mark);

    std::optional<Arrival> takeReceived(Instant now);
    std::optional<Mark> takeApplied(Instant now);

    void dropArrivals();
    void dropMarks();

    std::optional<Instant> nextEvent() const;

private:
    ReplicationLag m_lag;
    std::deque<Arrival> m_arrivals;
    std::deque<Mark> m_marks;
};

} // namespace fescuespring
