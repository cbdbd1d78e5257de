#include "sliceowner/sliceowner.h"

#include "groupprober.h"
#include "primarykeeper.h"
#include "requestrunner.h"

#include <algorithm>

namespace fescuespring {

namespace {

// Interval at which queues, connections and the evidence of a loss are checked.
constexpr Duration tickInterval = std::chrono::milliseconds(10);

// Minimum delay of the timer.
constexpr Duration minimumTimerDelay = std::chrono::microseconds(200);

} // namespace

struct SliceOwner::Data
{
    Data(EventLoop &eventLoop, Counters &processCounters, SliceOwnerOptions sliceOptions,
         SliceHooks sliceHooks)
        : loop(eventLoop)
        , options(std::move(sliceOptions))
        , hooks(std::move(sliceHooks))
        , view(options.group)
        , prober(view, hooks.databasePorts, options.probeTimeout,
                 {.statusReceived =
                          [this](const DatabaseStatus &status, Instant requestedAt) {
                              statusReceived(status, requestedAt);
                          },
                  .callFailed =
                          [this] {
                              runner.viewChanged();
                          }})
        , runner(loop, processCounters, options, hooks, view, prober)
        , keeper(options, hooks, view, prober,
                 {.holdWrites = [this](bool hold) { runner.holdWrites(hold); },
                  .hasWritesInFlight =
                          [this] {
                              return runner.hasWritesInFlight();
                          }})
    {
        runner.onWriteNotReplicated([this] { keeper.recordUnreplicatedWrite(EventLoop::now()); });
    }

    ~Data()
    {
        loop.cancel(timer);
    }

    void statusReceived(const DatabaseStatus &status, Instant requestedAt)
    {
        keeper.statusReceived(status, requestedAt, EventLoop::now());
        runner.viewChanged();
        armTimer();
    }

    void onTimer()
    {
        timer = 0;
        const Instant now = EventLoop::now();
        if (now >= nextProbe) {
            nextProbe = now + options.probeInterval;
            prober.probeAll();
        }
        keeper.advance(now);
        runner.advance(now);
        if (drained && runner.isDrained())
            loop.post(std::exchange(drained, nullptr));
        armTimer();
    }

    // Sets the timer to the earliest due time.
    void armTimer()
    {
        const Instant now = EventLoop::now();
        Instant next = std::min(now + tickInterval, std::max(nextProbe, now));
        if (const auto due = keeper.nextTimer())
            next = std::min(next, *due);
        if (const auto due = runner.nextEvent())
            next = std::min(next, *due);
        if (timer != 0 && timerAt <= next)
            return;
        loop.cancel(timer);
        timerAt = next;
        timer = loop.after(std::max(next - now, minimumTimerDelay), [this] { onTimer(); });
    }

    DatabaseLine databaseLine(const DatabaseView &database, LogPosition primaryPosition) const
    {
        DatabaseLine line{.database = database.site.database,
                          .dataCentre = database.site.dataCentre,
                          .reachable = database.reachable};
        if (database.status) {
            line.role = database.status->role;
            line.term = database.status->term;
            line.applied = database.status->applied.position;
            line.age = database.status->age;
            if (primaryPosition > line.applied)
                line.lag = primaryPosition.value() - line.applied.value();
        }
        if (const DatabaseExecutor *executor = runner.executor(line.database)) {
            line.connections = executor->pool().total();
            line.waiting = executor->scheduler().load().queued;
            line.running = executor->scheduler().load().running;
        }
        return line;
    }

    EventLoop &loop;
    SliceOwnerOptions options;
    SliceHooks hooks;
    GroupView view;
    GroupProber prober;
    RequestRunner runner;
    PrimaryKeeper keeper;
    std::vector<SliceDatabase> databases;
    Instant nextProbe;
    EventLoop::TimerId timer = 0;
    Instant timerAt;
    std::function<void()> drained;
};

SliceOwner::SliceOwner(EventLoop &loop, Counters &counters, SliceOwnerOptions options,
                       SliceHooks hooks)
    : m_data(std::make_unique<Data>(loop, counters, std::move(options), std::move(hooks)))
{
    m_data->armTimer();
}

SliceOwner::~SliceOwner() = default;

void SliceOwner::setDatabases(const std::vector<SliceDatabase> &databases)
{
    std::vector<DatabaseSite> sites;
    sites.reserve(databases.size());
    for (const SliceDatabase &database : databases)
        sites.push_back(database.site);
    m_data->view.setSites(sites);
    m_data->prober.updatePorts();
    m_data->runner.setDatabases(databases);
    m_data->prober.probeAll();
}

void SliceOwner::setLists(std::shared_ptr<const PlanLists> lists)
{
    m_data->runner.setLists(std::move(lists));
}

void SliceOwner::setMayPromote(bool mayPromote)
{
    m_data->keeper.setMayPromote(mayPromote);
}

void SliceOwner::submit(OwnerRequest request)
{
    m_data->runner.submit(std::move(request));
    m_data->armTimer();
}

void SliceOwner::drain(std::function<void()> done)
{
    m_data->drained = std::move(done);
    m_data->keeper.setMayPromote(false);
    m_data->runner.startDraining();
    m_data->armTimer();
}

std::size_t SliceOwner::inFlight() const
{
    return m_data->runner.inFlight();
}

GroupStatus SliceOwner::status() const
{
    GroupStatus status{.group = m_data->options.group, .owner = m_data->options.vm};
    LogPosition primaryPosition;
    if (const auto primary = m_data->view.primary()) {
        status.primary = primary->database;
        status.term = primary->term;
        const DatabaseView *database = m_data->view.find(primary->database);
        primaryPosition = database->status->applied.position;
    }
    for (const DatabaseView &database : m_data->view.databases())
        status.databases.push_back(m_data->databaseLine(database, primaryPosition));
    return status;
}

RouteAnswer SliceOwner::explain(const RouteQuery &question) const
{
    return m_data->runner.explain(question);
}

} // namespace fescuespring
