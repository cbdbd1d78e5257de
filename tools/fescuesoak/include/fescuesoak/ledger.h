#pragma once

#include "base/types.h"
#include "messages/upstream.h"
#include "platformstandins/estate.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace fescuespring {

// What a caller was told of a write.
enum class WriteFate {
    Sent,
    Acknowledged,

    // Nothing of it is kept.
    NotRun,

    // Nothing is known of it.
    Unknown,
};

struct SoakWrite
{
    RequestId id;
    std::string group;
    std::string item;

    // The item's value; a writer raises it with each write of the item, and nobody else writes it.
    std::uint64_t value = 0;
    Instant sentAt;
};

struct SoakRead
{
    std::string group;
    std::string item;

    // Nothing where the item was not there.
    std::uint64_t value = 0;

    // Writes acknowledged by then had to be seen.
    Instant coversUpTo;
    Instant sentAt;

    // Who answered, for the report.
    std::string signature;
};

// What one rule's breach looked like, for people.
struct SoakViolation
{
    std::string rule;
    std::string what;
};

// The writes and reads of all callers and the commits of all databases, and what they say of the
// promises. One thread.
//
//     Ledger ledger;
//     ledger.sent({.id = id, .group = "group0", .item = "a1", .value = 7, .sentAt = now});
//     ledger.committed("group0", writes);                  // as the database says
//     ledger.ended(id, WriteFate::Acknowledged, now);
//     ledger.violations([](const std::string &group) { return estate.terms(group); });
class Ledger
{
public:
    using TermsOf = std::function<std::vector<TermBeginning>(const std::string &group)>;

    void sent(const SoakWrite &write);
    void ended(const RequestId &id, WriteFate fate, Instant now);
    void read(const SoakRead &read);
    void committed(const std::string &group, const CommittedWrites &writes);

    // A breach that a caller saw at once.
    void violated(std::string rule, std::string what);

    // All breaches, once the run is over.
    std::vector<SoakViolation> violations(const TermsOf &termsOf) const;

    // Whether a later term began before this point of a log, which cut it off.
    static bool isCut(const std::vector<TermBeginning> &terms, const LogPoint &point);

    // The highest value of an item that was acknowledged by a time and not cut off; 0 if none.
    std::uint64_t requiredValue(const std::string &group, const std::string &item, Instant upTo,
                                const std::vector<TermBeginning> &terms) const;

    // Items that some caller has written, for readers to choose from.
    std::vector<std::string> items(const std::string &group) const;

    std::size_t acknowledgedCount() const;
    std::size_t readCount() const
    {
        return m_reads.size();
    }

private:
    struct Record
    {
        SoakWrite write;
        WriteFate fate = WriteFate::Sent;
        Instant endedAt;
        std::vector<CommittedWrites> commits;
    };

    void checkWrite(const Record &record, const std::vector<TermBeginning> &terms,
                    std::vector<SoakViolation> &found) const;
    void checkRead(const SoakRead &read, const std::vector<TermBeginning> &terms,
                   std::vector<SoakViolation> &found) const;
    std::string acknowledgedText(const std::string &group, const std::string &item,
                                 std::uint64_t value) const;
    const Record *recordOf(const std::string &group, const std::string &item,
                           std::uint64_t value) const;

    std::unordered_map<RequestId, Record> m_records;

    // Ids of an item's writes in the order of their values, by group and item.
    std::map<std::string, std::map<std::string, std::vector<RequestId>>> m_items;
    std::vector<SoakRead> m_reads;
    std::vector<SoakViolation> m_found;
};

} // namespace fescuespring
