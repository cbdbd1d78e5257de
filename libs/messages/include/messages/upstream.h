#pragma once

#include "base/types.h"
#include "messages/request.h"

#include <chrono>
#include <compare>
#include <string>
#include <vector>

namespace fescuespring {

// A point of a group's history: the entry at position, written under term. Points are ordered by
// term first, so that a discarded tail of an older term never compares as more advanced.
struct LogPoint
{
    Term term;
    LogPosition position;

    // clang-tidy mistakes the 0 of the defaulted comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    constexpr auto operator<=>(const LogPoint &) const = default;
};

// One step of a group's history: start is the first entry of the term.
struct TermStart
{
    Term term;
    LogPosition start;

    // clang-tidy mistakes the 0 of the defaulted comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    constexpr auto operator<=>(const TermStart &) const = default;
};

// The terms of a log, oldest first; terms and starts increase strictly.
using TermHistory = std::vector<TermStart>;

enum class Role {
    Primary,
    Replica,
};

const char *toString(Role role);
std::optional<Role> roleFromString(std::string_view text);

// Status that a database reports on its management port.
struct DatabaseStatus
{
    DatabaseId database;
    GroupId group;
    Role role = Role::Replica;

    // Highest term at which the database was fenced or followed a primary; it refuses lower ones.
    Term term;

    // Last entry persisted in its log, and last entry visible to its reads.
    LogPoint received;
    LogPoint applied;

    // Age of the data visible to its reads, by its own measurement; 0 at the primary.
    std::chrono::milliseconds age{0};

    TermHistory history;
};

// Kind of a call on a database connection. Statements between Begin and Commit are bound to the
// connection; Run is a single statement outside a transaction.
enum class CallKind {
    Run,
    Begin,
    Statement,
    Commit,
    Rollback,
};

const char *toString(CallKind kind);
std::optional<CallKind> callKindFromString(std::string_view text);

// One call on a database connection. The database refuses a term lower than its own, and a replica
// refuses writes. The id of a non-idempotent write is recorded in the same transaction as the
// write; a second write with that id is answered from the record and not run.
struct StatementCall
{
    CallKind kind = CallKind::Run;
    Access access = Access::Read;
    Term term;
    RequestId id;
    bool idempotent = true;
    std::string statement;
};

enum class CallOutcome {
    Done,
    Refused,
    Failed,
};

const char *toString(CallOutcome outcome);
std::optional<CallOutcome> callOutcomeFromString(std::string_view text);

// Why a database did not run a call.
enum class CallRefusal {
    None,
    LowerTerm,
    NotPrimary,
    ConnectionLimit,
    NotOpen,
    Busy,
};

const char *toString(CallRefusal refusal);
std::optional<CallRefusal> callRefusalFromString(std::string_view text);

// The answer to a StatementCall. Refused: not run. Failed: the statement itself is invalid; it had
// no effect and its transaction is rolled back.
struct StatementAnswer
{
    CallOutcome outcome = CallOutcome::Failed;
    CallRefusal refusal = CallRefusal::None;
    std::string result;

    // Term of the database, and a point in its log: the entry of a write or commit, the last
    // visible entry for a read.
    Term term;
    LogPoint point;

    // True if the id was already recorded and the call was not run again.
    bool repeated = false;
};

// Makes a database refuse all lower terms from now on, including its own if it is primary.
struct FenceCall
{
    Term term;
};

// Makes a database that was fenced at term the primary of that term. Before it accepts any other
// entry, it writes one that marks the start of the term.
struct PromoteCall
{
    Term term;
};

// Makes a database a replica of primary under term; it discards entries that diverge from the log
// of primary.
struct FollowCall
{
    Term term;
    Endpoint primary;
};

} // namespace fescuespring
