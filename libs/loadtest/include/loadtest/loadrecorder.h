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

// Outcome of one request of a load. Times are relative to the start of the run. Latency is measured
// from the planned arrival, so that it includes the delay of a request sent late.
struct LoadResult
{
    Outcome outcome = Outcome::Unknown;

    // Reason in the answer, or why there was none.
    std::string reason;
    bool byReplica = false;
    Duration endedAt{0};

    // Time from sending to a refusal; a busy session may delay the sending.
    Duration answeredAfter{0};
};

// Outcomes of the requests of one class.
struct ClassRecord
{
    std::uint64_t offered = 0;
    std::uint64_t done = 0;
    std::uint64_t doneByReplica = 0;
    std::map<std::string, std::uint64_t> notRun;
    std::map<std::string, std::uint64_t> unknown;
    LatencyHistogram doneLatency;
    LatencyHistogram refusalLatency;

    // Slot time of requests completed within the recorder's window, whenever they were planned.
    Duration workDone{0};
};

// One slice of the run, by the time at which requests were planned or completed.
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

// Records the results of one run of a load, by class and over time.
class LoadRecorder
{
public:
    LoadRecorder(const LoadWorkload &workload, Duration slice);

    // Excludes arrivals planned outside [from, to) from the figures of the classes; the series and
    // the times of writes include all.
    void setWindow(Duration from, Duration to);

    void record(const Arrival &arrival, const LoadResult &result);

    const std::vector<ClassRecord> &classes() const;
    const std::vector<SeriesPoint> &series() const;
    Duration slice() const;

    // Completion times of the successful writes of a group, in order of their answers.
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

// Longest time in [from, to] without an event; times must be sorted.
Duration longestGap(const std::vector<Duration> &times, Duration from, Duration to);

// The latency that this fraction of latencies does not exceed; 0 if there is none.
Duration percentileOf(std::vector<Duration> latencies, double fraction);

} // namespace fescuespring
