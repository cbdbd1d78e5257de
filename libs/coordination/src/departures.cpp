#include "coordination/departures.h"

#include "recordwrites.h"

#include <algorithm>
#include <utility>

namespace fescuespring {

namespace {

// Added for each rank of this VM before it writes a record, so that usually one VM does.
constexpr Duration rankStep = std::chrono::milliseconds(300);

// So that the last of many VMs still writes within the notice that a leaving database gives.
constexpr std::size_t maximumRankSteps = 8;

} // namespace

Departures::Departures(Options options)
    : m_options(std::move(options))
{}

void Departures::read(const std::vector<DepartureRecord> &records)
{
    // A store that was restored from a copy may lack a record; what it held still counts.
    for (auto &[group, known] : m_records) {
        const bool isStored =
                std::ranges::find(records, group, &DepartureRecord::group) != records.end();
        if (!isStored)
            known.version = ObjectVersion();
    }
    for (const DepartureRecord &record : records)
        apply(record);
}

void Departures::apply(const DepartureRecord &record)
{
    DepartureRecord &known = m_records[record.group];
    if (record.version > known.version)
        known = record;
}

void Departures::update()
{
    // A database whose entry has yet to come back has not left.
    if (!m_options.directory.isComplete())
        return;
    for (const GroupId &group : m_options.groups())
        updateGroup(group);
}

void Departures::countRecorded(const DepartureRecord &record)
{
    for (const LeavingDatabase &leaving : record.databases) {
        m_options.directory.departed({record.group, leaving.database, leaving.endpoint},
                                     leaving.startedAt, m_options.timers.now());
    }
}

// What the record of a group should hold: the databases that are leaving, and those of the record
// that have left and still count.
std::vector<LeavingDatabase> Departures::leaving(const GroupId &group) const
{
    std::vector<LeavingDatabase> leaving;
    for (const UpstreamEntry *entry : m_options.directory.group(group)) {
        if (entry->isDraining)
            leaving.push_back({entry->target.database, entry->target.endpoint, entry->startedAt});
    }
    const auto record = m_records.find(group);
    if (record == m_records.end())
        return leaving;
    for (const LeavingDatabase &recorded : record->second.databases) {
        if (m_options.directory.isRecentlyDeparted(recorded.database, m_options.timers.now()))
            leaving.push_back(recorded);
    }
    std::ranges::sort(leaving, {}, &LeavingDatabase::database);
    return leaving;
}

void Departures::updateGroup(const GroupId &group)
{
    DepartureRecord record{.group = group, .databases = {}, .version = {}};
    if (const auto known = m_records.find(group); known != m_records.end())
        record = known->second;
    countRecorded(record);
    std::vector<LeavingDatabase> observed = leaving(group);
    if (observed == record.databases) {
        m_differsSince.erase(group);
        return;
    }
    const Instant now = m_options.timers.now();
    const Instant since = m_differsSince.try_emplace(group, now).first->second;
    const std::size_t steps = std::min(m_options.rank(), maximumRankSteps);
    if (m_isWriting || now < since + rankStep * static_cast<int>(steps))
        return;
    record.databases = std::move(observed);
    write(record);
}

void Departures::write(const DepartureRecord &record)
{
    m_isWriting = true;
    m_options.store.write(
            {departureKey(record.group), encodeDepartures(record), record.version},
            detail::recordWriteTimeout,
            [this, record, alive = std::weak_ptr(m_alive)](const Result<WriteAnswer> &answer) {
                if (alive.expired())
                    return;
                m_isWriting = false;
                const bool isWritten = answer && answer.value().written;
                m_options.log.info("departures-recorded", {{"group", record.group},
                                                           {"databases", record.databases.size()},
                                                           {"written", isWritten}});
                if (!isWritten)
                    return;
                DepartureRecord written = record;
                written.version = answer.value().version;
                apply(written);
            });
}

} // namespace fescuespring
