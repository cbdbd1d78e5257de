#pragma once

#include "confirmation/confirmer.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace fescuespring {

// What is to be done next for a request.
enum class RequestStep {
    // Send the next call of the attempt.
    SendNext,

    // The database has done everything: wait for confirmation before the answer is passed on.
    Confirm,

    // Route the request again and begin another attempt.
    Retry,

    // Answer with outcome and reason.
    Finish,
};

const char *toString(RequestStep step);

struct RequestVerdict
{
    RequestStep step = RequestStep::Finish;
    Outcome outcome = Outcome::Unknown;

    // Why it is retried or not done; to be counted for both.
    Reason reason = Reason::None;

    // The connection has an open call or transaction: close it, so that a late answer can never
    // reach its next user and the transaction is rolled back.
    bool closeConnection = false;
};

struct RequestTraits
{
    Access access = Access::Read;
    bool idempotent = false;

    // A transaction of this many statements between Begin and Commit; one statement runs alone.
    std::size_t statements = 1;

    // Whether the answer has to be confirmed before it is passed on: writes always, reads where the
    // read router says so.
    bool needsConfirmation = true;
};

struct RequestLifeOptions
{
    unsigned maximumAttempts = 3;

    // Asked once for each retry that the kind of request allows; none means yes.
    std::function<bool()> mayRetry = {};
};

// The life of one request at the owner of its database, from the queue to its answer. It keeps what
// may have reached a database, so that the outcome is true in every case:
//
// - NotRun: nothing was sent, or the database said that it refused or that the statement had no
//   effect; and the same holds of every earlier attempt.
// - Done: the database did it and the confirmation held.
// - Unknown: everything else.
//
// A write that is not idempotent is never sent again once its bytes may have reached a database,
// not even after a refusal. Opening a connection sends nothing of a request.
//
//     RequestLife life(traits, options);
//     while a connection is to be had
//         life.sending();
//         verdict = life.answered(answer);
class RequestLife
{
public:
    explicit RequestLife(RequestTraits traits, RequestLifeOptions options = {});

    // The call that SendNext, or a new attempt, sends now.
    CallKind nextCall() const;

    // Index of the statement that a Run or Statement call carries.
    std::size_t statement() const
    {
        return m_statement;
    }

    // To be called before the first byte of nextCall is written.
    void sending();

    // The attempt ended before any byte of a call was written.
    RequestVerdict notSent(Reason reason);

    // The open call was answered. A repeated answer, also to Begin, stands for the whole request:
    // it ran before, and its result holds one line for each statement.
    RequestVerdict answered(const StatementAnswer &answer);

    // The connection broke while a call was open, or between two calls of a transaction.
    RequestVerdict connectionLost();

    // Time is up, wherever the request stands.
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
    RequestLifeOptions m_options;
    Position m_position;
    std::size_t m_statement = 0;
    unsigned m_attempts = 1;

    // The open call, and what the calls of this and of earlier attempts may have done.
    bool m_isCallOpen = false;
    bool m_hasBegun = false;
    bool m_wasSent = false;
    bool m_mayHaveRun = false;
    bool m_mayHaveRunBefore = false;
};

// The results of the statements of a request that was answered from the record.
std::vector<std::string> splitRecordedResults(const std::string &recorded, std::size_t statements);

// The reason that stands for a database's refusal.
Reason reasonOf(CallRefusal refusal);

} // namespace fescuespring
