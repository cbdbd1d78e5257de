#pragma once

#include "base/types.h"
#include "experiment/experiment.h"

#include <cstdint>
#include <vector>

namespace fescuespring::detail {

// One request from the moment its caller meant to call.
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

// A stretch of time of an experiment.
struct Span
{
    Instant begin;
    Instant end;

    bool contains(Instant at) const
    {
        return at >= begin && at < end;
    }
};

// The value below which the share of the times lies; zero where there are none. Sorts the times.
Duration percentile(std::vector<Duration> &times, double share);

// All requests of a run, and the figures of a phase.
class Recorder
{
public:
    explicit Recorder(const DatabaseLoad &load);

    // To be told before the figures are taken: what is not answered by then waited until then.
    void ended(Instant now);

    std::size_t arrived(std::uint32_t stream, Duration service, Instant now, Instant deadline);
    void answered(std::size_t sample, Reason refusal, Instant now);

    // Streams are told of by arrival, goodput by the time of the answer.
    PhaseFigures figures(const std::string &phase, const Span &span) const;

    // Time after at until latency is normal for good: the end of the last half second in which one
    // in ten requests of short work took longer than the 99th percentile of its stream in the span
    // of normal load, or was refused.
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
