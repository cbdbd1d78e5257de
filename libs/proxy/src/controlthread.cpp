#include "controlthread.h"

#include "controlcodec/listscodec.h"
#include "controlcodec/vantagecodec.h"

#include "databaseport/httpdatabaseport.h"

#include <algorithm>

namespace fescuespring {

namespace {

constexpr Duration storeTickInterval = std::chrono::milliseconds(10);
constexpr Duration vmsInterval = std::chrono::seconds(1);
constexpr Duration slowVmsInterval = std::chrono::seconds(10);

// In a data centre of at most this many members, each reads the list of VMs every vmsInterval.
constexpr std::size_t smallFleet = 20;
constexpr Duration recordDeadline = std::chrono::seconds(2);
constexpr std::size_t connectionsPerPeer = 4;
constexpr std::size_t peersPerRequest = 2;
constexpr std::chrono::milliseconds vantageTimeout{300};
constexpr const char *pullMethod = "lists.pull";
constexpr const char *vantageMethod = "group.vantage";

std::string recordKey(const GroupId &group)
{
    return "groups/" + group.value();
}

// Differs between restarts. If the clock was set back, the number is lower than that of an earlier
// run. The VM then refutes the gossip about that run.
Incarnation incarnationFromClock()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    return Incarnation(static_cast<std::uint64_t>(count));
}

MembershipOptions membershipOptions(const DaemonSettings &settings, std::uint64_t seed)
{
    return {.self = settings.vm,
            .dataCentre = settings.dataCentre,
            .endpoints = {.heartbeat = settings.membershipEndpoint,
                          .callers = settings.callerEndpoint,
                          .peers = settings.peerEndpoint},
            .seeds = settings.seeds,
            .randomSeed = seed,
            .firstIncarnation = incarnationFromClock()};
}

} // namespace

ControlThread::ControlThread(EventLoop &loop, const DaemonSettings &settings, SharedState &state,
                             Log &log, Counters &counters, std::uint64_t randomSeed, Hooks hooks)
    : m_loop(loop)
    , m_settings(settings)
    , m_state(state)
    , m_log(log)
    , m_hooks(std::move(hooks))
    , m_objectStore(loop, settings.platformEndpoint, settings.peerEndpoint.ip,
                    [&log](std::size_t count) {
                        log.warning("list-entries-unreadable", {{"list", "vms"}, {"count", count}});
                    })
    , m_store(m_objectStore,
              {.callTimeout = settings.timings.platformTimeout,
               .watchWait = settings.timings.platformWatch,
               .randomSeed = randomSeed},
              counters)
    , m_membership(membershipOptions(settings, randomSeed), counters)
    , m_distribution(
              {.self = settings.vm, .dataCentre = settings.dataCentre, .randomSeed = randomSeed},
              distributionHooks(), m_store, counters)
    , m_vantage(loop, httpDatabasePorts(loop, settings.peerEndpoint.ip),
                [this](const VantageRequest &request) { return endpointOf(request); })
{
    addRpcMethods();
}

DistributionHooks ControlThread::distributionHooks()
{
    DistributionHooks hooks;
    hooks.pull = [this](const Endpoint &peer, const ListsRequest &request,
                        std::chrono::milliseconds timeout,
                        const DistributionHooks::PullDone &done) {
        pullLists(peer, request, timeout, done);
    };
    hooks.inForce = [this](const std::shared_ptr<const PlanLists> &lists, const ListsMark &mark) {
        applyLists(lists, mark);
    };
    hooks.status = [this](const ListsStatus &status) {
        if (!status.refused.empty())
            m_log.warning("lists-refused", {{"errors", describe(status.refused)}});
        publishStatus();
    };
    return hooks;
}

void ControlThread::applyLists(const std::shared_ptr<const PlanLists> &lists, const ListsMark &mark)
{
    m_state.board.lists.publish(lists);
    apply(m_membership.setLists(mark, EventLoop::now()));
    m_log.info("lists-in-force", {{"version", mark.version},
                                  {"plans", lists->plans.size()},
                                  {"customers", lists->customers.size()}});
    publishStatus();
    m_hooks.changed();
}

Result<void> ControlThread::start()
{
    BOOST_OUTCOME_TRY(m_socket,
                      UdpSocket::bind(m_loop, m_settings.membershipEndpoint,
                                      [this](const Endpoint &from, std::string_view datagram) {
                                          const auto *bytes =
                                                  reinterpret_cast<const std::uint8_t *>(
                                                          datagram.data());
                                          apply(m_membership.receive(from, {bytes, datagram.size()},
                                                                     EventLoop::now()));
                                      }));
    publishDirectory();
    tickMembership();
    tickStore();
    pollVms();
    return boost::outcome_v2::success();
}

void ControlThread::tickMembership()
{
    apply(m_membership.tick(EventLoop::now()));
    publishDirectory();
    m_loop.after(Membership::tickInterval, [this] { tickMembership(); });
}

void ControlThread::tickStore()
{
    const Instant now = EventLoop::now();
    m_store.tick(now);
    m_distribution.tick(now);
    m_loop.after(storeTickInterval, [this] { tickStore(); });
}

void ControlThread::pollVms()
{
    const Instant now = EventLoop::now();
    m_store.vms(now, now + vmsInterval, [this](const Result<std::vector<PlatformVm>> &vms) {
        if (vms)
            applyVms(vms.value());
    });
    // The watchers of the data centre read the list often, so that most owners soon detect a
    // leaving upstream. Other VMs read it rarely, because the whole fleet shares the store's read
    // budget.
    const bool isFrequent = m_distribution.status().isWatcher || m_membership.size() <= smallFleet;
    m_loop.after(isFrequent ? vmsInterval : slowVmsInterval, [this] { pollVms(); });
}

void ControlThread::apply(const MembershipActions &actions)
{
    if (m_socket) {
        for (const Datagram &datagram : actions.datagrams) {
            const auto *bytes = reinterpret_cast<const char *>(datagram.bytes.data());
            m_socket->send(datagram.to, {bytes, datagram.bytes.size()});
        }
    }
    const Instant now = EventLoop::now();
    if (!actions.changes.empty()) {
        recordMemberChanges(actions);
        m_distribution.setMembers(m_membership.members(), now);
        publishDirectory();
    }
    if (!actions.listsSeen.empty())
        m_distribution.listsSeen(actions.listsSeen, now);
    if (actions.paused)
        m_log.warning("paused", {{"vm", m_settings.vm}});
    if (actions.leaveRequested)
        m_hooks.leaveRequested();
}

void ControlThread::recordMemberChanges(const MembershipActions &actions)
{
    for (const MemberChange &change : actions.changes) {
        m_log.info("member", {{"vm", change.vm}, {"state", toString(change.state)}});
        if (change.state == MemberState::Dead)
            m_deadVms.insert(change.vm);
        else
            m_deadVms.erase(change.vm);
    }
}

void ControlThread::applyVms(const std::vector<PlatformVm> &vms)
{
    m_vms = vms;
    std::vector<ListedVm> listed;
    std::vector<Endpoint> remote;
    for (const PlatformVm &vm : vms) {
        if (!vm.isEntry)
            continue;
        // The membership port has the same number as the peer port.
        if (vm.dataCentre == m_settings.dataCentre)
            listed.push_back({vm.vm, vm.endpoint, vm.leaving});
        else if (!vm.leaving)
            remote.push_back(vm.endpoint);
    }
    m_distribution.setRemotePeers(remote);
    apply(m_membership.platformList(listed, EventLoop::now()));
    publishDirectory();
}

std::vector<SliceDatabase> ControlThread::databasesOf(const GroupSettings &group) const
{
    std::vector<SliceDatabase> databases;
    for (const DatabaseSettings &database : group.databases) {
        databases.push_back({.site = {.database = database.database,
                                      .dataCentre = database.dataCentre,
                                      .endpoint = database.endpoint},
                             .connections = database.connections,
                             .slots = database.slots});
    }
    return databases;
}

// Adds upstreams missing from the settings, and applies changed endpoints and leaving states.
void ControlThread::addListedDatabases(Directory &directory) const
{
    for (const PlatformVm &vm : m_vms) {
        if (vm.isEntry)
            continue;
        std::vector<SliceDatabase> &group = directory.groups[vm.group];
        const auto existing =
                std::find_if(group.begin(), group.end(), [&vm](const SliceDatabase &database) {
                    return database.site.database == vm.database;
                });
        SliceDatabase &database = existing == group.end() ? group.emplace_back() : *existing;
        database.site = {.database = vm.database,
                         .dataCentre = vm.dataCentre,
                         .endpoint = vm.endpoint,
                         .leaving = vm.leaving};
    }
}

void ControlThread::publishDirectory()
{
    Directory directory;
    for (const GroupSettings &group : m_settings.groups)
        directory.groups[group.group] = databasesOf(group);
    addListedDatabases(directory);
    for (const Member &member : m_membership.members()) {
        if (member.state == MemberState::Alive)
            directory.vms[m_settings.dataCentre].push_back({member.vm, member.endpoints.peers});
    }
    for (const PlatformVm &vm : m_vms) {
        if (vm.isEntry && !vm.leaving && vm.dataCentre != m_settings.dataCentre)
            directory.vms[vm.dataCentre].push_back({vm.vm, vm.endpoint});
    }
    directory.deadVms = m_deadVms;
    directory.mayAct = m_membership.mayAct(EventLoop::now());
    if (directory == m_published)
        return;
    m_published = directory;
    m_state.directory.write(std::move(directory));
    publishStatus();
    m_hooks.changed();
}

void ControlThread::publishStatus()
{
    ControlStatus status{.leaving = m_leaving, .storeReachable = m_store.isReachable()};
    status.serving = m_distribution.isReady() && !m_leaving;
    status.refusedLists = m_distribution.status().refused;
    if (m_leaving)
        status.reason = "leaving";
    else if (!m_distribution.isReady())
        status.reason = "no plan lists yet";
    if (status.serving && !m_wasReady)
        m_log.info("serving", {{"vm", m_settings.vm}});
    m_wasReady = status.serving;
    m_state.board.status.write(std::move(status));
}

void ControlThread::announceLeaving()
{
    m_leaving = true;
    apply(m_membership.announceLeaving(EventLoop::now()));
    publishDirectory();
    publishStatus();
}

void ControlThread::leave()
{
    apply(m_membership.leave(EventLoop::now()));
}

void ControlThread::addRpcMethods()
{
    m_rpc.add(pullMethod, [this](std::string_view params) -> Result<std::string> {
        BOOST_OUTCOME_TRY(const ListsRequest request, decodeListsRequest(params));
        return encodeListsAnswer(m_distribution.answer(request));
    });
    m_rpc.add(vantageMethod, [this](std::string_view params) -> Result<std::string> {
        BOOST_OUTCOME_TRY(const VantageRequest request, decodeVantageRequest(params));
        VantageAnswer answer = m_vantage.observe(request);
        answer.vm = m_settings.vm;
        return encodeVantageAnswer(answer);
    });
}

std::string ControlThread::handleRpc(const std::string &body)
{
    return m_rpc.handle(body);
}

std::optional<Endpoint> ControlThread::endpointOf(const VantageRequest &request) const
{
    const auto group = m_published.groups.find(request.group);
    if (group == m_published.groups.end())
        return std::nullopt;
    for (const SliceDatabase &database : group->second) {
        if (database.site.database == request.database)
            return database.site.endpoint;
    }
    return std::nullopt;
}

HttpClient &ControlThread::peerClient(const Endpoint &peer)
{
    std::unique_ptr<HttpClient> &client = m_peers[peer];
    if (!client) {
        client = std::make_unique<HttpClient>(
                m_loop, HttpClientOptions{.endpoint = peer,
                                          .localIp = m_settings.peerEndpoint.ip,
                                          .maxConnections = connectionsPerPeer});
    }
    return *client;
}

void ControlThread::pullLists(const Endpoint &peer, const ListsRequest &request,
                              std::chrono::milliseconds timeout,
                              const DistributionHooks::PullDone &done)
{
    callPeer(peer, pullMethod, encodeListsRequest(request), timeout,
             [done](const Result<std::string> &answer) {
                 done(answer ? decodeListsAnswer(answer.value())
                             : Result<ListsAnswer>(answer.error()));
             });
}

void ControlThread::callPeer(const Endpoint &peer, std::string_view method, std::string_view params,
                             std::chrono::milliseconds timeout, const RpcCallback &callback)
{
    const RpcClient client([this, peer, timeout](std::string body, RpcCallback answered) {
        peerClient(peer).send(
                {.method = "POST", .target = "/peer/v1/rpc", .body = std::move(body)}, timeout,
                [answered = std::move(answered)](const Result<HttpResponse> &response) {
                    answered(response ? Result<std::string>(response.value().body)
                                      : Result<std::string>(response.error()));
                });
    });
    client.call(method, params, callback);
}

void ControlThread::readRecord(const GroupId &group, SliceHooks::RecordRead done)
{
    const Instant now = EventLoop::now();
    m_store.read(
            recordKey(group), now, now + recordDeadline,
            [done = std::move(done)](const Result<StoredObject> &object) {
                using Read = Result<std::optional<StoredRecord>>;
                if (!object) {
                    done(Read(object.error()));
                    return;
                }
                if (object.value().version == ObjectVersion()) {
                    done(Read(std::optional<StoredRecord>()));
                    return;
                }
                const Result<GroupRecord> record = decodeRecord(object.value().value);
                if (!record) {
                    done(Read(record.error()));
                    return;
                }
                done(Read(std::optional(StoredRecord{record.value(), object.value().version})));
            });
}

void ControlThread::writeRecord(const GroupId &group, const GroupRecord &record,
                                ObjectVersion ifVersion, SliceHooks::RecordWritten done)
{
    const Instant now = EventLoop::now();
    m_store.write({.key = recordKey(group), .value = encodeRecord(record), .ifVersion = ifVersion},
                  now, now + recordDeadline, [done = std::move(done)](const WriteResult &result) {
                      switch (result.outcome) {
                      case WriteOutcome::Written:
                          done(Result<ObjectVersion>(result.current.version));
                          return;
                      case WriteOutcome::Conflict:
                          done(Result<ObjectVersion>(
                                  Error{ErrorCode::Conflict, "the record has another version"}));
                          return;
                      case WriteOutcome::NotWritten:
                      case WriteOutcome::Unknown:
                          done(Result<ObjectVersion>(result.error));
                          return;
                      }
                  });
}

std::size_t ControlThread::otherVms() const
{
    std::size_t count = 0;
    for (const auto &[dataCentre, vms] : m_published.vms)
        count += vms.size();
    return count == 0 ? 0 : count - 1;
}

// Rotates through the other VMs, so that an isolated VM is not selected every time.
std::vector<PeerVm> ControlThread::vantageVms() const
{
    std::vector<PeerVm> others;
    for (const auto &[dataCentre, vms] : m_published.vms) {
        for (const PeerVm &vm : vms) {
            if (vm.vm != m_settings.vm)
                others.push_back(vm);
        }
    }
    if (others.empty())
        return others;
    std::rotate(others.begin(),
                others.begin() + static_cast<std::ptrdiff_t>(m_nextVantage % others.size()),
                others.end());
    others.resize(std::min(others.size(), peersPerRequest));
    return others;
}

void ControlThread::requestPeerReports(const GroupId &group, const DatabaseId &primary,
                                       const std::function<void(const PeerReport &)> &report)
{
    const std::string params = encodeVantageRequest({.group = group, .database = primary});
    for (const PeerVm &vm : vantageVms()) {
        callPeer(vm.peers, vantageMethod, params, vantageTimeout,
                 [report](const Result<std::string> &text) {
                     if (!text)
                         return;
                     const Result<VantageAnswer> answer = decodeVantageAnswer(text.value());
                     if (!answer || !answer.value().known)
                         return;
                     report({.vm = answer.value().vm,
                             .term = answer.value().term,
                             .primaryReachable = answer.value().reachable,
                             .heardAt = EventLoop::now()});
                 });
    }
}

} // namespace fescuespring
