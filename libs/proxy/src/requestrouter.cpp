#include "requestrouter.h"

#include <algorithm>

namespace fescuespring {

namespace {

// The owner and its successors in rendezvous order.
constexpr std::size_t maximumCandidates = 3;

// How long an unreachable VM is tried last. Membership updates its state within this time.
constexpr Duration unreachablePenalty = std::chrono::seconds(1);

constexpr std::chrono::milliseconds ownerRetryAfter{200};

} // namespace

// One request being routed to an owner.
struct RequestRouter::Attempt
{
    OwnerRequest request;
    DataCentreId dataCentre;
    Deadline deadline;
    std::vector<PeerVm> candidates;
    std::size_t next = 0;
    std::uint32_t tries = 0;
    bool mayHaveRun = false;
    Reason lastReason = Reason::NoOwner;
};

RequestRouter::RequestRouter(EventLoop &loop, Counters &counters, const VmId &self,
                             const DataCentreId &dataCentre, std::string localIp, Hooks hooks)
    : m_loop(loop)
    , m_self(self)
    , m_dataCentre(dataCentre)
    , m_hooks(std::move(hooks))
    , m_peers(loop, std::move(localIp))
    , m_budget({}, m_hooks.random, counters)
    , m_forwarded(counters.counter("fescuespring_forwarded_total"))
    , m_servedLocally(counters.counter("fescuespring_served_here_total"))
    , m_skippedOwners(counters.counter("fescuespring_owner_passed_over_total"))
{}

void RequestRouter::setDirectory(std::shared_ptr<const Directory> directory)
{
    const std::vector<PeerVm> previous = [&] {
        const auto found = m_directory->vms.find(m_dataCentre);
        return found == m_directory->vms.end() ? std::vector<PeerVm>() : found->second;
    }();
    m_directory = std::move(directory);
    m_placements.clear();
    for (const auto &[dataCentre, vms] : m_directory->vms) {
        std::vector<VmId> names;
        for (const PeerVm &vm : vms)
            names.push_back(vm.vm);
        m_placements.emplace(dataCentre, Placement(names));
    }
    const auto current = m_directory->vms.find(m_dataCentre);
    for (const PeerVm &vm : previous) {
        const bool isListed = current != m_directory->vms.end()
                              && std::find(current->second.begin(), current->second.end(), vm)
                                         != current->second.end();
        if (!isListed && m_directory->deadVms.contains(vm.vm))
            m_peers.closePeer(vm.peers);
    }
}

std::vector<PeerVm> RequestRouter::candidates(const GroupId &group,
                                              const DataCentreId &dataCentre) const
{
    const auto placement = m_placements.find(dataCentre);
    if (placement == m_placements.end())
        return {};
    const std::vector<PeerVm> &vms = m_directory->vms.at(dataCentre);
    std::vector<PeerVm> peers;
    for (const VmId &owner : placement->second.sliceOwners(group, dataCentre, maximumCandidates)) {
        const auto found = std::find_if(vms.begin(), vms.end(),
                                        [&owner](const PeerVm &vm) { return vm.vm == owner; });
        if (found != vms.end())
            peers.push_back(*found);
    }
    std::stable_partition(peers.begin(), peers.end(),
                          [this](const PeerVm &peer) { return !isDeprioritized(peer.vm); });
    return peers;
}

bool RequestRouter::isDeprioritized(const VmId &vm) const
{
    const auto found = m_deprioritizedUntil.find(vm);
    return found != m_deprioritizedUntil.end() && EventLoop::now() < found->second;
}

void RequestRouter::routeLocally(OwnerRequest request)
{
    routeTo(m_dataCentre, std::move(request));
}

void RequestRouter::routeTo(const DataCentreId &dataCentre, OwnerRequest request)
{
    const Deadline deadline = Deadline::received(request.request.deadline, request.receivedAt);
    auto attempt = std::make_shared<Attempt>(
            Attempt{.request = std::move(request), .dataCentre = dataCentre, .deadline = deadline});
    attempt->candidates = candidates(attempt->request.request.group, dataCentre);
    tryNext(attempt);
}

void RequestRouter::tryNext(const std::shared_ptr<Attempt> &attempt)
{
    if (attempt->next >= attempt->candidates.size()) {
        finish(attempt, {.outcome = attempt->mayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                         .reason = attempt->lastReason,
                         .retryAfter = ownerRetryAfter});
        return;
    }
    const PeerVm peer = attempt->candidates[attempt->next++];
    ++attempt->tries;
    if (peer.vm == m_self) {
        m_servedLocally.add();
        OwnerRequest request = attempt->request;
        request.answer = [this, attempt](CallerAnswer answer) {
            onReply(attempt, std::move(answer));
        };
        m_hooks.submitToLocalSlice(std::move(request));
        return;
    }
    forwardTo(attempt, peer);
}

void RequestRouter::forwardTo(const std::shared_ptr<Attempt> &attempt, const PeerVm &peer)
{
    m_forwarded.add();
    ForwardedRequest forwarded{.request = attempt->request.request,
                               .hop = attempt->request.hop + 1};
    forwarded.request.deadline =
            std::max(attempt->deadline.forNextHop(EventLoop::now()), std::chrono::milliseconds(1));
    m_peers.forward(peer.peers, forwarded,
                    [this, attempt, peer](const Result<CallerAnswer> &answer) {
                        onForwardReply(attempt, peer, answer);
                    });
}

void RequestRouter::onForwardReply(const std::shared_ptr<Attempt> &attempt, const PeerVm &peer,
                                   const Result<CallerAnswer> &answer)
{
    if (!answer) {
        onForwardFailed(attempt, peer, answer.error().code);
        return;
    }
    if (answer.value().requestId != attempt->request.request.id) {
        onForwardFailed(attempt, peer, ErrorCode::Malformed);
        return;
    }
    m_budget.succeeded();
    onReply(attempt, answer.value());
}

// An owner that is draining, or no longer owns the slice, did not run the request. The next
// candidate may run it.
void RequestRouter::onReply(const std::shared_ptr<Attempt> &attempt, CallerAnswer reply)
{
    const bool isGoingAway =
            reply.outcome == Outcome::NotRun
            && (reply.reason == Reason::Draining || reply.reason == Reason::NoOwner);
    if (isGoingAway && attempt->next < attempt->candidates.size()) {
        attempt->lastReason = reply.reason;
        m_skippedOwners.add();
        tryNext(attempt);
        return;
    }
    finish(attempt, std::move(reply));
}

void RequestRouter::onForwardFailed(const std::shared_ptr<Attempt> &attempt, const PeerVm &peer,
                                    ErrorCode code)
{
    const bool nothingSent = code == ErrorCode::Unreachable || code == ErrorCode::Unavailable;
    if (nothingSent) {
        // The connection was refused or not established. Another VM may own the slice by now.
        m_deprioritizedUntil[peer.vm] = EventLoop::now() + unreachablePenalty;
        attempt->lastReason = Reason::NoOwner;
        m_skippedOwners.add();
        tryNext(attempt);
        return;
    }
    retryOrFinish(attempt,
                  code == ErrorCode::Timeout ? Reason::DeadlinePassed : Reason::ConnectionLost,
                  true);
}

void RequestRouter::retryOrFinish(const std::shared_ptr<Attempt> &attempt, Reason reason,
                                  bool mayHaveRun)
{
    const CallerRequest &request = attempt->request.request;
    const bool isRead = request.access == Access::Read;
    attempt->mayHaveRun = attempt->mayHaveRun || (mayHaveRun && !isRead);
    attempt->lastReason = reason;
    const RetryDecision decision = m_budget.decide({.reason = reason,
                                                    .hop = attempt->request.hop,
                                                    .attempt = attempt->tries,
                                                    .mayHaveRun = mayHaveRun,
                                                    .idempotent = isRead || request.idempotent},
                                                   attempt->deadline, EventLoop::now());
    if (!decision.wait) {
        finish(attempt, {.outcome = attempt->mayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                         .reason = reason,
                         .retryAfter = ownerRetryAfter});
        return;
    }
    m_loop.after(*decision.wait, [this, attempt] {
        // The slice may have moved to another VM in the meantime.
        attempt->candidates = candidates(attempt->request.request.group, attempt->dataCentre);
        attempt->next = 0;
        tryNext(attempt);
    });
}

// NotRun from the last attempt does not cover earlier attempts that may have run.
void RequestRouter::finish(const std::shared_ptr<Attempt> &attempt, CallerAnswer answer)
{
    if (answer.outcome == Outcome::NotRun && attempt->mayHaveRun)
        answer.outcome = Outcome::Unknown;
    answer.requestId = attempt->request.request.id;
    attempt->request.answer(std::move(answer));
}

} // namespace fescuespring
