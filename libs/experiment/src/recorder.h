#pragma once

#include "base/types.h"
#include "experiment/experiment.h"

#include <cstdint>
#include <vector>

namespace fescuespring::detail {

// One request; it arrives at the intended time of the call.
struct Sample
{
    std::uint32_t stream = 0;
    Reason refusal = Reason::None;
    Instant arrivedAt;
    Instant answeredAt;
    Instant deadline;
    Duration service{0};
    bool isAnswered = false;

    bool isServed() const
    {
        return isAnswered && refusal == Reason::None && answeredAt <= deadline;
    }
};

// The time interval from begin to end, without end.
struct Span
{
    Instant begin;
    Instant end;

    bool contains(Instant at) const
    {
        return at >= begin && at < end;
    }
};

// Nearest-rank percentile; zero for no times. Sorts the times.
Duration percentile(std::vector<Duration> &times, double share);

// Records all requests of a run and computes the figures of a phase.
class Recorder
{
public:
    explicit Recorder(const DatabaseLoad &load);

    // To be called before the figures are computed. Requests without a reply count as waiting until
    // this time.
    void setEnd(Instant now);

    std::size_t recordArrival(std::uint32_t stream, Duration service, Instant now,
                              Instant deadline);
    void recordAnswer(std::size_t sample, Reason refusal, Instant now);

    // Counts requests of streams by arrival time and goodput by reply time.
    PhaseFigures figures(const std::string &phase, const Span &span) const;

    // Time from at until latency stays normal: the end of the last half second in which more than
    // one in ten requests of short work were refused or took longer than the 99th percentile of
    // their stream under normal load.
    Duration timeToNormal(Instant at, Instant end, const Span &normal) const;

private:
    StreamFigures streamFigures(std::uint32_t stream, const Span &span) const;
    double goodput(const Span &span) const;
    std::vector<Duration> latencies(std::uint32_t stream, const Span &span) const;
    Duration latency(const Sample &sample) const;
    bool isNormal(const Span &window, const std::vector<Duration> &bounds) const;

    std::uint32_t m_slots;
    std::vector<CallerStream> m_streams;
    std::vector<Sample> m_samples;
    Instant m_end;
};

} // namespace fescuespring::detail
