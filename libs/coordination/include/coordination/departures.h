#pragma once

#include "base/timers.h"
#include "directory/upstreamdirectory.h"
#include "leadership/departurerecord.h"
#include "logging/log.h"
#include "store/objectstore.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace fescuespring {

// Keeps in the store which databases are leaving, and counts those that left before this VM
// started. Needed where commits need a replica: the last ones may be held by a primary that is lost
// and by a replica that has left, and a VM that has never seen that replica would promote another
// one without them.
//
//     departures.read(snapshot.departures);   // after each read of the records
//     departures.update();                    // every few hundred ms, and before databases count
//
// Each VM may write a record; they do so in the order of their rank. A database is recorded while
// it is leaving, and until it is replaced or no longer counts. Single-threaded.
class Departures
{
public:
    struct Options
    {
        Timers &timers;
        Log &log;
        UpstreamDirectory &directory;
        ObjectStore &store;

        // Groups whose commits need a replica; those of the other groups are not recorded.
        std::function<std::vector<GroupId>()> groups;

        // This VM's rank among the live VMs, from 0.
        std::function<std::size_t()> rank;
    };

    explicit Departures(Options options);

    // All records, as read from the store.
    void read(const std::vector<DepartureRecord> &records);

    // Does nothing before the directory is complete.
    void update();

private:
    void apply(const DepartureRecord &record);
    std::vector<LeavingDatabase> leaving(const GroupId &group) const;
    void countRecorded(const DepartureRecord &record);
    void updateGroup(const GroupId &group);
    void write(const DepartureRecord &record);

    Options m_options;
    std::map<GroupId, DepartureRecord> m_records;

    // Since when the record of a group differs from what this VM observes.
    std::map<GroupId, Instant> m_differsSince;
    bool m_isWriting = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fescuespring
