#include "recorder.h"

#include <algorithm>
#include <cmath>

namespace fescuespring::detail {
namespace {

constexpr Duration goodputWindow = std::chrono::seconds(1);
constexpr Duration normalWindow = std::chrono::milliseconds(500);
constexpr Duration normalStep = std::chrono::milliseconds(100);
constexpr double abnormalShare = 0.1;

double seconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

Duration percentile(std::vector<Duration> &times, double share)
{
    if (times.empty())
        return Duration(0);
    std::sort(times.begin(), times.end());
    const double rank = std::ceil(share * static_cast<double>(times.size()));
    return times[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
}

Recorder::Recorder(const DatabaseLoad &load)
    : m_slots(load.slots)
    , m_streams(load.streams)
{}

std::size_t Recorder::recordArrival(std::uint32_t stream, Duration service, Instant now,
                                    Instant deadline)
{
    Sample sample;
    sample.stream = stream;
    sample.arrivedAt = now;
    sample.deadline = deadline;
    sample.service = service;
    m_samples.push_back(sample);
    return m_samples.size() - 1;
}

void Recorder::recordAnswer(std::size_t sample, Reason refusal, Instant now)
{
    m_samples[sample].isAnswered = true;
    m_samples[sample].refusal = refusal;
    m_samples[sample].answeredAt = now;
}

PhaseFigures Recorder::figures(const std::string &phase, const Span &span) const
{
    PhaseFigures figures;
    figures.phase = phase;
    figures.length = span.end - span.begin;
    figures.goodput = goodput(span);
    figures.worstSecond = figures.goodput;
    for (Instant at = span.begin; at + goodputWindow <= span.end; at += goodputWindow)
        figures.worstSecond = std::min(figures.worstSecond, goodput({at, at + goodputWindow}));
    for (std::uint32_t stream = 0; stream < m_streams.size(); ++stream)
        figures.streams.push_back(streamFigures(stream, span));
    return figures;
}

Duration Recorder::timeToNormal(Instant at, Instant end, const Span &normal) const
{
    std::vector<Duration> bounds;
    for (std::uint32_t stream = 0; stream < m_streams.size(); ++stream) {
        std::vector<Duration> baseline = latencies(stream, normal);
        bounds.push_back(percentile(baseline, 0.99));
    }
    Duration needed{0};
    for (Instant begin = at; begin + normalWindow <= end; begin += normalStep) {
        const Span window{begin, begin + normalWindow};
        if (!isNormal(window, bounds))
            needed = window.end - at;
    }
    return needed;
}

bool Recorder::isNormal(const Span &window, const std::vector<Duration> &bounds) const
{
    std::uint32_t total = 0;
    std::uint32_t abnormal = 0;
    for (const Sample &sample : m_samples) {
        if (!window.contains(sample.arrivedAt))
            continue;
        if (m_streams[sample.stream].length == WorkLength::Long)
            continue;
        ++total;
        if (sample.refusal != Reason::None || latency(sample) > bounds[sample.stream])
            ++abnormal;
    }
    return abnormal <= abnormalShare * total;
}

// A request without a reply counts with the time until the end of the run.
Duration Recorder::latency(const Sample &sample) const
{
    return (sample.isAnswered ? sample.answeredAt : m_end) - sample.arrivedAt;
}

void Recorder::setEnd(Instant now)
{
    m_end = now;
}

StreamFigures Recorder::streamFigures(std::uint32_t stream, const Span &span) const
{
    StreamFigures figures;
    figures.stream = m_streams[stream].name;
    std::vector<Duration> refused;
    Duration slotTime{0};
    for (const Sample &sample : m_samples) {
        if (sample.stream != stream)
            continue;
        if (sample.isServed() && span.contains(sample.answeredAt))
            slotTime += sample.service;
        if (!span.contains(sample.arrivedAt))
            continue;
        ++figures.offered;
        if (sample.isServed()) {
            ++figures.served;
        } else if (sample.refusal != Reason::None) {
            ++figures.refused[static_cast<std::size_t>(sample.refusal)];
            refused.push_back(latency(sample));
        } else {
            ++figures.late;
        }
    }
    std::vector<Duration> answered = latencies(stream, span);
    figures.p50 = percentile(answered, 0.5);
    figures.p99 = percentile(answered, 0.99);
    figures.longest = percentile(answered, 1.0);
    figures.refusalP99 = percentile(refused, 0.99);
    figures.refusalLongest = percentile(refused, 1.0);
    figures.slotShare = seconds(slotTime) / (seconds(span.end - span.begin) * m_slots);
    return figures;
}

double Recorder::goodput(const Span &span) const
{
    Duration slotTime{0};
    for (const Sample &sample : m_samples) {
        if (sample.isServed() && span.contains(sample.answeredAt))
            slotTime += sample.service;
    }
    return seconds(slotTime) / (seconds(span.end - span.begin) * m_slots);
}

// Latencies of the requests that arrived in the span and were not refused.
std::vector<Duration> Recorder::latencies(std::uint32_t stream, const Span &span) const
{
    std::vector<Duration> times;
    for (const Sample &sample : m_samples) {
        if (sample.stream != stream || !span.contains(sample.arrivedAt))
            continue;
        if (sample.refusal == Reason::None)
            times.push_back(latency(sample));
    }
    return times;
}

} // namespace fescuespring::detail
