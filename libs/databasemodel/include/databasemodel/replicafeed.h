#pragma once

#include "base/types.h"
#include "databasemodel/log.h"

#include <deque>
#include <optional>
#include <vector>

namespace fescuespring {

// How far a replica is behind by fault: entries count as received this long after they arrived, and
// are applied this long after that.
struct ReplicationLag
{
    Duration receive{0};
    Duration apply{0};

    bool operator==(const ReplicationLag &) const = default;
};

// What is on its way into a replica: entries that arrived and are not yet received, and received
// positions that are not yet applied. Lag may change at any time and holds for what waits too.
class ReplicaFeed
{
public:
    // Entries of one batch. The data up to the last of them is complete as of asOf; nothing where
    // the batch stopped short of the primary's end.
    struct Arrival
    {
        std::vector<LogEntry> entries;
        std::optional<Instant> asOf;
        Instant arrivedAt;
    };

    // Everything up to end was received; asOf is nothing where its age is not known.
    struct Mark
    {
        LogPosition end;
        std::optional<Instant> asOf;
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
