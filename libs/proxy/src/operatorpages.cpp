#include "operatorpages.h"

#include "codec/statuscodec.h"
#include "placement/placement.h"

#include <algorithm>
#include <charconv>

namespace fescuespring {

namespace {

constexpr std::chrono::milliseconds passOnTimeout{1000};

HttpResponse errorResponse(int status, const std::string &message)
{
    return {.status = status, .body = R"({"error":")" + message + "\"}"};
}

RouteQuery questionOf(const std::string &target)
{
    RouteQuery question{.token = queryValue(target, "token")};
    question.access = accessFromString(queryValue(target, "access")).value_or(Access::Read);
    const std::string age = queryValue(target, "maximumAgeMs");
    std::int64_t milliseconds = 0;
    const auto parsed = std::from_chars(age.data(), age.data() + age.size(), milliseconds);
    if (!age.empty() && parsed.ec == std::errc())
        question.maximumAge = std::chrono::milliseconds(milliseconds);
    return question;
}

} // namespace

// A status page that still waits for some of the traffic threads.
struct OperatorPages::Gathering
{
    VmStatus status;
    std::size_t left = 0;
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
    auto gathering = std::make_shared<Gathering>(
            Gathering{.status = ownStatus(), .left = m_threads.size(), .respond = respond});
    for (const auto &thread : m_threads) {
        thread->status([this, gathering](const std::vector<GroupStatus> &groups,
                                         std::size_t connections) {
            m_loop.post([this, gathering, groups, connections] {
                std::vector<GroupStatus> &all = gathering->status.groups;
                all.insert(all.end(), groups.begin(), groups.end());
                gathering->status.callerConnections += static_cast<std::uint32_t>(connections);
                if (--gathering->left == 0)
                    finishStatus(gathering);
            });
        });
    }
}

// Groups of which this VM holds no slice are listed with their owner only.
void OperatorPages::finishStatus(const std::shared_ptr<Gathering> &gathering)
{
    std::vector<GroupStatus> &groups = gathering->status.groups;
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
    gathering->respond({.body = encodeVmStatus(gathering->status)});
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
    const bool isPassedOn = !queryValue(request.target, "passedOn").empty();
    if (!owner || owner->vm == m_settings.vm || isPassedOn) {
        routeHere(group, request, respond);
        return;
    }
    m_control.peerClient(owner->peers)
            .send({.method = "GET", .target = request.target + "&passedOn=1"}, passOnTimeout,
                  [respond](const Result<HttpResponse> &answer) {
                      if (answer)
                          respond({.status = answer.value().status, .body = answer.value().body});
                      else
                          respond(errorResponse(503, "the owner of the slice does not answer"));
                  });
}

void OperatorPages::routeHere(const GroupId &group, const HttpRequest &request,
                              const HttpResponder &respond)
{
    auto left = std::make_shared<std::size_t>(m_threads.size());
    auto found = std::make_shared<bool>(false);
    for (const auto &thread : m_threads) {
        thread->explain(group, questionOf(request.target),
                        [this, left, found, respond](const std::optional<RouteAnswer> &answer) {
                            m_loop.post([left, found, respond, answer] {
                                if (answer) {
                                    *found = true;
                                    respond({.body = encodeRouteAnswer(*answer)});
                                }
                                if (--*left == 0 && !*found)
                                    respond(errorResponse(503, "no slice of the group here yet"));
                            });
                        });
    }
}

} // namespace fescuespring
