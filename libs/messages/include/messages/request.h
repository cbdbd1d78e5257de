#pragma once

#include "base/types.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fescuespring {

enum class Access {
    Read,
    Write,
};

// The caller's estimate of how long its work holds a slot.
enum class WorkLength {
    Unknown,
    Short,
    Long,
};

// One request of a caller: a statement, or the statements of one transaction in order. Statements
// are opaque and never parsed.
struct CallerRequest
{
    CustomerId customer;
    SessionId session;
    GroupId group;
    Access access = Access::Read;
    std::vector<std::string> statements;
    RequestId id;
    bool idempotent = false;

    // Time left to answer, counted from the receipt of the request; decreases at each hop.
    std::chrono::milliseconds deadline{0};

    // Set on reads that accept data up to this age; such a read may miss the session's writes.
    std::optional<std::chrono::milliseconds> maximumAge;

    WorkLength length = WorkLength::Unknown;

    // Session token of the last answer, empty at the start of a session.
    std::string token;
};

// Outcome of a request. NotRun is used only if no database ran any part of it.
enum class Outcome {
    Done,
    NotRun,
    Unknown,
};

// Why a request was not run or has an unknown outcome; each has a counter.
enum class Reason {
    None,
    Malformed,
    TooLarge,
    TooManyConnections,
    UnknownCustomer,
    UnknownGroup,
    InvalidToken,
    PlanForbids,
    QueueFull,
    DeadlineTooShort,
    NoOwner,
    NoPrimary,
    PrimaryReplaced,
    HistoryDiscarded,
    TooOld,
    Draining,
    ConnectionLimit,
    UpstreamUnreachable,
    UpstreamRefused,
    StatementFailed,
    RetryBudgetSpent,
    DeadlinePassed,
    ConnectionLost,
    TermNotConfirmed,
    NotDurableInTime,
};

constexpr int reasonCount = static_cast<int>(Reason::NotDurableInTime) + 1;

// Lower-case names with dashes, as used in answers and counters.
const char *toString(Access access);
const char *toString(WorkLength length);
const char *toString(Outcome outcome);
const char *toString(Reason reason);

std::optional<Access> accessFromString(std::string_view text);
std::optional<WorkLength> workLengthFromString(std::string_view text);
std::optional<Outcome> outcomeFromString(std::string_view text);
std::optional<Reason> reasonFromString(std::string_view text);

// The answer to one request; requestId repeats the id of the request to match the two.
struct CallerAnswer
{
    RequestId requestId;
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;

    // One result per statement, in order; empty unless Done.
    std::vector<std::string> results;

    // Session token to send with the session's next request; empty if it did not change.
    std::string token;

    // With NotRun: how long to wait before a retry; zero means that a retry is useless.
    std::chrono::milliseconds retryAfter{0};

    // The database that answered, and whether it was a replica.
    DatabaseId database;
    bool byReplica = false;
};

} // namespace fescuespring
