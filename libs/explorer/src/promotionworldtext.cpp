#include "explorer/explorer.h"
#include "explorer/promotionworld.h"

#include "promotionworldparts.h"

#include <algorithm>

// Descriptions and fingerprints of a PromotionWorld.

namespace fescuespring {

using namespace promotionworld;

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
