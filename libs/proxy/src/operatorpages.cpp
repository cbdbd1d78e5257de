#include "operatorpages.h"

#include "codec/statuscodec.h"
#include "placement/placement.h"

#include <algorithm>
#include <charconv>

namespace fescuespring {

namespace {

constexpr std::chrono::milliseconds forwardTimeout{1000};

HttpResponse errorResponse(int status, const std::string &message)
{
    return {.status = status, .body = R"({"error":")" + message + "\"}"};
}

RouteQuery parseRouteQuery(const std::string &target)
{
    RouteQuery query{.token = queryValue(target, "token")};
    query.access = accessFromString(queryValue(target, "access")).value_or(Access::Read);
    const std::string age = queryValue(target, "maximumAgeMs");
    std::int64_t milliseconds = 0;
    const auto parsed = std::from_chars(age.data(), age.data() + age.size(), milliseconds);
    if (!age.empty() && parsed.ec == std::errc())
        query.maximumAge = std::chrono::milliseconds(milliseconds);
    return query;
}

} // namespace

// A status page waiting for responses from the traffic threads.
struct OperatorPages::PendingStatus
{
    VmStatus status;
    std::size_t remaining = 0;
    HttpResponder respond;
};

OperatorPages::OperatorPages(EventLoop &loop, const Threads &threads,
                             const DaemonSettings &settings, const SharedState &state,
                             ControlThread &control)
    : m_loop(loop)
    , m_threads(threads)
    , m_settings(settings)
    , m_state(state)
    , m_control(control)
{}

VmStatus OperatorPages::ownStatus() const
{
    const auto control = m_state.board.status.snapshot();
    const ListsStatus lists = m_control.listsStatus();
    VmStatus status{.vm = m_settings.vm,
                    .dataCentre = m_settings.dataCentre,
                    .serving = control->serving,
                    .leaving = control->leaving,
                    .storeReachable = m_control.isStoreReachable(),
                    .reason = control->reason,
                    .lists = lists.mark.version};
    for (const ListError &error : lists.refused)
        status.refusedLists.push_back(describe(error.error, error.key));
    for (const Member &member : m_control.members()) {
        status.members.push_back({.vm = member.vm,
                                  .state = toString(member.state),
                                  .suspected = member.suspected,
                                  .peers = member.endpoints.peers,
                                  .lists = member.lists.version});
    }
    return status;
}

void OperatorPages::status(const HttpResponder &respond)
{
    auto pending = std::make_shared<PendingStatus>(PendingStatus{
            .status = ownStatus(), .remaining = m_threads.size(), .respond = respond});
    for (const auto &thread : m_threads) {
        thread->status([this, pending](const std::vector<GroupStatus> &groups,
                                       std::size_t connections) {
            m_loop.post([this, pending, groups, connections] {
                std::vector<GroupStatus> &all = pending->status.groups;
                all.insert(all.end(), groups.begin(), groups.end());
                pending->status.callerConnections += static_cast<std::uint32_t>(connections);
                if (--pending->remaining == 0)
                    finishStatus(pending);
            });
        });
    }
}

// Groups whose slices this VM does not own are listed with their owner only.
void OperatorPages::finishStatus(const std::shared_ptr<PendingStatus> &pending)
{
    std::vector<GroupStatus> &groups = pending->status.groups;
    const auto directory = m_state.directory.snapshot();
    for (const auto &entry : directory->groups) {
        const GroupId &group = entry.first;
        const bool isListed =
                std::any_of(groups.begin(), groups.end(),
                            [&group](const GroupStatus &listed) { return listed.group == group; });
        if (isListed)
            continue;
        const std::optional<PeerVm> owner = ownerOf(group);
        groups.push_back({.group = group, .owner = owner ? owner->vm : VmId()});
    }
    std::sort(groups.begin(), groups.end(), [](const GroupStatus &left, const GroupStatus &right) {
        return left.group < right.group;
    });
    pending->respond({.body = encodeVmStatus(pending->status)});
}

std::optional<PeerVm> OperatorPages::ownerOf(const GroupId &group) const
{
    const auto directory = m_state.directory.snapshot();
    const auto vms = directory->vms.find(m_settings.dataCentre);
    if (vms == directory->vms.end())
        return std::nullopt;
    std::vector<VmId> names;
    for (const PeerVm &vm : vms->second)
        names.push_back(vm.vm);
    const Placement placement(names);
    const VmId *owner = placement.sliceOwner(group, m_settings.dataCentre);
    if (owner == nullptr)
        return std::nullopt;
    return *std::find_if(vms->second.begin(), vms->second.end(),
                         [owner](const PeerVm &vm) { return vm.vm == *owner; });
}

void OperatorPages::route(const HttpRequest &request, const HttpResponder &respond)
{
    const GroupId group(queryValue(request.target, "group"));
    if (!m_state.directory.snapshot()->groups.contains(group)) {
        respond(errorResponse(404, "no such group"));
        return;
    }
    const std::optional<PeerVm> owner = ownerOf(group);
    const bool isForwarded = !queryValue(request.target, "passedOn").empty();
    if (!owner || owner->vm == m_settings.vm || isForwarded) {
        explainLocally(group, request, respond);
        return;
    }
    m_control.peerClient(owner->peers)
            .send({.method = "GET", .target = request.target + "&passedOn=1"}, forwardTimeout,
                  [respond](const Result<HttpResponse> &answer) {
                      if (answer)
                          respond({.status = answer.value().status, .body = answer.value().body});
                      else
                          respond(errorResponse(503, "the owner of the slice did not respond"));
                  });
}

void OperatorPages::explainLocally(const GroupId &group, const HttpRequest &request,
                                   const HttpResponder &respond)
{
    auto remaining = std::make_shared<std::size_t>(m_threads.size());
    auto found = std::make_shared<bool>(false);
    for (const auto &thread : m_threads) {
        thread->explain(
                group, parseRouteQuery(request.target),
                [this, remaining, found, respond](const std::optional<RouteAnswer> &answer) {
                    m_loop.post([remaining, found, respond, answer] {
                        if (answer) {
                            *found = true;
                            respond({.body = encodeRouteAnswer(*answer)});
                        }
                        if (--*remaining == 0 && !*found)
                            respond(errorResponse(
                                    503, "this VM does not hold a slice of the group yet"));
                    });
                });
    }
}

} // namespace fescuespring
