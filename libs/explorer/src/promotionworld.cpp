#include "explorer/promotionworld.h"

#include "explorer/explorer.h"
#include "routing/writerouter.h"

#include <algorithm>
#include <array>

namespace fescuespring {

namespace {

constexpr std::size_t databaseCount = 3;
constexpr Duration eventTime{1};
constexpr Instant endOfTime = Instant::max();
const GroupId group("herd");

// Timers fire only in a step of their own, so only their order matters.
constexpr Duration retryTime = std::chrono::minutes(30);
constexpr Duration storeCallTimeout = std::chrono::minutes(60);
constexpr Duration timeout = std::chrono::minutes(20);
constexpr Duration never = std::chrono::hours(100000);

constexpr std::array messageNames{"status", "fence",       "promote",     "follow",
                                  "write",  "read-record", "write-record"};

DatabaseId databaseName(std::size_t index)
{
    return DatabaseId("d" + std::to_string(index));
}

std::size_t databaseIndex(const DatabaseId &database)
{
    return static_cast<std::size_t>(database.value().back() - '0');
}

Endpoint endpointOf(std::size_t index)
{
    return {.ip = "d", .port = static_cast<std::uint16_t>(index + 1)};
}

std::size_t indexOf(const Endpoint &endpoint)
{
    return endpoint.port - std::size_t{1};
}

DatabaseConnectionId connectionOf(std::size_t vm)
{
    return DatabaseConnectionId(vm + 1);
}

Database newDatabase(std::size_t index)
{
    DatabaseOptions options;
    options.database = databaseName(index);
    options.group = group;
    if (index == 0)
        options.initialPrimary = true;
    else
        options.initialFollows = endpointOf(0);
    return Database(options);
}

StatementCall writeCall(std::size_t write, Term term)
{
    return {.kind = CallKind::Run,
            .access = Access::Write,
            .term = term,
            .id = RequestId("w" + std::to_string(write)),
            .idempotent = false,
            .statement = "set w" + std::to_string(write) + " done"};
}

std::string text(std::uint64_t number)
{
    return std::to_string(number);
}

std::string text(LogPoint point)
{
    return text(point.term.value()) + "." + text(point.position.value());
}

std::string text(const DatabaseStatus &status)
{
    return std::string(status.role == Role::Primary ? "P" : "R") + text(status.term.value()) + "@"
           + text(status.received) + "/" + text(lastTerm(status.history).value());
}

} // namespace

void detail::InstantRanks::add(Instant instant)
{
    m_instants.push_back(instant);
}

void detail::InstantRanks::sort()
{
    std::sort(m_instants.begin(), m_instants.end());
    m_instants.erase(std::unique(m_instants.begin(), m_instants.end()), m_instants.end());
}

std::uint64_t detail::InstantRanks::rank(Instant instant) const
{
    const auto place = std::lower_bound(m_instants.begin(), m_instants.end(), instant);
    return static_cast<std::uint64_t>(place - m_instants.begin());
}

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

void PromotionWorld::failStoreCall(std::size_t index)
{
    --m_options.storeFailures;
    const Message message = m_messages[index].read();
    if (message.isAnswer)
        m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
    Vm &vm = m_vms[message.vm].write();
    vm.now += eventTime;
    perform(message.vm, vm.promoter.storeFailed(message.call, vm.now));
}

void PromotionWorld::deliver(std::size_t index)
{
    Message message = m_messages[index].read();
    m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
    if (message.isAnswer) {
        deliverToVm(message);
        return;
    }
    const bool isStoreCall =
            message.kind == MessageKind::ReadRecord || message.kind == MessageKind::WriteRecord;
    if (isStoreCall)
        deliverToStore(std::move(message));
    else
        deliverToDatabase(std::move(message));
}

void PromotionWorld::deliverToDatabase(Message message)
{
    Database &database = m_databases[message.database].write();
    const bool wasPrimary = database.status(Instant()).role == Role::Primary;
    switch (message.kind) {
    case MessageKind::Fence:
        message.status = database.fence({message.term}, Instant());
        break;
    case MessageKind::Promote:
        message.status = database.promote({message.term}, Instant());
        if (message.status.role == Role::Primary && !wasPrimary) {
            if (std::count(m_promotedTerms.begin(), m_promotedTerms.end(), message.term) > 0)
                m_violation = "two databases were promoted at one term";
            m_promotedTerms.push_back(message.term);
        }
        break;
    case MessageKind::Follow:
        message.status = database.follow({message.term, endpointOf(message.primary)}, Instant());
        break;
    case MessageKind::Write:
        message.answer = database.execute(connectionOf(message.vm),
                                          writeCall(message.write, message.term), Instant());
        break;
    default:
        message.status = database.status(Instant());
        break;
    }
    if (message.kind != MessageKind::Follow)
        answerTo(message, message.kind == MessageKind::Write);
}

void PromotionWorld::answerTo(Message &message, bool delayed)
{
    if (message.incarnation != m_vms[message.vm].read().incarnation)
        return;
    message.isAnswer = true;
    if (delayed || m_options.delaysAnswers)
        m_messages.emplace_back(std::move(message));
    else
        deliverToVm(message);
}

void PromotionWorld::deliverToStore(Message message)
{
    if (message.kind == MessageKind::ReadRecord) {
        message.stored = m_record;
    } else {
        const ObjectVersion version = m_record ? m_record->version : ObjectVersion();
        message.conflict = version != message.version;
        if (!message.conflict)
            m_record = StoredRecord{.record = message.record, .version = version.next()};
        message.version = m_record->version;
    }
    const bool isLast = message.kind == MessageKind::WriteRecord && !message.conflict
                        && message.record.phase == RecordPhase::Stable;
    if (!isLast)
        answerTo(message, m_options.storeFailures > 0);
}

void PromotionWorld::deliverToVm(const Message &message)
{
    Vm &vm = m_vms[message.vm].write();
    if (message.incarnation != vm.incarnation)
        return;
    vm.now += eventTime;
    switch (message.kind) {
    case MessageKind::ReadRecord:
    case MessageKind::WriteRecord:
        receiveStoreAnswer(vm, message.vm, message);
        break;
    case MessageKind::Write:
        receiveWriteAnswer(vm, message);
        break;
    default:
        receiveStatus(vm, message.vm, message);
        break;
    }
    afterEvent(vm, message.vm);
}

void PromotionWorld::receiveStatus(Vm &vm, std::size_t index, const Message &message)
{
    vm.view.applyStatus(message.status, message.askedAt, vm.now);
    DatabaseStatus status = message.status;
    if (m_options.protocolBreak == ProtocolBreak::PositionsWithoutTerms)
        status.received.term = Term();
    perform(index, vm.promoter.statusReceived(status, message.askedAt, vm.now));
}

void PromotionWorld::receiveWriteAnswer(Vm &vm, const Message &message)
{
    Write &write = m_writes[message.write];
    if (message.answer.outcome != CallOutcome::Done) {
        write.state = WriteState::Unknown;
        return;
    }
    write.state = WriteState::Answered;
    write.point = message.answer.point;
    write.since = vm.now;
    write.wasReplaced = std::any_of(m_promotedTerms.begin(), m_promotedTerms.end(),
                                    [&](Term term) { return term > write.term; });
    if (m_options.protocolBreak == ProtocolBreak::SkipEvidence) {
        write.state = WriteState::Acknowledged;
        return;
    }
    if (m_options.protocolBreak == ProtocolBreak::StaleEvidence)
        write.since = Instant();
    vm.confirmer.await({.id = ConfirmationId(message.write),
                        .term = write.term,
                        .since = write.since,
                        .deadline = endOfTime,
                        .durablePoint = m_options.durability == Durability::Replicated
                                                ? std::optional(write.point)
                                                : std::nullopt});
}

void PromotionWorld::receiveStoreAnswer(Vm &vm, std::size_t index, const Message &message)
{
    if (message.kind == MessageKind::ReadRecord) {
        perform(index, vm.promoter.recordRead(message.call, message.stored, vm.now));
        return;
    }
    const bool isAccepted =
            !message.conflict || m_options.protocolBreak == ProtocolBreak::ContinueUnderForeignTerm;
    if (isAccepted)
        perform(index, vm.promoter.recordWritten(message.call, message.version, vm.now));
    else
        perform(index, vm.promoter.recordConflict(message.call, vm.now));
}

void PromotionWorld::afterEvent(Vm &vm, std::size_t index)
{
    for (const ConfirmationResult &result : vm.confirmer.advance(vm.view, vm.now)) {
        Write &write = m_writes[result.id.value()];
        const bool isConfirmed = result.outcome == ConfirmationOutcome::Confirmed;
        write.state = isConfirmed ? WriteState::Acknowledged : WriteState::Unknown;
    }
    for (Write &write : m_writes) {
        if (write.vm != index || write.state != WriteState::Answered)
            continue;
        const auto held = vm.view.heldUntil(write.term);
        write.termHeld = write.termHeld || (held && *held >= write.since);
    }
    if (!vm.confirmer.startRound(vm.now))
        return;
    probeAll(vm, index);
}

void PromotionWorld::probeAll(const Vm &vm, std::size_t index)
{
    // Pending probes of an earlier round give weaker evidence than those of this round.
    std::erase_if(m_messages, [&](const CopyOnWrite<Message> &message) {
        return message.read().vm == index && message.read().kind == MessageKind::Status
               && !message.read().isAnswer;
    });
    for (std::size_t i = 0; i < m_databases.size(); ++i) {
        m_messages.emplace_back(Message{.kind = MessageKind::Status,
                                        .vm = index,
                                        .incarnation = vm.incarnation,
                                        .database = i,
                                        .askedAt = vm.now});
    }
}

void PromotionWorld::perform(std::size_t index, const PromotionActions &actions)
{
    constexpr std::array<std::pair<PromotionActionKind, MessageKind>, 4> databaseCalls{
            {{PromotionActionKind::Probe, MessageKind::Status},
             {PromotionActionKind::Fence, MessageKind::Fence},
             {PromotionActionKind::Promote, MessageKind::Promote},
             {PromotionActionKind::Follow, MessageKind::Follow}}};
    for (const PromotionAction &action : actions) {
        if (action.kind == PromotionActionKind::HoldWrites)
            m_vms[index].write().isHolding = true;
        if (action.kind == PromotionActionKind::ReleaseWrites)
            m_vms[index].write().isHolding = false;
        performStoreCall(index, action);
        for (const auto &[kind, messageKind] : databaseCalls) {
            if (action.kind != kind)
                continue;
            Message message{.kind = messageKind,
                            .vm = index,
                            .incarnation = m_vms[index].read().incarnation,
                            .database = databaseIndex(action.database),
                            .askedAt = m_vms[index].read().now,
                            .term = action.term};
            if (kind == PromotionActionKind::Follow)
                message.primary = databaseIndex(action.primary);
            if (kind == PromotionActionKind::Fence && isFenceSkipped(action)) {
                message.status = m_databases[message.database].read().status(Instant());
                message.status.term = action.term;
                message.isAnswer = true;
            }
            m_messages.emplace_back(std::move(message));
        }
    }
}

bool PromotionWorld::isFenceSkipped(const PromotionAction &action) const
{
    return m_options.protocolBreak == ProtocolBreak::SkipFence
           && databaseIndex(action.database) != 1;
}

void PromotionWorld::performStoreCall(std::size_t index, const PromotionAction &action)
{
    const bool isRead = action.kind == PromotionActionKind::ReadRecord;
    if (!isRead && action.kind != PromotionActionKind::WriteRecord)
        return;
    m_messages.emplace_back(
            Message{.kind = isRead ? MessageKind::ReadRecord : MessageKind::WriteRecord,
                    .vm = index,
                    .incarnation = m_vms[index].read().incarnation,
                    .term = action.term,
                    .call = action.call,
                    .record = action.record,
                    .version = action.ifVersion});
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

std::string PromotionWorld::describe(const Message &message)
{
    std::string line = "vm" + text(message.vm) + " " + (message.isAnswer ? "<- " : "-> ")
                       + messageNames[static_cast<std::size_t>(message.kind)];
    switch (message.kind) {
    case MessageKind::ReadRecord:
        line += " call " + text(message.call);
        return message.isAnswer && message.stored
                       ? line + " = " + text(message.stored->version.value()) + ":"
                                 + text(message.stored->record.term.value())
                       : line;
    case MessageKind::WriteRecord:
        line += " call " + text(message.call) + " term " + text(message.record.term.value()) + " "
                + toString(message.record.phase) + " version " + text(message.version.value());
        return message.conflict ? line + " conflict" : line;
    case MessageKind::Write:
        line += " w" + text(message.write) + " d" + text(message.database) + " term "
                + text(message.term.value());
        return message.isAnswer ? line + " " + toString(message.answer.outcome) + " "
                                          + text(message.answer.point)
                                : line;
    default:
        line += " d" + text(message.database) + " term " + text(message.term.value());
        return message.isAnswer ? line + " " + text(message.status) : line;
    }
}

std::string PromotionWorld::describe(const Step &step) const
{
    const std::string number = text(step.index);
    switch (step.kind) {
    case StepKind::Deliver:
        return "deliver " + describe(m_messages[step.index].read());
    case StepKind::FailStoreCall:
        return "reported as failed: " + describe(m_messages[step.index].read());
    case StepKind::Start:
        return "vm" + number + " starts a change of primary";
    case StepKind::Write:
        return "vm" + number + " sends a write";
    case StepKind::Crash:
        return "vm" + number + " is killed and restarted";
    case StepKind::Timer:
        return "a timer of vm" + number + " fires";
    case StepKind::Poll:
        return "vm" + number + " polls the copies again";
    case StepKind::Drained:
        return "vm" + number + " has no write in flight";
    case StepKind::Replicate:
        return "d" + number + " replicates";
    }
    return {};
}

std::uint64_t PromotionWorld::fingerprintOf(const Database &database)
{
    FingerprintHash hash;
    hash.add(text(database.status(Instant())));
    hash.add(database.followed() ? indexOf(*database.followed()) : databaseCount);
    for (std::uint64_t i = 1; i <= database.log().end().value(); ++i) {
        const LogEntry &entry = database.log().at(LogPosition(i));
        hash.add(entry.term.value());
        hash.add(entry.record ? entry.record->id.value() : std::string());
    }
    return hash.value();
}

// Fingerprint of one VM and all messages to and from it. Of the probe times it includes only what
// the libraries use: their order for each database, and whether evidence is recent enough.
std::uint64_t PromotionWorld::fingerprintOf(std::size_t index) const
{
    const Vm &vm = m_vms[index].read();
    FingerprintHash hash;
    if (!isDone(vm)) {
        hash.add(m_vms[index].fingerprint([](const Vm &value) { return fingerprintOf(value); }));
        for (std::size_t i = 0; i < databaseCount; ++i) {
            const Instant askedAt = vm.view.databases()[i].askedAt;
            hash.add(probeTimeRanks(index, i).rank(askedAt));
            hash.add(evidenceOf(index, askedAt));
        }
    }
    std::vector<std::uint64_t> messages;
    messages.reserve(m_messages.size());
    for (const auto &copy : m_messages) {
        const Message &message = copy.read();
        if (message.vm != index)
            continue;
        FingerprintHash inner;
        inner.add(copy.fingerprint([](const Message &value) { return fingerprintOf(value); }));
        if (!isDone(vm)) {
            inner.add(probeTimeRanks(index, message.database).rank(message.askedAt));
            inner.add(evidenceOf(index, message.askedAt));
        }
        messages.push_back(inner.value());
    }
    std::sort(messages.begin(), messages.end());
    for (const std::uint64_t message : messages)
        hash.add(message);
    return hash.value();
}

std::uint64_t PromotionWorld::fingerprintOf(const Vm &vm)
{
    FingerprintHash hash;
    hash.add(vm.promoter.describe());
    hash.add(vm.incarnation);
    hash.add(vm.starts);
    hash.add(vm.writes);
    hash.add(vm.isHolding ? 1 : 0);
    hash.add(vm.confirmer.waiting());
    hash.add(vm.confirmer.openRound() ? 1 : 0);
    for (const DatabaseView &view : vm.view.databases())
        hash.add(view.status ? text(*view.status) : std::string("?"));
    return hash.value();
}

std::uint64_t PromotionWorld::fingerprintOf(const Message &message)
{
    FingerprintHash hash;
    hash.add(describe(message));
    hash.add(message.incarnation);
    hash.add(message.primary);
    return hash.value();
}

// Whether the state of the VM can no longer have an effect.
bool PromotionWorld::isDone(const Vm &vm)
{
    return !vm.promoter.isChanging() && vm.starts == 0 && vm.writes == 0
           && vm.confirmer.waiting() == 0;
}

detail::InstantRanks PromotionWorld::probeTimeRanks(std::size_t vm, std::size_t database) const
{
    detail::InstantRanks ranks;
    ranks.add(m_vms[vm].read().view.databases()[database].askedAt);
    for (const auto &message : m_messages) {
        if (message.read().vm == vm && message.read().database == database)
            ranks.add(message.read().askedAt);
    }
    ranks.sort();
    return ranks;
}

// One bit for the open round and each waiting write: whether a probe sent at askedAt is evidence.
std::uint64_t PromotionWorld::evidenceOf(std::size_t vm, Instant askedAt) const
{
    const auto round = m_vms[vm].read().confirmer.openRound();
    std::uint64_t bits = round && askedAt >= *round ? 1 : 0;
    for (const Write &write : m_writes) {
        const bool isWaiting =
                write.vm == vm && write.state == WriteState::Answered && !write.termHeld;
        bits = bits * 2 + (isWaiting && askedAt >= write.since ? 1 : 0);
    }
    return bits;
}

std::uint64_t PromotionWorld::fingerprint() const
{
    FingerprintHash hash;
    for (const auto &database : m_databases)
        hash.add(database.fingerprint(
                [](const Database &value) { return PromotionWorld::fingerprintOf(value); }));
    for (std::size_t i = 0; i < m_vms.size(); ++i)
        hash.add(fingerprintOf(i));
    for (const Write &write : m_writes) {
        hash.add(static_cast<std::uint64_t>(write.state));
        hash.add(write.point.term.value());
        hash.add(write.point.position.value());
        hash.add(write.term.value());
        hash.add(static_cast<std::uint64_t>(write.termHeld) * 2
                 + static_cast<std::uint64_t>(write.wasReplaced));
    }
    if (m_record) {
        hash.add(m_record->version.value());
        hash.add(m_record->record.term.value());
        hash.add(m_record->record.promoter.value());
        hash.add(static_cast<std::uint64_t>(m_record->record.phase));
    }
    hash.add(m_options.crashes);
    hash.add(m_options.storeFailures);
    hash.add(m_options.timers);
    return hash.value();
}

} // namespace fescuespring
