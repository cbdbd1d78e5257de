#pragma once

#include "base/types.h"
#include "experiment/databaseload.h"
#include "messages/request.h"
#include "pool/connectionpool.h"
#include "scheduling/scheduler.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuespring {

// Experiments in virtual time with one database, its entry VMs and its callers. They use the real
// scheduler and pool, a model of the database with slots, a connection cost and a connection limit,
// and a network model that only delays. The same seed gives the same figures.
//
//     const QueueReport report = runPeak({.load = dvorakDatabaseLoad(), .seed = 7});
//     for (const QueueTarget &target : report.targets)
//         print(target.name, target.value, target.isMet);

enum class QueuePolicy {
    // One owner holds the connections and schedules; other VMs forward to it.
    Product,
    // Every VM opens connections on demand and has an unbounded FIFO queue.
    Naive,
    // Every VM schedules like the owner, with an equal share of the connections and one slot.
    Split,
    // Two owners at the same time, as during a membership change.
    TwoOwners,
};

const char *toString(QueuePolicy policy);
std::optional<QueuePolicy> queuePolicyFromString(std::string_view text);

struct QueueExperimentOptions
{
    DatabaseLoad load = {};
    QueuePolicy policy = QueuePolicy::Product;
    std::uint64_t seed = 1;

    // The load overrides slots and limit.
    SchedulerOptions scheduler = {};
    PoolOptions pool = {};

    // Factor on the quiet load of short work in the head-of-line experiment.
    double shortLoad = 1.0;
};

// Figures of one stream in one phase. Latency covers all requests that were not refused, from the
// intended time of the call; a request without a reply counts with the time until the run ends.
struct StreamFigures
{
    std::string stream;
    std::uint64_t offered = 0;
    std::uint64_t served = 0;

    // Answered after the deadline, or not at all.
    std::uint64_t late = 0;
    std::array<std::uint64_t, reasonCount> refused{};

    Duration p50{0};
    Duration p99{0};
    Duration longest{0};

    // Time until the caller received a refusal.
    Duration refusalP99{0};
    Duration refusalLongest{0};

    // Slot time of requests answered before the deadline, as a share of all slot time of the phase.
    double slotShare = 0.0;

    double servedShare() const;
};

struct PhaseFigures
{
    std::string phase;
    Duration length{0};

    // Slot time of requests answered before the deadline as a share of all slot time, for the whole
    // phase and for its worst second.
    double goodput = 0.0;
    double worstSecond = 0.0;

    std::vector<StreamFigures> streams;

    const StreamFigures *find(std::string_view stream) const;
};

// A bound and the measured value.
struct QueueTarget
{
    std::string name;
    double bound = 0.0;
    double value = 0.0;
    std::string unit;

    bool isMet = false;
};

struct QueueReport
{
    std::string experiment;
    std::string load;
    QueuePolicy policy = QueuePolicy::Product;
    std::uint64_t seed = 0;
    std::vector<PhaseFigures> phases;
    std::vector<QueueTarget> targets;
    std::uint32_t maximumConnections = 0;

    const PhaseFigures *find(std::string_view phase) const;
    const QueueTarget *target(std::string_view name) const;
};

// Quiet load, a pause, three times the capacity for 10 s, then quiet load again.
QueueReport runPeak(const QueueExperimentOptions &options);

// Short work alone, then with long jobs that fill every queue.
QueueReport runHeadOfLine(const QueueExperimentOptions &options);

// Every plan saturates the database through a different number of VMs; each must get its share.
QueueReport runPlanShares(const QueueExperimentOptions &options);

} // namespace fescuespring
