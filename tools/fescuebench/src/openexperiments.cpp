#include "fescuebench/controlcalls.h"
#include "fescuebench/databasesenders.h"
#include "fescuebench/experiments.h"
#include "fescuebench/loadrunner.h"

#include <algorithm>
#include <memory>

namespace fescuespring {

namespace {

using namespace std::chrono_literals;

constexpr Duration slice = 100ms;
constexpr int slicesPerSecond = 10;
constexpr std::size_t connectionsPerVm = 4000;
constexpr Duration drainLimit = 35s;

// Of each customer. Enough that sessions seldom wait for themselves, few enough that most hold a
// token from the quiet time before: a read without one needs the primary.
constexpr std::uint32_t sessionsPerGroup = 1000;

double toMs(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

double toSeconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

std::unique_ptr<RequestSender> senderOf(EventLoop &loop, const BenchOptions &options,
                                        const BenchSide &side)
{
    if (side.vms.empty())
        return std::make_unique<NaiveSender>(loop, options.databases, side.entries,
                                             options.workload.connections);
    return std::make_unique<VmSender>(loop, side.vms, connectionsPerVm);
}

Report emptyReport(const BenchOptions &options)
{
    return {.experiment = options.experiment,
            .workload = options.workload.name,
            .seed = options.seed};
}

// Slot time that all databases of the workload's groups have in a second.
double slotSeconds(const LoadWorkload &workload)
{
    return static_cast<double>(workload.groups.size()) * workload.databasesPerGroup
           * workload.slots;
}

// Slot time a second that this mix can use at most.
double usableSlotSeconds(const LoadWorkload &workload)
{
    double shares = 0;
    double work = 0;
    for (const RequestClass &requestClass : workload.classes) {
        shares += requestClass.share;
        work += requestClass.share * toSeconds(requestClass.work * requestClass.statements);
    }
    return slotCapacity(workload) * work / shares;
}

ArrivalOptions arrivalOptions(const BenchOptions &options, const BenchSide &side, Duration length)
{
    return {.seed = options.seed,
            .length = length,
            .sessions =
                    sessionsPerGroup * static_cast<std::uint32_t>(options.workload.groups.size()),
            .entries = static_cast<std::uint32_t>(side.entries)};
}

// The share of offered requests of a class that were done; 1 where none was offered.
double servedShare(const LoadRecorder &recorder, std::size_t place)
{
    const ClassRecord &record = recorder.classes()[place];
    return record.offered == 0
                   ? 1
                   : static_cast<double>(record.done) / static_cast<double>(record.offered);
}

Duration worstRefusal(const LoadRecorder &recorder)
{
    Duration worst{0};
    for (const ClassRecord &record : recorder.classes())
        worst = std::max(worst, record.refusalLatency.percentile(0.99));
    return worst;
}

// Latencies of what ended in [from, to).
std::vector<Duration> latenciesBetween(const LoadRecorder &recorder, Duration from, Duration to)
{
    std::vector<Duration> latencies;
    for (const SeriesPoint &point : recorder.series()) {
        if (point.from >= from && point.from < to)
            latencies.insert(latencies.end(), point.latencies.begin(), point.latencies.end());
    }
    return latencies;
}

// Least slot time done in any whole second of [from, to), by second.
double leastWorkASecond(const LoadRecorder &recorder, Duration from, Duration to)
{
    double least = -1;
    for (Duration at = from; at + 1s <= to; at += 1s) {
        const auto first = static_cast<std::size_t>(at / slice);
        double work = 0;
        for (std::size_t i = first; i < first + slicesPerSecond; ++i)
            work += i < recorder.series().size() ? toSeconds(recorder.series()[i].workDone) : 0;
        least = least < 0 ? work : std::min(least, work);
    }
    return std::max(least, 0.0);
}

// How long after end the last slice with a 99th percentile above bound came.
Duration recoveryAfter(const LoadRecorder &recorder, Duration end, Duration runEnd, Duration bound)
{
    Duration last{0};
    for (const SeriesPoint &point : recorder.series()) {
        const bool inRange = point.from >= end && point.from < runEnd;
        if (inRange && percentileOf(point.latencies, 0.99) > bound)
            last = point.from + slice - end;
    }
    return last;
}

void addSessionTargets(Report &report, const std::string &policy, const LoadEnd &end)
{
    const SessionFaults &faults = end.faults;
    const auto add = [&report, &policy](const char *name, std::uint64_t count) {
        report.targets.push_back({.name = name,
                                  .bound = 0,
                                  .value = static_cast<double>(count),
                                  .unit = "answers",
                                  .policy = policy});
    };
    add("reads that missed an own acknowledged write", faults.missedWrites);
    add("reads that went back", faults.wentBack);
    add("answers to another request", faults.foreignAnswers);
    report.figures.push_back(
            {"requests without an end at the limit", static_cast<double>(end.open), "", policy});
}

// Parts of a crest run.
constexpr Duration baseLength = 4s;
constexpr Duration afterLength = 6s;
constexpr double baseLoad = 0.3;
constexpr double crestLoad = 3;

// What the users want of single classes at the crest.
struct ClassBound
{
    const char *name;
    double served;

    // Allowed above the unloaded 99th percentile; 0: no bound.
    Duration aboveBase;
};

constexpr ClassBound crestBounds[] = {{"price-change", 0.999, 50ms}, {"label-check", 0.99, 0ms}};

void addClassTargets(Report &report, const LoadWorkload &workload, const LoadRecorder &base,
                     const LoadRecorder &crest, const std::string &policy)
{
    for (const ClassBound &bound : crestBounds) {
        for (std::size_t i = 0; i < workload.classes.size(); ++i) {
            if (workload.classes[i].name != bound.name)
                continue;
            report.targets.push_back({.name = std::string(bound.name) + " served",
                                      .bound = bound.served,
                                      .value = servedShare(crest, i),
                                      .unit = "share",
                                      .policy = policy,
                                      .atMost = false});
            if (bound.aboveBase == Duration(0))
                continue;
            const Duration above = crest.classes()[i].doneLatency.percentile(0.99)
                                   - base.classes()[i].doneLatency.percentile(0.99);
            report.targets.push_back({.name = std::string(bound.name) + " p99 above unloaded",
                                      .bound = toMs(bound.aboveBase),
                                      .value = toMs(above),
                                      .unit = "ms",
                                      .policy = policy});
        }
    }
}

void crestOf(Report &report, const BenchOptions &options, const BenchSide &side)
{
    const LoadWorkload &workload = options.workload;
    const double capacity = slotCapacity(workload) * options.scale;
    const Duration crestEnd = baseLength + options.length;
    const Duration end = crestEnd + afterLength;
    ArrivalOptions arrivals = arrivalOptions(options, side, end);
    arrivals.steps = {{0s, baseLoad * capacity},
                      {baseLength, crestLoad * capacity},
                      {crestEnd, baseLoad * capacity}};
    LoadRecorder base(workload, slice);
    base.setWindow(1s, baseLength);
    LoadRecorder crest(workload, slice);
    crest.setWindow(baseLength, crestEnd);
    EventLoop loop;
    const auto sender = senderOf(loop, options, side);
    LoadRunner runner(loop, workload, planArrivals(workload, arrivals), *sender, {&base, &crest},
                      options.runId + side.policy);
    const LoadEnd ended = runner.run(drainLimit);
    addRun(report, workload, base, "before", side.policy);
    report.series.pop_back();
    addRun(report, workload, crest, "crest", side.policy);

    report.targets.push_back(
            {.name = "least goodput in a second of the crest",
             .bound = 0.95,
             .value = leastWorkASecond(crest, baseLength, crestEnd) / usableSlotSeconds(workload),
             .unit = "share of slot capacity",
             .policy = side.policy,
             .atMost = false});
    addClassTargets(report, workload, base, crest, side.policy);
    report.targets.push_back({.name = "refusal told, p99 of the slowest class",
                              .bound = 100,
                              .value = toMs(worstRefusal(crest)),
                              .unit = "ms",
                              .policy = side.policy});
    const Duration normal = 2 * percentileOf(latenciesBetween(crest, 1s, baseLength), 0.99);
    report.targets.push_back({.name = "back below twice the p99 before, after the crest's end",
                              .bound = 1000,
                              .value = toMs(recoveryAfter(crest, crestEnd, end, normal)),
                              .unit = "ms",
                              .policy = side.policy});
    addSessionTargets(report, side.policy, ended);
}

constexpr double shortLoad = 0.5;

// Long work offered, as a multiple of what the slots can carry of it.
constexpr double longOverload = 1.5;

// Slot time a second that long work of the workload could use: slots of primaries for writes.
double longSlotSeconds(const LoadWorkload &workload)
{
    const auto writes = std::any_of(workload.classes.begin(), workload.classes.end(),
                                    [](const RequestClass &each) {
                                        return isLongWork(each) && each.access == Access::Write;
                                    });
    return writes ? slotSeconds(workload) / workload.databasesPerGroup : slotSeconds(workload);
}

// Requests a second of long work that overload the slots they may use.
double longRate(const LoadWorkload &workload)
{
    for (const RequestClass &each : workload.classes) {
        if (isLongWork(each))
            return longOverload * longSlotSeconds(workload) / toSeconds(each.work);
    }
    return 0;
}

// The share that the plan of the long work holds against all plans.
double longPlanShare(const LoadWorkload &workload)
{
    double all = 0;
    double own = 0;
    for (const auto &[id, plan] : workload.lists.plans) {
        all += plan.weight;
        const bool holdsLong = std::any_of(workload.classes.begin(), workload.classes.end(),
                                           [&wanted = id](const RequestClass &each) {
                                               return isLongWork(each) && each.plan == wanted;
                                           });
        own += holdsLong ? plan.weight : 0;
    }
    return own / all;
}

// The workload with so many long requests a second beside shortRate short ones.
LoadWorkload withLongRate(LoadWorkload workload, double shortRate, double wantedLong)
{
    double shares = 0;
    for (const RequestClass &each : workload.classes)
        shares += isLongWork(each) ? 0 : each.share;
    for (RequestClass &each : workload.classes) {
        if (isLongWork(each))
            each.share = shares * wantedLong / shortRate;
    }
    return workload;
}

LoadEnd runSteady(EventLoop &loop, const BenchOptions &options, const BenchSide &side,
                  const LoadWorkload &workload, double perSecond, RequestSender &sender,
                  LoadRecorder &recorder, const std::string &run)
{
    ArrivalOptions arrivals = arrivalOptions(options, side, options.length);
    arrivals.steps = {{0s, perSecond}};
    recorder.setWindow(1s, options.length);
    LoadRunner runner(loop, workload, planArrivals(workload, arrivals), sender, {&recorder},
                      options.runId + side.policy + run);
    return runner.run(drainLimit);
}

// Worst ratio of 99th percentiles of a short class, of classes with enough requests to tell.
double worstRatio(const LoadWorkload &workload, const LoadRecorder &alone,
                  const LoadRecorder &mixed)
{
    constexpr std::uint64_t enough = 500;
    // Stands for a ratio that cannot be told, because hardly anything was served: never met.
    constexpr double notServed = 1e6;
    double worst = 0;
    bool isTold = false;
    for (std::size_t i = 0; i < workload.classes.size(); ++i) {
        const ClassRecord &before = alone.classes()[i];
        if (isLongWork(workload.classes[i]) || before.done < enough)
            continue;
        isTold = true;
        if (mixed.classes()[i].done < before.done / 2)
            return notServed;
        worst = std::max(worst, toMs(mixed.classes()[i].doneLatency.percentile(0.99))
                                        / toMs(before.doneLatency.percentile(0.99)));
    }
    return isTold ? worst : notServed;
}

void headOfLineOf(Report &report, const BenchOptions &options, const BenchSide &side)
{
    const double shortRate =
            shortLoad * options.scale * slotCapacity(without(options.workload, isLongWork));
    const double longs = longRate(options.workload);
    const LoadWorkload alone = withLongRate(options.workload, shortRate, 0);
    const LoadWorkload mixed = withLongRate(options.workload, shortRate, longs);
    EventLoop loop;
    const auto sender = senderOf(loop, options, side);
    LoadRecorder before(alone, slice);
    runSteady(loop, options, side, alone, shortRate, *sender, before, "alone");
    LoadRecorder with(mixed, slice);
    const LoadEnd ended =
            runSteady(loop, options, side, mixed, shortRate + longs, *sender, with, "mixed");
    addRun(report, alone, before, "short alone", side.policy);
    addRun(report, mixed, with, "with long", side.policy);

    report.targets.push_back({.name = "p99 of short work with long jobs against without",
                              .bound = 1.5,
                              .value = worstRatio(mixed, before, with),
                              .unit = "times",
                              .policy = side.policy});
    Duration longWork{0};
    for (std::size_t i = 0; i < mixed.classes.size(); ++i)
        longWork += isLongWork(mixed.classes[i]) ? with.classes()[i].workDone : Duration(0);
    report.targets.push_back(
            {.name = "slot time of long jobs",
             .bound = longPlanShare(mixed),
             .value = toSeconds(longWork) / toSeconds(options.length - 1s) / longSlotSeconds(mixed),
             .unit = "share of the slots they may use",
             .policy = side.policy,
             .atMost = false});
    addSessionTargets(report, side.policy, ended);
}

// A workload of sessions that write and read keys of their own.
LoadWorkload ownKeyWorkload(const LoadWorkload &workload, double writeShare, Duration work)
{
    LoadWorkload own = workload;
    const RequestClass first = workload.classes.front();
    RequestClass read;
    read.name = "own-read";
    read.customer = first.customer;
    read.plan = first.plan;
    read.share = 1 - writeShare;
    read.work = work;
    read.ownKey = true;
    RequestClass write = read;
    write.name = "own-write";
    write.access = Access::Write;
    write.share = writeShare;
    own.classes = {read, write};
    return own;
}

constexpr std::uint32_t checkedSessions = 1000;
constexpr double writesOfReplicaReads = 0.1;
constexpr double replicaReadsLoad = 0.3;

std::optional<Error> setAllFaults(EventLoop &loop, const BenchOptions &options,
                                  const std::string &faults)
{
    for (const BenchDatabase &database : options.databases) {
        if (auto error = setFaults(loop, database, faults))
            return error;
    }
    return std::nullopt;
}

void replicaReadsOf(Report &report, const BenchOptions &options, const BenchSide &side,
                    EventLoop &loop)
{
    const LoadWorkload workload = ownKeyWorkload(options.workload, writesOfReplicaReads, 2ms);
    ArrivalOptions arrivals = arrivalOptions(options, side, options.length);
    arrivals.sessions = checkedSessions;
    arrivals.keySpace = side.policy + '-';
    arrivals.roaming = 0.5;
    arrivals.steps = {{0s, replicaReadsLoad * options.scale * slotCapacity(workload)}};
    LoadRecorder recorder(workload, slice);
    const auto sender = senderOf(loop, options, side);
    LoadRunner runner(loop, workload, planArrivals(workload, arrivals), *sender, {&recorder},
                      options.runId + side.policy);
    const LoadEnd ended = runner.run(drainLimit);
    addRun(report, workload, recorder, "lag 100 ms", side.policy);
    const ClassRecord &reads = recorder.classes().front();
    const double share = reads.done == 0 ? 0
                                         : static_cast<double>(reads.doneByReplica)
                                                   / static_cast<double>(reads.done);
    report.targets.push_back({.name = "reads served by replicas",
                              .bound = 0.95,
                              .value = share,
                              .unit = "share",
                              .policy = side.policy,
                              .atMost = false});
    addSessionTargets(report, side.policy, ended);
}

constexpr Duration cutAt = 2s;
constexpr Duration thawAfter = 6s;
constexpr double failoverLoad = 0.1;

struct FailoverRun
{
    Duration writeGap{0};
    std::uint64_t unknown = 0;
};

Result<FailoverRun> failoverOnce(Report &report, const BenchOptions &options, const BenchSide &side,
                                 EventLoop &loop, std::uint32_t number)
{
    const std::string run = "cut " + std::to_string(number);
    const LoadWorkload workload = ownKeyWorkload(options.workload, 0.5, 2ms);
    const GroupId group = workload.groups.front();
    BOOST_OUTCOME_TRY(const BenchPrimary primary, primaryOf(loop, options, group));
    const Duration length = cutAt + thawAfter + 2s;
    ArrivalOptions arrivals = arrivalOptions(options, side, length);
    arrivals.sessions = checkedSessions;
    arrivals.keySpace = side.policy + '-' + std::to_string(number) + '-';
    arrivals.steps = {{0s, failoverLoad * options.scale * slotCapacity(workload)}};
    LoadRecorder recorder(workload, slice);
    const auto sender = senderOf(loop, options, side);
    LoadRunner runner(loop, workload, planArrivals(workload, arrivals), *sender, {&recorder},
                      options.runId + side.policy + run);
    HttpClient control(loop, {.endpoint = primary.database.control});
    const auto post = [&control](const char *faults) {
        control.send({.method = "POST", .target = "/control/faults", .body = faults},
                     std::chrono::milliseconds(1000), [](const Result<HttpResponse> &) {});
    };
    loop.after(cutAt, [&post] { post(R"({"frozen":true})"); });
    loop.after(cutAt + thawAfter, [&post] { post(R"({"frozen":false})"); });
    const LoadEnd ended = runner.run(drainLimit);
    addRun(report, workload, recorder, run, side.policy);
    addSessionTargets(report, side.policy, ended);
    std::uint64_t unknown = 0;
    for (const ClassRecord &record : recorder.classes()) {
        for (const auto &[reason, count] : record.unknown)
            unknown += count;
    }
    return FailoverRun{longestGap(recorder.writesDone(group), cutAt, length), unknown};
}

Result<Report> failoverOf(Report report, const BenchOptions &options, const BenchSide &side)
{
    std::vector<Duration> gaps;
    double unknown = 0;
    EventLoop loop;
    for (std::uint32_t i = 0; i < options.repeat; ++i) {
        BOOST_OUTCOME_TRY(const FailoverRun run, failoverOnce(report, options, side, loop, i));
        gaps.push_back(run.writeGap);
        unknown += static_cast<double>(run.unknown);
    }
    report.figures.push_back(
            {"median gap in writes", toMs(percentileOf(gaps, 0.5)), "ms", side.policy});
    report.figures.push_back({"unknown answers", unknown, "", side.policy});
    report.targets.push_back({.name = "longest gap in writes after the cut",
                              .bound = 3000,
                              .value = toMs(percentileOf(gaps, 1)),
                              .unit = "ms",
                              .policy = side.policy});
    return report;
}

} // namespace

Result<Report> runCrest(const BenchOptions &options)
{
    Report report = emptyReport(options);
    for (const BenchSide &side : options.sides)
        crestOf(report, options, side);
    return report;
}

Result<Report> runHeadOfLine(const BenchOptions &options)
{
    Report report = emptyReport(options);
    for (const BenchSide &side : options.sides)
        headOfLineOf(report, options, side);
    return report;
}

Result<Report> runReplicaReads(const BenchOptions &options)
{
    Report report = emptyReport(options);
    EventLoop loop;
    if (auto error = setAllFaults(loop, options, R"({"applyLagMs":100})"))
        return std::move(*error);
    for (const BenchSide &side : options.sides)
        replicaReadsOf(report, options, side, loop);
    if (auto error = setAllFaults(loop, options, R"({"applyLagMs":0})"))
        return std::move(*error);
    return report;
}

Result<Report> runFailover(const BenchOptions &options)
{
    Report report = emptyReport(options);
    for (const BenchSide &side : options.sides) {
        BOOST_OUTCOME_TRY(Report next, failoverOf(std::move(report), options, side));
        report = std::move(next);
    }
    return report;
}

const std::vector<Experiment> &experiments()
{
    static const std::vector<Experiment> all{
            {"added-latency", "one caller, straight to a database and through a VM",
             runAddedLatency},
            {"throughput", "64 callers, straight to a database and through a VM", runThroughput},
            {"crest", "three times what the slots carry, after idle", runCrest},
            {"head-of-line", "short work with and without long jobs", runHeadOfLine},
            {"replica-reads", "roaming sessions that check their reads, replicas lagging",
             runReplicaReads},
            {"failover", "the first group's primary stops answering", runFailover}};
    return all;
}

} // namespace fescuespring
