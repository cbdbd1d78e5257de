#pragma once

#include "confirmation/confirmer.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace fescuespring {

// The next step for a request.
enum class RequestStep {
    // Send the next call of the attempt.
    SendNext,

    // The database has run the whole request: wait for confirmation before the answer is returned.
    Confirm,

    // Route the request again for another attempt.
    Retry,

    // Answer with outcome and reason.
    Finish,
};

const char *toString(RequestStep step);

struct RequestVerdict
{
    RequestStep step = RequestStep::Finish;
    Outcome outcome = Outcome::Unknown;

    // Why the request is retried or not done; counted in metrics in both cases.
    Reason reason = Reason::None;

    // Whether the connection has an open call or transaction and must be closed, so that a late
    // answer never reaches the next user and the transaction is rolled back.
    bool closeConnection = false;
};

struct RequestTraits
{
    Access access = Access::Read;
    bool idempotent = false;

    // Number of statements. More than one run as a transaction between Begin and Commit.
    std::size_t statements = 1;

    // Whether the answer must be confirmed before it is returned: always for writes, and for reads
    // if the read router requires it.
    bool needsConfirmation = true;
};

struct RequestLifecycleOptions
{
    unsigned maximumAttempts = 3;

    // Called before each retry that the kind of request allows. If empty, retries are allowed.
    std::function<bool()> mayRetry = {};
};

// State machine of one request at the owner of its database, from the queue to its answer. It
// tracks what may have reached a database, so that the reported outcome is always correct:
//
// - NotRun: nothing was sent, or the database replied that it refused the request or that the
//   statement had no effect; and the same applies to all earlier attempts.
// - Done: the database ran the request, and the answer was confirmed where required.
// - Unknown: everything else.
//
// A write that is not idempotent is never sent again once any of its bytes may have reached a
// database, not even after a refusal. Opening a connection sends no part of a request.
//
//     RequestLifecycle life(traits, options);
//     while a connection is available
//         life.sending();
//         verdict = life.answered(answer);
class RequestLifecycle
{
public:
    explicit RequestLifecycle(RequestTraits traits, RequestLifecycleOptions options = {});

    // The call to send next.
    CallKind nextCall() const;

    // Index of the statement that a Run or Statement call carries.
    std::size_t statement() const
    {
        return m_statement;
    }

    // Must be called before the first byte of nextCall() is written.
    void sending();

    // The attempt ended before any byte of a call was written.
    RequestVerdict notSent(Reason reason);

    // The open call was answered. A repeated answer, even to Begin, is the answer to the whole
    // request, which ran before; its result has one line for each statement.
    RequestVerdict answered(const StatementAnswer &answer);

    // The connection broke while a call was open, or between two calls of a transaction.
    RequestVerdict connectionLost();

    // The deadline has passed, in any state.
    RequestVerdict deadlinePassed();

    RequestVerdict confirmed(ConfirmationOutcome outcome);

    unsigned attempts() const
    {
        return m_attempts;
    }

private:
    enum class Position {
        Begin,
        Statement,
        Commit,
        Done,
    };

    bool isTransaction() const
    {
        return m_traits.statements > 1;
    }
    bool isRepeatable() const
    {
        return m_traits.idempotent || m_traits.access == Access::Read;
    }
    Position firstPosition() const;
    RequestVerdict advanceAfterDone();
    RequestVerdict allDone();
    RequestVerdict endAttempt(Reason reason, bool closeConnection);
    RequestVerdict finish(Reason reason, bool closeConnection) const;

    RequestTraits m_traits;
    RequestLifecycleOptions m_options;
    Position m_position;
    std::size_t m_statement = 0;
    unsigned m_attempts = 1;

    // State of the open call, and possible effects of the calls of this and earlier attempts.
    bool m_isCallOpen = false;
    bool m_hasBegun = false;
    bool m_wasSent = false;
    bool m_mayHaveRun = false;
    bool m_mayHaveRunBefore = false;
};

// Splits a recorded answer of a request into the results of its statements.
std::vector<std::string> splitRecordedResults(const std::string &recorded, std::size_t statements);

// Maps the refusal of a database to a reason.
Reason reasonOf(CallRefusal refusal);

} // namespace fescuespring
