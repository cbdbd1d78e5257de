#pragma once

#include "base/types.h"
#include "messages/request.h"

#include <chrono>
#include <compare>
#include <string>
#include <vector>

namespace fescuespring {

// A point of a group's history: the entry at position, written under term. Points order by term
// first, so that a discarded tail of an older term never counts as further.
struct LogPoint
{
    Term term;
    LogPosition position;

    // The check takes the 0 that a comparison stands for as a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    constexpr auto operator<=>(const LogPoint &) const = default;
};

// One step of a group's history: the term began with the entry at start.
struct TermStart
{
    Term term;
    LogPosition start;

    // The check takes the 0 that a comparison stands for as a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    constexpr auto operator<=>(const TermStart &) const = default;
};

// The terms of a log, oldest first; terms and starts rise strictly.
using TermHistory = std::vector<TermStart>;

enum class Role {
    Primary,
    Replica,
};

const char *toString(Role role);
std::optional<Role> roleFromString(std::string_view text);

// What a database says of itself on its management port.
struct DatabaseStatus
{
    DatabaseId database;
    GroupId group;
    Role role = Role::Replica;

    // Highest term the database has been fenced at or has followed; it refuses lower ones.
    Term term;

    // Last entry that is safe in its log, and last entry that its reads see.
    LogPoint received;
    LogPoint applied;

    // Age of the data that its reads see, as the database itself knows it; 0 at the primary.
    std::chrono::milliseconds age{0};

    TermHistory history;
};

// What a call on a database connection does. Statements between Begin and Commit are bound to the
// connection; Run is a statement of its own.
enum class CallKind {
    Run,
    Begin,
    Statement,
    Commit,
    Rollback,
};

const char *toString(CallKind kind);
std::optional<CallKind> callKindFromString(std::string_view text);

// One call on a database connection. The database refuses a term lower than its own, and a write
// at a replica. The id of a non-idempotent write is recorded in the same transaction as the write;
// a second write of that id is answered from the record and not run.
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

// The answer to a StatementCall. Refused: not run. Failed: the statement itself is wrong; it had
// no effect and its transaction is rolled back.
struct StatementAnswer
{
    CallOutcome outcome = CallOutcome::Failed;
    CallRefusal refusal = CallRefusal::None;
    std::string result;

    // Term of the database, and the point its log had reached with this call: of the write's own
    // entry for a write or commit, of the last visible entry for a read.
    Term term;
    LogPoint point;

    // True where the id was on record and the call was not run again.
    bool repeated = false;
};

// Asks a database to refuse everything below term from now on, itself included if it is primary.
struct FenceCall
{
    Term term;
};

// Makes a database that was fenced at term the primary of that term. It writes an entry that marks
// the start of the term before it takes any other.
struct PromoteCall
{
    Term term;
};

// Makes a database a replica of primary under term; it drops what diverges from primary's log.
struct FollowCall
{
    Term term;
    Endpoint primary;
};

} // namespace fescuespring
