#include "loadtest/loadrecorder.h"

#include <algorithm>

namespace fescuespring {

LoadRecorder::LoadRecorder(const LoadWorkload &workload, Duration slice)
    : m_workload(workload)
    , m_slice(slice)
    , m_classes(workload.classes.size())
{
    for (const GroupId &group : workload.groups)
        m_writesDone[group];
}

void LoadRecorder::setWindow(Duration from, Duration to)
{
    m_from = from;
    m_to = to;
}

void LoadRecorder::record(const Arrival &arrival, const LoadResult &result)
{
    if (arrival.at >= m_from && arrival.at < m_to)
        recordInClass(arrival, result);
    const bool endedInWindow = result.endedAt >= m_from && result.endedAt < m_to;
    if (endedInWindow && result.outcome == Outcome::Done)
        m_classes[arrival.requestClass].workDone += workOf(arrival);
    ++at(arrival.at).offered;
    SeriesPoint &end = at(result.endedAt);
    switch (result.outcome) {
    case Outcome::Done:
        ++end.done;
        end.workDone += workOf(arrival);
        end.latencies.push_back(result.endedAt - arrival.at);
        if (arrival.request.access == Access::Write)
            m_writesDone[arrival.request.group].push_back(result.endedAt);
        break;
    case Outcome::NotRun:
        ++end.refused;
        break;
    case Outcome::Unknown:
        ++end.unknown;
        break;
    }
}

const std::vector<ClassRecord> &LoadRecorder::classes() const
{
    return m_classes;
}

const std::vector<SeriesPoint> &LoadRecorder::series() const
{
    return m_series;
}

Duration LoadRecorder::slice() const
{
    return m_slice;
}

const std::vector<Duration> &LoadRecorder::writesDone(const GroupId &group) const
{
    return m_writesDone.at(group);
}

void LoadRecorder::recordInClass(const Arrival &arrival, const LoadResult &result)
{
    ClassRecord &record = m_classes[arrival.requestClass];
    const Duration latency = result.endedAt - arrival.at;
    ++record.offered;
    switch (result.outcome) {
    case Outcome::Done:
        ++record.done;
        record.doneByReplica += result.byReplica ? 1 : 0;
        record.doneLatency.add(latency);
        break;
    case Outcome::NotRun:
        ++record.notRun[result.reason];
        record.refusalLatency.add(result.answeredAfter);
        break;
    case Outcome::Unknown:
        ++record.unknown[result.reason];
        break;
    }
}

SeriesPoint &LoadRecorder::at(Duration time)
{
    const auto index = static_cast<std::size_t>(std::max(time, Duration(0)) / m_slice);
    while (m_series.size() <= index) {
        const Duration from = m_slice * static_cast<Duration::rep>(m_series.size());
        m_series.emplace_back().from = from;
    }
    return m_series[index];
}

Duration LoadRecorder::workOf(const Arrival &arrival) const
{
    const RequestClass &requestClass = m_workload.classes[arrival.requestClass];
    return requestClass.work * requestClass.statements;
}

Duration longestGap(const std::vector<Duration> &times, Duration from, Duration to)
{
    Duration longest{0};
    Duration last = from;
    for (const Duration time : times) {
        if (time < from || time > to)
            continue;
        longest = std::max(longest, time - last);
        last = time;
    }
    return std::max(longest, to - last);
}

Duration percentileOf(std::vector<Duration> latencies, double fraction)
{
    if (latencies.empty())
        return Duration(0);
    const double index = fraction * static_cast<double>(latencies.size() - 1);
    const auto nth = latencies.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(latencies.begin(), nth, latencies.end());
    return *nth;
}

} // namespace fescuespring
