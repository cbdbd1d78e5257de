#pragma once

#include "base/types.h"
#include "databasemodel/statement.h"
#include "messages/upstream.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace fescuespring {

// The answer of a non-idempotent write, stored with the write so that a repeated call with the same
// id is answered from it instead of running again.
struct RequestRecord
{
    RequestId id;
    std::string result;

    bool operator==(const RequestRecord &) const = default;
};

// One committed transaction, or the entry that starts a term (no effects, no record).
struct LogEntry
{
    Term term;
    std::vector<Effect> effects;
    std::optional<RequestRecord> record;

    bool operator==(const LogEntry &) const = default;
};

// A replica's request for the entries after a point of its own log, at the term it follows under.
struct LogRequest
{
    DatabaseId from;
    Term term;
    LogPoint after;
};

enum class LogOutcome {
    // The entries after the point; none if the log ends there.
    Entries,
    // The point is not in the log; history and tip show where the logs diverge.
    Diverged,
    // Not primary of that term.
    Refused,
};

const char *toString(LogOutcome outcome);
std::optional<LogOutcome> logOutcomeFromString(std::string_view text);

struct LogBatch
{
    LogOutcome outcome = LogOutcome::Refused;
    Term term;
    LogPoint after;
    std::vector<LogEntry> entries;
    TermHistory history;
    LogPoint tip;

    // How long the primary held the request before it replied: the batch contains everything
    // committed until that long after the request was sent.
    Duration waited{0};
};

// Entries from position 1, with the terms they were written under.
class Log
{
public:
    void append(LogEntry entry);

    // Drops every entry after position.
    void truncate(LogPosition position);

    // The entry at position, which must be in the log.
    const LogEntry &at(LogPosition position) const;

    LogPosition end() const;
    LogPoint tip() const;
    LogPoint point(LogPosition position) const;
    bool holds(const LogPoint &point) const;
    const TermHistory &history() const;

private:
    std::deque<LogEntry> m_entries;
    TermHistory m_history;
};

// The last position up to which a log agrees with another one, given its history and tip.
// Entries of one term are written by one primary, so two logs agree on a term they share.
LogPosition lastCommonPosition(const Log &log, const TermHistory &otherHistory,
                               const LogPoint &otherTip);

} // namespace fescuespring
