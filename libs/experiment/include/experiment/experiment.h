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

// Experiments in virtual time with one database, its entry VMs and its callers. Scheduler and pool
// are the real ones; the database is a model with slots, a cost of connections and a limit of
// them; the network is a delay. The same seed gives the same figures.
//
//     const QueueReport report = runCrest({.load = dvorakDatabaseLoad(), .seed = 7});
//     for (const QueueTarget &target : report.targets)
//         print(target.name, target.value, target.isMet);

enum class QueuePolicy {
    // One owner holds the connections and schedules; other VMs forward to it.
    Product,
    // Every VM opens connections as it needs them, and serves first come, first served, without
    // bounds.
    Naive,
    // Every VM schedules like the owner, with an equal part of the connections and one slot.
    Split,
    // Two owners at once, as at a change of members.
    TwoOwners,
};

const char *toString(QueuePolicy policy);
std::optional<QueuePolicy> queuePolicyFromString(std::string_view text);

struct QueueExperimentOptions
{
    DatabaseLoad load = {};
    QueuePolicy policy = QueuePolicy::Product;
    std::uint64_t seed = 1;

    // slots and limit are taken from the load.
    SchedulerOptions scheduler = {};
    PoolOptions pool = {};

    // Multiplies the load of short work in the experiment with long work; 1 is the quiet load.
    double shortLoad = 1.0;
};

// What became of one stream in one phase. Latency is from the moment the caller meant to call, of
// all that was not refused; what was never answered counts with the time until the run's end.
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

    // Time until a refusal was told.
    Duration refusalP99{0};
    Duration refusalLongest{0};

    // Slot time of its answers in time, as a share of all slot time of the phase.
    double slotShare = 0.0;

    double servedShare() const;
};

struct PhaseFigures
{
    std::string phase;
    Duration length{0};

    // Slot time of answers in time as a share of all slot time: overall, and in the worst second.
    double goodput = 0.0;
    double worstSecond = 0.0;

    std::vector<StreamFigures> streams;

    const StreamFigures *find(std::string_view stream) const;
};

// A bound and what was measured.
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
    std::uint32_t mostConnections = 0;

    const PhaseFigures *find(std::string_view phase) const;
    const QueueTarget *target(std::string_view name) const;
};

// Quiet load, a pause, three times the capacity for 10 s, quiet load again.
QueueReport runCrest(const QueueExperimentOptions &options);

// Short work alone, then with long jobs that fill every queue.
QueueReport runHeadOfLine(const QueueExperimentOptions &options);

// Saturation by every plan, each through other VMs: does each get its share?
QueueReport runPlanShares(const QueueExperimentOptions &options);

} // namespace fescuespring
