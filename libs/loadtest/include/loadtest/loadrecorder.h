#pragma once

#include "base/types.h"
#include "loadtest/latencyhistogram.h"
#include "messages/request.h"
#include "workload/arrivals.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fescuespring {

// How one request of a load ended. Times count from the start of the run; latency from the planned
// arrival, so that a request that could not be sent in time counts in full.
struct LoadResult
{
    Outcome outcome = Outcome::Unknown;

    // Reason of the answer, or what kept an answer from coming.
    std::string reason;
    bool byReplica = false;
    Duration endedAt{0};

    // From sending to a refusal; a request may be sent late because its session was busy.
    Duration answeredAfter{0};
};

// What became of the requests of one class.
struct ClassRecord
{
    std::uint64_t offered = 0;
    std::uint64_t done = 0;
    std::uint64_t doneByReplica = 0;
    std::map<std::string, std::uint64_t> notRun;
    std::map<std::string, std::uint64_t> unknown;
    LatencyHistogram doneLatency;
    LatencyHistogram refusalLatency;

    // Slot time of what was done within the recorder's window, whenever it was planned.
    Duration workDone{0};
};

// One slice of the run, by the time at which requests were planned or ended.
struct SeriesPoint
{
    Duration from{0};
    std::uint64_t offered = 0;
    std::uint64_t done = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    Duration workDone{0};
    std::vector<Duration> latencies;
};

// Keeps count of one run of a load, by class and over time.
class LoadRecorder
{
public:
    LoadRecorder(const LoadWorkload &workload, Duration slice);

    // Leaves arrivals planned outside [from, to) out of the classes' figures; the series and the
    // times of writes hold all.
    void setWindow(Duration from, Duration to);

    void record(const Arrival &arrival, const LoadResult &result);

    const std::vector<ClassRecord> &classes() const;
    const std::vector<SeriesPoint> &series() const;
    Duration slice() const;

    // When done writes of a group ended, in order of their answers.
    const std::vector<Duration> &writesDone(const GroupId &group) const;

private:
    void recordInClass(const Arrival &arrival, const LoadResult &result);
    SeriesPoint &at(Duration time);
    Duration workOf(const Arrival &arrival) const;

    const LoadWorkload &m_workload;
    Duration m_slice;
    Duration m_from{0};
    Duration m_to = Duration::max();
    std::vector<ClassRecord> m_classes;
    std::vector<SeriesPoint> m_series;
    std::map<GroupId, std::vector<Duration>> m_writesDone;
};

// Longest time in [from, to] without an event; times in order.
Duration longestGap(const std::vector<Duration> &times, Duration from, Duration to);

// The latency that this fraction of latencies does not exceed; 0 where there is none.
Duration percentileOf(std::vector<Duration> latencies, double fraction);

} // namespace fescuespring
