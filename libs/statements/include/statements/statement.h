#pragma once

#include "base/types.h"
#include "messages/upstream.h"

#include <optional>
#include <string>
#include <vector>

namespace fescuespring {

// What a statement of an interactive session, or of this VM itself, does.
enum class StatementKind {
    Begin,
    BeginReadOnly,
    Commit,
    Rollback,
    Read,
    Write,
    SetValue,
    Prepare,
    Execute,
    Deallocate,

    // Sent by this VM only.
    Reset,
    Status,
    Pause,
    Resume,
    Demote,
};

const char *toString(StatementKind kind);

// Whether a prepared statement reads or writes.
enum class StatementAccess {
    Read,
    Write,
};

// One statement, taken apart as far as this VM has to know it.
struct Statement
{
    StatementKind kind = StatementKind::Read;

    // Of SetValue the value's name; of Prepare, Execute and Deallocate the prepared name.
    std::string name = {};

    // Of Prepare only: what the prepared statement is.
    StatementAccess access = StatementAccess::Read;

    // The rest of the text as the caller sent it: the item of a read, item and data of a write or
    // an execution, a value, the shape of a prepared statement.
    std::string argument = {};

    // Of Pause and Demote only.
    Term term = {};

    bool operator==(const Statement &) const = default;
};

// State of a session or of a connection to a database after an answer.
enum class SessionPhase {
    Idle,
    InTransaction,

    // The transaction has failed; only its end is accepted.
    Failed,
};

// Why a statement did not succeed.
enum class StatementFailure {
    None,

    // Nothing of the caller's attempt is kept.
    Busy,
    Aborted,
    Lagging,
    ReadOnly,
    WrongDatabase,
    Overload,
    UnknownPrepared,
    Malformed,
    UnknownRoute,

    // It ran and failed.
    Failed,

    // Nothing is known of its fate.
    TimedOut,
    InDoubt,
};

const char *toString(StatementFailure failure);

// Whether a failure says that the statement has not run.
bool meansNotRun(StatementFailure failure);

// What a database says of itself in answer to Status, Pause and Demote.
struct UpstreamStatus
{
    Role role = Role::Replica;

    // Term that it leads or follows, and the last entry of its log; the entry may be of an earlier
    // term.
    Term term;
    LogPoint received;

    // Highest term that it was told to hold for; 0 if none. It receives nothing of lower ones.
    Term heldTerm;
};

// The answer to one statement.
struct StatementReply
{
    StatementFailure failure = StatementFailure::None;

    // Text after the code of a failure, for people.
    std::string message = {};

    std::vector<std::string> rows = {};

    // The database's signature of a read, write or commit; "-" for all else.
    std::string signature = {};

    SessionPhase phase = SessionPhase::Idle;

    // Position of the database's log, where the answer came from a database.
    std::optional<LogPoint> position = {};

    // With Status, Pause and Demote.
    std::optional<UpstreamStatus> status = {};

    bool isSuccess() const
    {
        return failure == StatementFailure::None;
    }
};

} // namespace fescuespring
