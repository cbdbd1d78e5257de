#include "trafficthread.h"

#include "codec/requestcodec.h"
#include "databaseport/httpdatabaseport.h"
#include "placement/placement.h"

#include <algorithm>

namespace fescuespring {

namespace {

// A slice that this VM no longer owns is released after this long without requests.
constexpr Duration releaseDelay = std::chrono::seconds(1);
constexpr Duration releaseInterval = std::chrono::milliseconds(200);
constexpr std::chrono::milliseconds notReadyRetryAfter{500};

// Peers are few and trusted, so they may open as many connections as they need.
constexpr std::size_t maximumPeerConnections = 100000;

HttpResponse jsonResponse(std::string body, int status = 200)
{
    return {.status = status, .body = std::move(body)};
}

CallerAnswer notRun(const RequestId &id, const Refusal &refusal)
{
    return {.requestId = id,
            .outcome = Outcome::NotRun,
            .reason = refusal.reason,
            .retryAfter = refusal.retryAfter};
}

// SplitMix64. Fast, but not suitable for secrets.
std::uint64_t nextRandom(std::uint64_t &state)
{
    state += 0x9e3779b97f4a7c15U;
    std::uint64_t z = state;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
    return z ^ (z >> 31U);
}

double nextFraction(std::uint64_t &state)
{
    constexpr double steps = 9007199254740992.0;
    return static_cast<double>(nextRandom(state) >> 11U) / steps;
}

} // namespace

TrafficThread::TrafficThread(const DaemonSettings &settings, SharedState &state, Counters &counters,
                             Log &log, TokenSigner tokenSigner, TrafficHooks hooks,
                             std::uint64_t randomSeed)
    : m_settings(settings)
    , m_state(state)
    , m_counters(counters)
    , m_log(log)
    , m_tokenSigner(std::move(tokenSigner))
    , m_hooks(std::move(hooks))
    , m_random(randomSeed)
    , m_router(m_loop, counters, settings.vm, settings.dataCentre, settings.peerEndpoint.ip,
               {.submitToLocalSlice =
                        [this](OwnerRequest request) { submitToLocalSlice(std::move(request)); },
                .random =
                        [this] {
                            return nextFraction(m_random);
                        }})
    , m_requests(counters.counter("fescuespring_requests_total"))
    , m_malformed(counters.counter("fescuespring_malformed_total"))
    , m_refusedAtEntry(counters.counter("fescuespring_refused_at_entry_total"))
{}

TrafficThread::~TrafficThread()
{
    stopAndJoin();
}

HttpServerOptions TrafficThread::serverOptions(const Endpoint &endpoint, const char *port)
{
    HttpServerOptions options{.endpoint = endpoint, .sharedPort = true};
    options.maxBodyBytes = m_settings.limits.maxBodyBytes;
    options.readTimeout = m_settings.limits.readTimeout;
    options.onEvent = [this, port](HttpServerEvent event) {
        m_counters
                .counter(std::string("fescuespring_") + port + "_port_total", "event",
                         toString(event))
                .add();
    };
    return options;
}

Result<void> TrafficThread::listen()
{
    HttpServerOptions callers = serverOptions(m_settings.callerEndpoint, "caller");
    callers.maxConnections = m_settings.limits.maxCallerConnections / m_settings.trafficThreads + 1;
    callers.idleTimeout = m_settings.limits.idleTimeout;
    callers.handler = [this](HttpConnectionId, const HttpRequest &request, HttpResponder respond) {
        handleCaller(request, std::move(respond));
    };
    BOOST_OUTCOME_TRY(m_callers, HttpServer::listen(m_loop, std::move(callers)));

    HttpServerOptions peers = serverOptions(m_settings.peerEndpoint, "peer");
    peers.maxConnections = maximumPeerConnections;
    peers.maxBodyBytes = std::size_t{4} * m_settings.limits.maxBodyBytes;
    peers.handler = [this](HttpConnectionId, const HttpRequest &request, HttpResponder respond) {
        handlePeer(request, std::move(respond));
    };
    BOOST_OUTCOME_TRY(m_peers, HttpServer::listen(m_loop, std::move(peers)));
    return boost::outcome_v2::success();
}

void TrafficThread::start()
{
    m_loop.after(releaseInterval, [this] { releaseIdleSlices(); });
    m_thread = std::thread([this] { m_loop.run(); });
}

void TrafficThread::stopAndJoin()
{
    if (!m_thread.joinable())
        return;
    m_loop.stop();
    m_thread.join();
}

void TrafficThread::handleCaller(const HttpRequest &request, HttpResponder respond)
{
    const std::string path = targetPath(request.target);
    if (path == "/v1/request" && request.method == "POST")
        handleRequest(request, respond);
    else if (path == "/v1/counters")
        respond({.body = m_counters.text(), .contentType = "text/plain; version=0.0.4"});
    else
        m_hooks.controlRequest(request, std::move(respond));
}

void TrafficThread::handleRequest(const HttpRequest &request, const HttpResponder &respond)
{
    m_requests.add();
    Result<CallerRequest> decoded = decodeCallerRequest(request.body);
    if (!decoded) {
        m_malformed.add();
        CallerAnswer answer = notRun({}, {Reason::Malformed});
        answer.results = {describe(decoded.error())};
        respond(jsonResponse(encodeCallerAnswer(answer), 400));
        return;
    }
    OwnerRequest owned{.request = std::move(decoded.value()), .receivedAt = EventLoop::now()};
    if (const std::optional<Refusal> refusal = checkAdmission(owned.request)) {
        m_refusedAtEntry.add();
        respond(jsonResponse(encodeCallerAnswer(notRun(owned.request.id, *refusal))));
        return;
    }
    owned.request.deadline = std::min(owned.request.deadline, m_settings.limits.maxDeadline);
    owned.answer = [respond](const CallerAnswer &answer) {
        respond(jsonResponse(encodeCallerAnswer(answer)));
    };
    m_router.routeLocally(std::move(owned));
}

std::optional<Refusal> TrafficThread::checkAdmission(const CallerRequest &request)
{
    if (m_lists->plans.empty())
        return Refusal{Reason::NoOwner, notReadyRetryAfter};
    if (!m_lists->customers.contains(request.customer))
        return Refusal{Reason::UnknownCustomer};
    if (!m_directory->groups.contains(request.group))
        return Refusal{Reason::UnknownGroup};
    return std::nullopt;
}

void TrafficThread::handlePeer(const HttpRequest &request, HttpResponder respond)
{
    if (request.target == "/peer/v1/forward")
        handleForward(request, respond);
    else
        m_hooks.controlRequest(request, std::move(respond));
}

void TrafficThread::handleForward(const HttpRequest &request, const HttpResponder &respond)
{
    Result<ForwardedRequest> decoded = decodeForwardedRequest(request.body);
    if (!decoded) {
        m_malformed.add();
        respond(jsonResponse(encodeCallerAnswer(notRun({}, {Reason::Malformed})), 400));
        return;
    }
    ForwardedRequest &forwarded = decoded.value();
    submitToLocalSlice({.request = std::move(forwarded.request),
                        .hop = forwarded.hop,
                        .receivedAt = EventLoop::now(),
                        .answer = [respond](const CallerAnswer &answer) {
                            respond(jsonResponse(encodeCallerAnswer(answer)));
                        }});
}

void TrafficThread::submitToLocalSlice(OwnerRequest request)
{
    if (isOnThisThread(request.request.group)) {
        submit(std::move(request));
        return;
    }
    // The answer must be delivered on the loop that received the request.
    request.answer = [this, answer = std::move(request.answer)](CallerAnswer reply) {
        m_loop.post([answer, reply = std::move(reply)]() mutable { answer(std::move(reply)); });
    };
    m_hooks.submitToLocalSlice(std::move(request));
}

bool TrafficThread::isOnThisThread(const GroupId &group) const
{
    return m_hooks.threadOf(group) == this;
}

void TrafficThread::submit(OwnerRequest request)
{
    if (!m_loop.isLoopThread()) {
        m_loop.post([this, request = std::move(request)]() mutable { submit(std::move(request)); });
        return;
    }
    const GroupId group = request.request.group;
    if (m_draining) {
        request.answer(notRun(request.request.id, {Reason::Draining, notReadyRetryAfter}));
        return;
    }
    if (!m_directory->groups.contains(group) || m_lists->plans.empty()) {
        request.answer(notRun(request.request.id, {Reason::NoOwner, notReadyRetryAfter}));
        return;
    }
    Slice &target = slice(group);
    target.lastRequest = EventLoop::now();
    target.owner->submit(std::move(request));
}

TrafficThread::Slice &TrafficThread::slice(const GroupId &group)
{
    const auto found = m_slices.find(group);
    if (found != m_slices.end())
        return found->second;

    const std::vector<SliceDatabase> &databases = m_directory->groups.at(group);
    Slice &created = m_slices[group];
    created.isOwned = isOwnedLocally(group);
    created.lastRequest = EventLoop::now();
    created.owner = std::make_unique<SliceOwner>(
            m_loop, m_counters,
            SliceOwnerOptions{.vm = m_settings.vm,
                              .dataCentre = m_settings.dataCentre,
                              .group = group,
                              .probeInterval = m_settings.timings.databaseProbeInterval,
                              .vantagePoints = m_hooks.vantagePoints(),
                              .mayPromote = created.isOwned && m_directory->mayAct},
            sliceHooks(group));
    created.owner->setLists(m_lists);
    created.owner->setDatabases(databases);
    m_log.info("slice-taken", {{"group", group}, {"owner", created.isOwned}});
    return created;
}

SliceHooks TrafficThread::sliceHooks(const GroupId &group)
{
    SliceHooks hooks{.databasePorts = httpDatabasePorts(m_loop, m_settings.peerEndpoint.ip),
                     .tokenSigner = m_tokenSigner};
    hooks.forward = [this](const DataCentreId &dataCentre, OwnerRequest request) {
        request.hop = std::max(request.hop, 1U);
        request.receivedAt = EventLoop::now();
        m_router.routeTo(dataCentre, std::move(request));
    };
    hooks.readRecord = [this, group](SliceHooks::RecordRead done) {
        m_hooks.readRecord(group, [this, done = std::move(done)](const auto &record) {
            m_loop.post([done, record] { done(record); });
        });
    };
    hooks.writeRecord = [this, group](const GroupRecord &record, ObjectVersion ifVersion,
                                      SliceHooks::RecordWritten done) {
        m_hooks.writeRecord(group, record, ifVersion,
                            [this, done = std::move(done)](const auto &version) {
                                m_loop.post([done, version] { done(version); });
                            });
    };
    hooks.requestPeerReports = [this, group](const DatabaseId &primary,
                                             std::function<void(const PeerReport &)> report) {
        m_hooks.requestPeerReports(
                group, primary, [this, report = std::move(report)](const PeerReport &peerReport) {
                    m_loop.post([report, peerReport] { report(peerReport); });
                });
    };
    hooks.promotionEnded = [this](const GroupId &ended, const PromotionReport &report) {
        m_counters.counter("fescuespring_promotions_total", "end", toString(report.end)).add();
        m_log.info("promotion-ended",
                   {{"group", ended},
                    {"kind", report.kind == PromotionKind::Planned ? "planned" : "unplanned"},
                    {"end", toString(report.end)},
                    {"term", report.term},
                    {"primary", report.primary},
                    {"unaided", report.unaided},
                    {"detectMs", report.detect},
                    {"decideMs", report.decide},
                    {"storeMs", report.store},
                    {"drainMs", report.drain},
                    {"fenceMs", report.fence},
                    {"promoteMs", report.promote}});
    };
    hooks.primaryChanged = [this](const GroupId &changed, const PrimaryView &primary) {
        m_log.info("primary-changed",
                   {{"group", changed}, {"database", primary.database}, {"term", primary.term}});
    };
    hooks.random = [this] {
        return nextRandom(m_random);
    };
    return hooks;
}

void TrafficThread::refresh()
{
    m_loop.post([this] { refreshOnLoop(); });
}

void TrafficThread::refreshOnLoop()
{
    const std::shared_ptr<const PlanLists> lists = m_state.board.lists.snapshot();
    if (lists != m_lists) {
        m_lists = lists;
        for (auto &[group, slice] : m_slices)
            slice.owner->setLists(m_lists);
    }
    m_directory = m_state.directory.snapshot();
    m_router.setDirectory(m_directory);
    refreshSlices();
}

void TrafficThread::refreshSlices()
{
    if (m_draining)
        return;
    for (const auto &[group, databases] : m_directory->groups) {
        if (!isOnThisThread(group))
            continue;
        const bool isOwned = isOwnedLocally(group);
        if (!isOwned && !m_slices.contains(group))
            continue;
        Slice &target = slice(group);
        target.isOwned = isOwned;
        target.owner->setDatabases(databases);
        target.owner->setMayPromote(isOwned && m_directory->mayAct);
    }
}

bool TrafficThread::isOwnedLocally(const GroupId &group) const
{
    const auto vms = m_directory->vms.find(m_settings.dataCentre);
    if (vms == m_directory->vms.end())
        return false;
    std::vector<VmId> names;
    for (const PeerVm &vm : vms->second)
        names.push_back(vm.vm);
    const Placement placement(names);
    const VmId *owner = placement.sliceOwner(group, m_settings.dataCentre);
    return owner != nullptr && *owner == m_settings.vm;
}

// Releases slices that another VM owns, once requests no longer arrive here.
void TrafficThread::releaseIdleSlices()
{
    const Instant now = EventLoop::now();
    for (auto slice = m_slices.begin(); slice != m_slices.end();) {
        const bool isIdle = slice->second.owner->inFlight() == 0
                            && now - slice->second.lastRequest > releaseDelay;
        if (slice->second.isOwned || !isIdle) {
            ++slice;
            continue;
        }
        m_log.info("slice-released", {{"group", slice->first}});
        slice = m_slices.erase(slice);
    }
    m_loop.after(releaseInterval, [this] { releaseIdleSlices(); });
}

void TrafficThread::drainSlices(std::function<void()> done)
{
    m_loop.post([this, done = std::move(done)] {
        m_draining = true;
        auto remaining = std::make_shared<std::size_t>(m_slices.size());
        if (*remaining == 0) {
            done();
            return;
        }
        for (auto &[group, slice] : m_slices) {
            slice.owner->drain([remaining, done] {
                if (--*remaining == 0)
                    done();
            });
        }
    });
}

void TrafficThread::drainPorts(std::chrono::milliseconds grace, std::function<void()> done)
{
    m_loop.post([this, grace, done = std::move(done)] {
        m_callers->drain(grace, [this, grace, done] { m_peers->drain(grace, done); });
    });
}

void TrafficThread::status(
        std::function<void(const std::vector<GroupStatus> &, std::size_t)> callback)
{
    m_loop.post([this, callback = std::move(callback)] {
        std::vector<GroupStatus> groups;
        for (const auto &[group, slice] : m_slices) {
            if (slice.isOwned)
                groups.push_back(slice.owner->status());
        }
        callback(groups, m_callers->connectionCount());
    });
}

void TrafficThread::explain(const GroupId &group, const RouteQuery &query,
                            std::function<void(const std::optional<RouteAnswer> &)> callback)
{
    m_loop.post([this, group, query, callback = std::move(callback)] {
        const auto found = m_slices.find(group);
        if (found == m_slices.end())
            callback(std::nullopt);
        else
            callback(found->second.owner->explain(query));
    });
}

} // namespace fescuespring
