#include "explorer/promotionworld.h"

#include "promotionworldparts.h"
#include "routing/writerouter.h"

#include <algorithm>
#include <array>

namespace fescuespring {

using namespace promotionworld;

PromotionWorld::PromotionWorld(const PromotionWorldOptions &options)
    : m_options(options)
{
    for (std::size_t i = 0; i < databaseCount; ++i)
        m_databases.emplace_back(newDatabase(i));
    replicateAll();
    if (options.scenario == PromotionScenario::ReturnedPrimary)
        makeReturnedPrimary();
    for (std::size_t i = 0; i < options.starts.size(); ++i) {
        Vm vm = newVm(i);
        vm.starts = options.starts[i];
        vm.writes = options.writes[i];
        for (const auto &database : m_databases)
            vm.view.applyStatus(database.read().status(Instant()), Instant(), Instant());
        m_vms.emplace_back(std::move(vm));
    }
}

PromotionWorld::Vm PromotionWorld::newVm(std::size_t index) const
{
    const bool isEqualDraw = m_options.protocolBreak == ProtocolBreak::EqualDraws;
    const std::uint64_t draw = isEqualDraw ? 0 : index * 100;
    Vm vm{.view = GroupView(group),
          .promoter = Promoter({.vm = VmId("vm" + std::to_string(index)),
                                .random = [draw] { return draw; },
                                .storeTimeout = storeCallTimeout,
                                .callRetry = retryTime,
                                .fenceGrace = Duration::zero(),
                                .fenceTimeout = timeout,
                                .promoteTimeout = timeout,
                                .drainTimeout = timeout,
                                .catchUpTimeout = timeout,
                                .catchUpPoll = retryTime,
                                .takeoverAfter = Duration::zero(),
                                .recordRetry = retryTime}),
          .confirmer = Confirmer({.roundTimeout = never, .copyPollInterval = eventTime})};
    std::vector<DatabaseSite> sites;
    for (std::size_t i = 0; i < databaseCount; ++i)
        sites.push_back({.database = databaseName(i), .endpoint = endpointOf(i)});
    vm.view.setSites(sites);
    return vm;
}

void PromotionWorld::replicateAll()
{
    for (std::size_t i = 0; i < databaseCount; ++i) {
        while (batchFor(i))
            replicate(i);
    }
}

void PromotionWorld::makeReturnedPrimary()
{
    constexpr std::size_t tailLength = 3;
    Database &previous = m_databases[0].write();
    for (std::size_t i = 0; i < tailLength; ++i)
        previous.execute(connectionOf(0), writeCall(100 + i, Term(1)), Instant());
    const Term term(2);
    for (std::size_t i = 1; i < databaseCount; ++i)
        m_databases[i].write().fence({term}, Instant());
    m_databases[1].write().promote({term}, Instant());
    m_databases[2].write().follow({term, endpointOf(1)}, Instant());
    m_promotedTerms.push_back(term);
    const StatementAnswer answer =
            m_databases[1].write().execute(connectionOf(0), writeCall(0, term), Instant());
    m_writes.push_back({.term = term, .point = answer.point, .state = WriteState::Acknowledged});
    for (std::size_t i = 1; i < databaseCount; ++i) {
        while (batchFor(i))
            replicate(i);
    }
    const DatabaseStatus status = m_databases[1].read().status(Instant());
    m_record = StoredRecord{.record = {.term = term,
                                       .promoter = VmId("gone"),
                                       .attempt = 1,
                                       .phase = RecordPhase::Stable,
                                       .primary = databaseName(1),
                                       .history = status.history},
                            .version = ObjectVersion(1)};
}

std::vector<PromotionWorld::Step> PromotionWorld::steps() const
{
    std::vector<Step> steps;
    for (std::size_t i = 0; i < m_messages.size(); ++i) {
        steps.push_back({StepKind::Deliver, i});
        const Message &message = m_messages[i].read();
        const bool isStoreCall =
                message.kind == MessageKind::ReadRecord || message.kind == MessageKind::WriteRecord;
        const bool isCurrent = message.incarnation == m_vms[message.vm].read().incarnation;
        if (isStoreCall && isCurrent && m_options.storeFailures > 0)
            steps.push_back({StepKind::FailStoreCall, i});
    }
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        const Vm &vm = m_vms[i].read();
        const PromotionStep step = vm.promoter.step();
        const bool canStart = step == PromotionStep::Idle || step == PromotionStep::Recording;
        const bool hasStatus = vm.view.highestTerm() != Term();
        if (vm.starts > 0 && canStart && hasStatus)
            steps.push_back({StepKind::Start, i});
        if (vm.writes > 0 && !vm.isHolding && routeWrite(vm.view, {}).action == WriteAction::Serve)
            steps.push_back({StepKind::Write, i});
        if (m_options.crashes > 0)
            steps.push_back({StepKind::Crash, i});
        if (m_options.timers > 0 && vm.promoter.nextTimer())
            steps.push_back({StepKind::Timer, i});
        if (vm.confirmer.waiting() > 0 && !vm.confirmer.openRound())
            steps.push_back({StepKind::Poll, i});
        if (step == PromotionStep::Draining)
            steps.push_back({StepKind::Drained, i});
    }
    for (std::size_t i = 0; i < m_databases.size(); ++i) {
        if (batchFor(i))
            steps.push_back({StepKind::Replicate, i});
    }
    return steps;
}

void PromotionWorld::take(const Step &step)
{
    switch (step.kind) {
    case StepKind::Deliver:
        deliver(step.index);
        break;
    case StepKind::FailStoreCall:
        failStoreCall(step.index);
        break;
    case StepKind::Start:
        startPromotion(step.index);
        break;
    case StepKind::Write:
        sendWrite(step.index);
        break;
    case StepKind::Crash:
        crash(step.index);
        break;
    case StepKind::Timer:
        fireTimer(step.index);
        break;
    case StepKind::Poll:
        poll(step.index);
        break;
    case StepKind::Drained: {
        Vm &vm = m_vms[step.index].write();
        vm.now += eventTime;
        perform(step.index, vm.promoter.drained(vm.now));
        break;
    }
    case StepKind::Replicate:
        replicate(step.index);
        break;
    }
    check();
}

void PromotionWorld::startPromotion(std::size_t index)
{
    Vm &vm = m_vms[index].write();
    --vm.starts;
    vm.now += eventTime;
    const auto primary = vm.view.primary();
    const DatabaseId previous = primary ? primary->database : DatabaseId();
    const bool isPlanned = m_options.kind == PromotionKind::Planned;
    const PromotionRequest request{.kind = m_options.kind,
                                   .leaving = isPlanned ? previous : DatabaseId(),
                                   .avoid = m_options.avoidsPrimary ? previous : DatabaseId()};
    perform(index, vm.promoter.start(request, vm.view, vm.now));
}

void PromotionWorld::sendWrite(std::size_t index)
{
    Vm &vm = m_vms[index].write();
    const WriteDecision decision = routeWrite(vm.view, {});
    --vm.writes;
    m_messages.emplace_back(Message{.kind = MessageKind::Write,
                                    .vm = index,
                                    .incarnation = vm.incarnation,
                                    .database = databaseIndex(decision.database),
                                    .term = decision.term,
                                    .write = m_writes.size()});
    m_writes.push_back({.vm = index, .term = decision.term});
}

void PromotionWorld::crash(std::size_t index)
{
    --m_options.crashes;
    Vm &vm = m_vms[index].write();
    Vm restarted = newVm(index);
    restarted.now = vm.now;
    restarted.incarnation = vm.incarnation + 1;
    restarted.starts = vm.starts;
    restarted.writes = vm.writes;
    vm = std::move(restarted);
    probeAll(vm, index);
    for (Write &write : m_writes) {
        if (write.vm == index && write.state != WriteState::Acknowledged)
            write.state = WriteState::Unknown;
    }
    std::erase_if(m_messages, [&](const CopyOnWrite<Message> &message) {
        return message.read().vm == index && message.read().isAnswer;
    });
}

void PromotionWorld::fireTimer(std::size_t index)
{
    --m_options.timers;
    Vm &vm = m_vms[index].write();
    vm.now = std::max(vm.now + eventTime, *vm.promoter.nextTimer());
    perform(index, vm.promoter.tick(vm.now));
}

void PromotionWorld::poll(std::size_t index)
{
    Vm &vm = m_vms[index].write();
    vm.now += eventTime;
    afterEvent(vm, index);
}

std::optional<LogBatch> PromotionWorld::batchFor(std::size_t database) const
{
    constexpr std::size_t maximumEntries = 100;
    const auto request = m_databases[database].read().nextRequest();
    if (!request)
        return std::nullopt;
    const std::size_t source = indexOf(*m_databases[database].read().followed());
    LogBatch batch = m_databases[source].read().read(*request, maximumEntries);
    const bool hasUpdate = batch.outcome == LogOutcome::Diverged
                           || (batch.outcome == LogOutcome::Entries && !batch.entries.empty());
    if (!hasUpdate)
        return std::nullopt;
    return batch;
}

void PromotionWorld::replicate(std::size_t database)
{
    if (auto batch = batchFor(database))
        m_databases[database].write().receive(std::move(*batch), Instant(), Instant());
}

bool PromotionWorld::mustSurvive(const Write &write, const DatabaseStatus &primary) const
{
    const bool isGuaranteed = m_options.durability == Durability::Replicated
                              || m_options.kind == PromotionKind::Planned;
    return isGuaranteed && write.state == WriteState::Acknowledged && write.term <= primary.term;
}

void PromotionWorld::check()
{
    for (const auto &primary : m_databases) {
        const DatabaseStatus status = primary.read().status(Instant());
        if (!isPrimaryOfItsTerm(status))
            continue;
        for (const Write &write : m_writes) {
            if (mustSurvive(write, status) && !primary.read().log().holds(write.point))
                m_violation = "an acknowledged write is lost";
        }
    }
    for (const Write &write : m_writes) {
        if (write.state == WriteState::Acknowledged && write.wasReplaced)
            m_violation = "a write was acknowledged under a replaced term";
    }
    for (std::size_t i = 1; i < m_databases.size(); ++i) {
        for (std::size_t j = 0; j < i; ++j) {
            if (!agreeUpToSharedEntry(m_databases[i].read().log(), m_databases[j].read().log()))
                m_violation = "two logs share an entry and differ before it";
        }
    }
}

bool PromotionWorld::agreeUpToSharedEntry(const Log &left, const Log &right) const
{
    bool isShared = false;
    for (std::uint64_t i = std::min(left.end(), right.end()).value(); i > 0; --i) {
        const LogPosition position(i);
        isShared = isShared || left.point(position) == right.point(position);
        if (isShared && !(left.at(position) == right.at(position)))
            return false;
    }
    return true;
}

std::size_t PromotionWorld::acknowledgedWrites() const
{
    const auto count = std::count_if(m_writes.begin(), m_writes.end(), [](const Write &write) {
        return write.state == WriteState::Acknowledged;
    });
    return static_cast<std::size_t>(count);
}

} // namespace fescuespring
