#pragma once

#include "base/counters.h"
#include "confirmation/confirmer.h"
#include "databaseexecutor.h"
#include "groupprober.h"
#include "requestrun.h"
#include "routing/readrouter.h"
#include "sliceowner/sliceowner.h"

#include <array>
#include <map>
#include <memory>
#include <unordered_map>

namespace fescuespring {

// Processes the requests of one slice: routes, queues, runs, confirms and answers them. Loop thread
// only.
class RequestRunner
{
public:
    RequestRunner(EventLoop &loop, Counters &counters, const SliceOwnerOptions &options,
                  const SliceHooks &hooks, GroupView &view, GroupProber &prober);
    ~RequestRunner();

    void setDatabases(const std::vector<SliceDatabase> &databases);
    void setLists(std::shared_ptr<const PlanLists> lists);

    void submit(OwnerRequest request);

    RouteAnswer explain(const RouteQuery &question) const;

    // Must be called when the view has changed: confirms answers and routes parked requests again.
    void viewChanged();

    // Must be called about every 10 ms, and at nextEvent().
    void advance(Instant now);
    std::optional<Instant> nextEvent() const;

    // Sets a hook that is called for each write that ended without the second copy it requires.
    void onWriteNotReplicated(std::function<void()> hook)
    {
        m_writeNotReplicated = std::move(hook);
    }

    void holdWrites(bool hold);
    bool hasWritesInFlight() const
    {
        return m_writesInFlight > 0;
    }

    void startDraining();
    bool isDrained() const;
    std::size_t inFlight() const
    {
        return m_runs.size();
    }
    const DatabaseExecutor *executor(const DatabaseId &database) const;

private:
    struct RunCounters
    {
        std::array<Counter *, reasonCount> refused{};
        std::array<Counter *, reasonCount> unknown{};
        std::array<Counter *, reasonCount> retried{};
        Counter *readsByReplica = nullptr;
        Counter *readsByPrimary = nullptr;
        Counter *writesDone = nullptr;
        Counter *confirmationRounds = nullptr;
    };

    std::optional<Refusal> admit(RequestRun &run);
    void route(RunId id);
    void updateLoads(WorkLength length);
    void routeRead(RequestRun &run);
    void routeWrite(RequestRun &run);
    void send(RequestRun &run, const DatabaseId &database, Term term);
    void forward(RequestRun &run, const DataCentreId &dataCentre);
    void forwardAnswered(OwnerRequest original, CallerAnswer reply);
    void enqueue(RequestRun &run, DatabaseExecutor &executor);
    void dropped(RequestRun &run, const Refusal &refusal);
    void park(RequestRun &run, Instant until, Reason reason);
    void start(RunId id, std::unique_ptr<ConnectionLease> lease);
    void sendNext(RequestRun &run);
    void callAnswered(RunId id, const Result<StatementAnswer> &answer);
    void recordAnswer(const RequestRun &run);
    void apply(RequestRun &run, const RequestVerdict &verdict);
    void awaitConfirmation(RequestRun &run);
    void advanceConfirmations(Instant now);
    void confirmed(const ConfirmationResult &result);
    void retry(RequestRun &run, Reason reason);
    void finish(RequestRun &run, const RequestVerdict &verdict);
    void finishDone(RequestRun &run);
    void refuse(RequestRun &run, const Refusal &refusal);
    std::unique_ptr<DatabaseExecutor> makeExecutor(const SliceDatabase &database);
    void answer(RequestRun &run, CallerAnswer reply);
    void releaseLease(RequestRun &run, bool dirty);
    RouteAnswer explainRead(const RouteQuery &question) const;
    RouteAnswer explainWrite() const;
    std::string explainDatabase(const DatabaseView &database, LogPoint point) const;
    void abandonStalled();
    bool isStalled(const RequestRun &run) const;
    void withdrawMisrouted();
    bool isMisrouted(const RequestRun &run) const;
    void wakeParked(Instant now, bool statusArrived);
    RequestTraits traits(const RequestRun &run) const;
    std::chrono::milliseconds timeLeft(const RequestRun &run) const;

    EventLoop &m_loop;
    Counters &m_counters;
    SliceOwnerOptions m_options;
    const SliceHooks &m_hooks;
    GroupView &m_view;
    GroupProber &m_prober;
    ReadRouter m_router;
    Confirmer m_confirmer;
    RunCounters m_count;
    std::shared_ptr<const PlanLists> m_lists = std::make_shared<const PlanLists>();
    std::map<DatabaseId, std::unique_ptr<DatabaseExecutor>> m_executors;

    // Executors of databases that are no longer in the slice, until their work has finished.
    std::vector<std::unique_ptr<DatabaseExecutor>> m_retired;
    std::unordered_map<RunId, std::unique_ptr<RequestRun>> m_runs;
    RunId m_lastRun = 0;
    std::size_t m_parked = 0;

    // No parked request is due before this time.
    Instant m_nextParked = Instant::max();
    std::size_t m_writesInFlight = 0;
    std::function<void()> m_writeNotReplicated;
    bool m_holdWrites = false;
    bool m_draining = false;

    // Expires with this object; answers of forwarded requests hold it weakly.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fescuespring
