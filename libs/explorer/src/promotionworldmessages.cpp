#include "explorer/promotionworld.h"

#include "promotionworldparts.h"

#include <algorithm>
#include <array>
#include <utility>

// The messages of a PromotionWorld: their delivery, and what the VMs do with the answers.

namespace fescuespring {

using namespace promotionworld;

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

} // namespace fescuespring
