#include "proxy/vm.h"

#include "controlthread.h"
#include "keys/keyring.h"
#include "operatorpages.h"
#include "trafficthread.h"

#include <atomic>
#include <random>

namespace fescuespring {

namespace {

// Time for other VMs to receive the leave announcement, and for requests already sent to arrive.
constexpr Duration announceTime = std::chrono::milliseconds(500);
constexpr std::chrono::milliseconds portGrace{500};

// Time to send the last datagrams of a planned stop.
constexpr Duration leaveTime = std::chrono::milliseconds(100);

Result<KeyRing> keyRing(const DaemonSettings &settings)
{
    std::vector<Key> keys;
    for (const TokenKey &key : settings.tokenKeys)
        keys.push_back({.id = key.id, .secret = key.secret});
    return KeyRing::create(std::move(keys));
}

} // namespace

struct Vm::Data
{
    Data(const DaemonSettings &daemonSettings, Log &vmLog, Counters &vmCounters, KeyRing keyRing)
        : settings(daemonSettings)
        , log(vmLog)
        , counters(vmCounters)
        , keys(std::move(keyRing))
    {}

    TrafficHooks trafficHooks();
    std::size_t threadOf(const GroupId &group) const
    {
        return std::hash<GroupId>()(group) % threads.size();
    }
    void handleControl(const HttpRequest &request, const HttpResponder &respond);
    void beginStop();
    void drainSlices();
    void drainPorts();
    void finishStop();

    DaemonSettings settings;
    Log &log;
    Counters &counters;
    KeyRing keys;
    SharedState state;
    EventLoop loop;
    std::unique_ptr<ControlThread> control;
    std::vector<std::unique_ptr<TrafficThread>> threads;
    std::unique_ptr<OperatorPages> pages;
    std::atomic<std::size_t> otherVms = 0;
    std::size_t drainingThreads = 0;
    bool stopping = false;
    bool stoppedInTime = true;
};

TrafficHooks Vm::Data::trafficHooks()
{
    TrafficHooks hooks;
    hooks.threadOf = [this](const GroupId &group) {
        return threads[threadOf(group)].get();
    };
    hooks.vantagePoints = [this] {
        return std::min<std::size_t>(otherVms + 1, 3);
    };
    hooks.submitToLocalSlice = [this](OwnerRequest request) {
        TrafficThread &thread = *threads[threadOf(request.request.group)];
        thread.submit(std::move(request));
    };
    hooks.controlRequest = [this](const HttpRequest &request, HttpResponder respond) {
        loop.post(
                [this, request, respond = std::move(respond)] { handleControl(request, respond); });
    };
    hooks.readRecord = [this](const GroupId &group, SliceHooks::RecordRead done) {
        loop.post([this, group, done = std::move(done)] { control->readRecord(group, done); });
    };
    hooks.writeRecord = [this](const GroupId &group, const GroupRecord &record,
                               ObjectVersion ifVersion, SliceHooks::RecordWritten done) {
        loop.post([this, group, record, ifVersion, done = std::move(done)] {
            control->writeRecord(group, record, ifVersion, done);
        });
    };
    hooks.requestPeerReports = [this](const GroupId &group, const DatabaseId &primary,
                                      std::function<void(const PeerReport &)> report) {
        loop.post([this, group, primary, report = std::move(report)] {
            control->requestPeerReports(group, primary, report);
        });
    };
    return hooks;
}

void Vm::Data::handleControl(const HttpRequest &request, const HttpResponder &respond)
{
    const std::string path = targetPath(request.target);
    if (path == "/peer/v1/rpc") {
        respond({.body = control->handleRpc(request.body)});
        return;
    }
    if (path == "/v1/drain" && request.method == "POST") {
        respond({.body = R"({"draining":true})"});
        // A repeated request, for example after a lost response, must not cut the stop short.
        if (!stopping)
            beginStop();
        return;
    }
    if (path == "/v1/status") {
        pages->status(respond);
        return;
    }
    if (path == "/v1/route") {
        pages->route(request, respond);
        return;
    }
    respond({.status = 404, .body = R"({"error":"no such page"})"});
}

// A planned stop: announce it so that no new work arrives, drain the slices, drain the ports, leave
// the membership.
void Vm::Data::beginStop()
{
    if (stopping) {
        stoppedInTime = false;
        loop.stop();
        return;
    }
    stopping = true;
    log.info("stopping", {{"vm", settings.vm}});
    control->announceLeaving();
    loop.after(settings.stopDeadline, [this] {
        stoppedInTime = false;
        log.warning("stop-deadline-passed", {{"vm", settings.vm}});
        loop.stop();
    });
    loop.after(announceTime, [this] { drainSlices(); });
}

void Vm::Data::drainSlices()
{
    drainingThreads = threads.size();
    for (const auto &thread : threads) {
        thread->drainSlices([this] {
            loop.post([this] {
                if (--drainingThreads == 0)
                    drainPorts();
            });
        });
    }
}

void Vm::Data::drainPorts()
{
    drainingThreads = threads.size();
    for (const auto &thread : threads) {
        thread->drainPorts(portGrace, [this] {
            loop.post([this] {
                if (--drainingThreads == 0)
                    finishStop();
            });
        });
    }
}

void Vm::Data::finishStop()
{
    control->leave();
    loop.after(leaveTime, [this] {
        log.info("stopped", {{"vm", settings.vm}});
        loop.stop();
    });
}

Vm::Vm(std::unique_ptr<Data> data)
    : m_data(std::move(data))
{}

Vm::~Vm()
{
    for (const auto &thread : m_data->threads)
        thread->stopAndJoin();
}

Result<std::unique_ptr<Vm>> Vm::start(const DaemonSettings &settings, Log &log, Counters &counters)
{
    BOOST_OUTCOME_TRY(KeyRing keys, keyRing(settings));
    auto data = std::make_unique<Data>(settings, log, counters, std::move(keys));
    Data *raw = data.get();
    std::random_device device;
    for (std::uint32_t i = 0; i < settings.trafficThreads; ++i) {
        data->threads.push_back(std::make_unique<TrafficThread>(
                data->settings, data->state, counters, log, data->keys.tokenSigner(),
                data->trafficHooks(), device()));
        BOOST_OUTCOME_TRY(data->threads.back()->listen());
    }
    data->control = std::make_unique<ControlThread>(
            data->loop, data->settings, data->state, log, counters, device(),
            ControlThread::Hooks{.changed =
                                         [raw] {
                                             if (raw->control)
                                                 raw->otherVms = raw->control->otherVms();
                                             for (const auto &thread : raw->threads)
                                                 thread->refresh();
                                         },
                                 .leaveRequested =
                                         [raw] {
                                             raw->beginStop();
                                         }});
    data->pages = std::make_unique<OperatorPages>(data->loop, data->threads, data->settings,
                                                  data->state, *data->control);
    BOOST_OUTCOME_TRY(data->control->start());
    for (const auto &thread : data->threads)
        thread->start();
    log.info("started", {{"vm", settings.vm},
                         {"dataCentre", settings.dataCentre},
                         {"callers", settings.callerEndpoint},
                         {"peers", settings.peerEndpoint}});
    return std::unique_ptr<Vm>(new Vm(std::move(data)));
}

bool Vm::run()
{
    m_data->loop.onStopSignal([this] { m_data->beginStop(); });
    m_data->loop.run();
    for (const auto &thread : m_data->threads)
        thread->stopAndJoin();
    return m_data->stoppedInTime;
}

void Vm::stop()
{
    m_data->loop.post([this] { m_data->beginStop(); });
}

} // namespace fescuespring
