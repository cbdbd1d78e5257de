#include "fescuesoak/ledger.h"

#include <algorithm>
#include <utility>

namespace fescuespring {

namespace {

std::string describeWrite(const SoakWrite &write)
{
    return write.group + ' ' + write.item + '=' + std::to_string(write.value) + " id "
           + write.id.value();
}

std::string millisecondsText(Instant at)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch());
    return "at " + std::to_string(age.count()) + " ms";
}

} // namespace

void Ledger::sent(const SoakWrite &write)
{
    m_items[write.group][write.item].push_back(write.id);
    m_records[write.id].write = write;
}

void Ledger::ended(const RequestId &id, WriteFate fate, Instant now)
{
    Record &record = m_records[id];
    record.fate = fate;
    record.endedAt = now;
}

void Ledger::read(const SoakRead &read)
{
    m_reads.push_back(read);
}

void Ledger::committed(const std::string &group, const CommittedWrites &writes)
{
    for (const RequestId &id : writes.ids) {
        const auto record = m_records.find(id);
        if (record == m_records.end() || record->second.write.group != group)
            violated("unasked", group + " committed id " + id.value());
        else
            record->second.commits.push_back({{id}, writes.point, writes.at});
    }
}

void Ledger::violated(std::string rule, std::string what)
{
    m_found.push_back({std::move(rule), std::move(what)});
}

std::vector<SoakViolation> Ledger::violations(const TermsOf &termsOf) const
{
    std::vector<SoakViolation> found = m_found;
    std::map<std::string, std::vector<TermBeginning>> terms;
    for (const auto &[group, items] : m_items)
        terms[group] = termsOf(group);
    for (const auto &[id, record] : m_records)
        checkWrite(record, terms[record.write.group], found);
    for (const SoakRead &read : m_reads)
        checkRead(read, terms[read.group], found);
    return found;
}

void Ledger::checkWrite(const Record &record, const std::vector<TermBeginning> &terms,
                        std::vector<SoakViolation> &found) const
{
    const std::string what = describeWrite(record.write);
    if (record.commits.size() > 1)
        found.push_back({"twice", what});
    if (record.fate == WriteFate::NotRun && !record.commits.empty())
        found.push_back({"kept-after-refusal", what});
    if (record.fate != WriteFate::Acknowledged)
        return;
    if (record.commits.empty()) {
        found.push_back({"acknowledged-without-commit", what});
        return;
    }
    const CommittedWrites &commit = record.commits.front();
    for (const TermBeginning &term : terms) {
        if (term.term > commit.point.term && commit.at > term.at)
            found.push_back({"acknowledged-by-replaced-primary", what});
    }
}

void Ledger::checkRead(const SoakRead &read, const std::vector<TermBeginning> &terms,
                       std::vector<SoakViolation> &found) const
{
    const std::string what = read.group + ' ' + read.item + " read " + std::to_string(read.value)
                             + " of " + read.signature;
    if (read.value != 0) {
        const Record *record = recordOf(read.group, read.item, read.value);
        if (!record)
            found.push_back({"foreign-value", what});
        else if (record->fate == WriteFate::NotRun)
            found.push_back({"kept-after-refusal", what});
    }
    const std::uint64_t required = requiredValue(read.group, read.item, read.coversUpTo, terms);
    if (read.value < required)
        found.push_back({"stale", what + " sent " + millisecondsText(read.sentAt) + ", "
                                          + std::to_string(required) + " was acknowledged "
                                          + acknowledgedText(read.group, read.item, required)});
}

std::string Ledger::acknowledgedText(const std::string &group, const std::string &item,
                                     std::uint64_t value) const
{
    const Record *record = recordOf(group, item, value);
    return millisecondsText(record->endedAt) + " id " + record->write.id.value();
}

const Ledger::Record *Ledger::recordOf(const std::string &group, const std::string &item,
                                       std::uint64_t value) const
{
    const auto items = m_items.find(group);
    if (items == m_items.end())
        return nullptr;
    const auto ids = items->second.find(item);
    if (ids == items->second.end())
        return nullptr;
    for (const RequestId &id : ids->second) {
        const Record &record = m_records.at(id);
        if (record.write.value == value)
            return &record;
    }
    return nullptr;
}

bool Ledger::isCut(const std::vector<TermBeginning> &terms, const LogPoint &point)
{
    return std::any_of(terms.begin(), terms.end(), [&point](const TermBeginning &beginning) {
        return beginning.term > point.term && beginning.start <= point.position;
    });
}

std::uint64_t Ledger::requiredValue(const std::string &group, const std::string &item, Instant upTo,
                                    const std::vector<TermBeginning> &terms) const
{
    const auto items = m_items.find(group);
    if (items == m_items.end())
        return 0;
    const auto ids = items->second.find(item);
    if (ids == items->second.end())
        return 0;
    for (auto id = ids->second.rbegin(); id != ids->second.rend(); ++id) {
        const Record &record = m_records.at(*id);
        const bool counts = record.fate == WriteFate::Acknowledged && record.endedAt <= upTo
                            && !record.commits.empty();
        if (counts && !isCut(terms, record.commits.front().point))
            return record.write.value;
    }
    return 0;
}

std::vector<std::string> Ledger::items(const std::string &group) const
{
    std::vector<std::string> names;
    const auto items = m_items.find(group);
    if (items == m_items.end())
        return names;
    for (const auto &[item, ids] : items->second)
        names.push_back(item);
    return names;
}

std::size_t Ledger::acknowledgedCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_records.begin(), m_records.end(), [](const auto &entry) {
                return entry.second.fate == WriteFate::Acknowledged;
            }));
}

} // namespace fescuespring
