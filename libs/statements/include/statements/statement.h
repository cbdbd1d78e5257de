#pragma once

#include "base/types.h"
#include "messages/upstream.h"

#include <optional>
#include <string>
#include <vector>

namespace fescuespring {

// Kind of a statement of an interactive session or of this VM itself.
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

// One statement, parsed as far as this VM needs.
struct Statement
{
    StatementKind kind = StatementKind::Read;

    // The value's name for SetValue; the prepared statement's name for Prepare, Execute and
    // Deallocate.
    std::string name = {};

    // Access of the prepared statement; for Prepare only.
    StatementAccess access = StatementAccess::Read;

    // The rest of the text as sent by the caller: the item of a read, the item and data of a write
    // or an execution, a value, or the shape of a prepared statement.
    std::string argument = {};

    // For Pause and Demote only.
    Term term = {};

    bool operator==(const Statement &) const = default;
};

// State of a session or of a connection to a database after a reply.
enum class SessionPhase {
    Idle,
    InTransaction,

    // The transaction has failed; only commit and rollback are accepted.
    Failed,
};

// Why a statement did not succeed.
enum class StatementFailure {
    None,

    // The statement has no lasting effect.
    Busy,
    Aborted,
    Lagging,
    ReadOnly,
    WrongDatabase,
    Overload,
    UnknownPrepared,
    Malformed,
    UnknownRoute,

    // The statement ran and failed.
    Failed,

    // The outcome is unknown.
    TimedOut,
    InDoubt,

    // The caller's API key identifies no customer; the statement has no lasting effect.
    Unauthorized,
};

const char *toString(StatementFailure failure);

// Whether a failure means that the statement has not run.
bool meansNotRun(StatementFailure failure);

// Status that a database reports in reply to Status, Pause and Demote.
struct UpstreamStatus
{
    Role role = Role::Replica;

    // Term that the database leads or follows, and the last entry of its log, which may have an
    // earlier term.
    Term term;
    LogPoint received;

    // Highest term that the database was paused for since it started; 0 if none. It accepts no
    // entries of lower terms.
    Term heldTerm;

    // The database has run without a restart at least since then: the connection that brought the
    // status was open already. Empty if unknown. Valid on this VM only.
    std::optional<Instant> runningSince = {};
};

// The reply to one statement.
struct StatementReply
{
    StatementFailure failure = StatementFailure::None;

    // Human-readable text after the failure code.
    std::string message = {};

    std::vector<std::string> rows = {};

    // The database's signature of a read, write or commit; "-" for other statements.
    std::string signature = {};

    SessionPhase phase = SessionPhase::Idle;

    // Log position of the database, if the reply came from a database.
    std::optional<LogPoint> position = {};

    // Set in replies to Status, Pause and Demote.
    std::optional<UpstreamStatus> status = {};

    bool isSuccess() const
    {
        return failure == StatementFailure::None;
    }
};

} // namespace fescuespring
