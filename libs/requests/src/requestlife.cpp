#include "requests/requestlife.h"

#include <array>

namespace fescuespring {

namespace {

constexpr std::array stepNames{"send-next", "confirm", "retry", "finish"};

} // namespace

const char *toString(RequestStep step)
{
    return stepNames[static_cast<std::size_t>(step)];
}

Reason reasonOf(CallRefusal refusal)
{
    switch (refusal) {
    case CallRefusal::LowerTerm:
    case CallRefusal::NotPrimary:
        return Reason::PrimaryReplaced;
    case CallRefusal::ConnectionLimit:
        return Reason::ConnectionLimit;
    case CallRefusal::None:
    case CallRefusal::NotOpen:
    case CallRefusal::Busy:
        return Reason::UpstreamRefused;
    }
    return Reason::UpstreamRefused;
}

std::vector<std::string> splitRecordedResults(const std::string &recorded, std::size_t statements)
{
    if (statements <= 1)
        return {recorded};
    std::vector<std::string> results;
    std::size_t begin = 0;
    while (results.size() + 1 < statements) {
        const std::size_t end = recorded.find('\n', begin);
        if (end == std::string::npos)
            break;
        results.push_back(recorded.substr(begin, end - begin));
        begin = end + 1;
    }
    results.push_back(recorded.substr(begin));
    return results;
}

RequestLifecycle::RequestLifecycle(RequestTraits traits, RequestLifecycleOptions options)
    : m_traits(traits)
    , m_options(std::move(options))
    , m_position(firstPosition())
{}

RequestLifecycle::Position RequestLifecycle::firstPosition() const
{
    return isTransaction() ? Position::Begin : Position::Statement;
}

CallKind RequestLifecycle::nextCall() const
{
    if (!isTransaction())
        return CallKind::Run;
    switch (m_position) {
    case Position::Begin:
        return CallKind::Begin;
    case Position::Statement:
        return CallKind::Statement;
    case Position::Commit:
    case Position::Done:
        return CallKind::Commit;
    }
    return CallKind::Commit;
}

void RequestLifecycle::sending()
{
    m_isCallOpen = true;
    m_wasSent = true;
    m_hasBegun = m_hasBegun || m_position == Position::Begin;
    m_mayHaveRun = m_mayHaveRun || m_position != Position::Begin;
}

RequestVerdict RequestLifecycle::notSent(Reason reason)
{
    return endAttempt(reason, m_hasBegun);
}

RequestVerdict RequestLifecycle::answered(const StatementAnswer &answer)
{
    m_isCallOpen = false;
    switch (answer.outcome) {
    case CallOutcome::Done:
        return answer.repeated ? allDone() : advanceAfterDone();
    case CallOutcome::Refused: {
        const bool isFirstStatement = m_position != Position::Commit && m_statement == 0;
        m_mayHaveRun = m_mayHaveRun && !isFirstStatement;
        return endAttempt(reasonOf(answer.refusal), m_hasBegun);
    }
    case CallOutcome::Failed:
        m_mayHaveRun = false;
        return finish(Reason::StatementFailed, false);
    }
    return finish(Reason::UpstreamRefused, true);
}

RequestVerdict RequestLifecycle::advanceAfterDone()
{
    if (m_position == Position::Begin) {
        m_position = Position::Statement;
    } else if (m_position == Position::Statement) {
        ++m_statement;
        if (m_statement == m_traits.statements)
            m_position = isTransaction() ? Position::Commit : Position::Done;
    } else {
        m_position = Position::Done;
    }
    if (m_position != Position::Done)
        return {.step = RequestStep::SendNext};
    return allDone();
}

RequestVerdict RequestLifecycle::allDone()
{
    m_position = Position::Done;
    m_hasBegun = false;
    m_mayHaveRun = true;
    if (m_traits.needsConfirmation)
        return {.step = RequestStep::Confirm};
    return {.step = RequestStep::Finish, .outcome = Outcome::Done};
}

RequestVerdict RequestLifecycle::connectionLost()
{
    return endAttempt(Reason::ConnectionLost, true);
}

RequestVerdict RequestLifecycle::deadlinePassed()
{
    return finish(Reason::DeadlinePassed, m_isCallOpen || m_hasBegun);
}

RequestVerdict RequestLifecycle::confirmed(ConfirmationOutcome outcome)
{
    if (outcome == ConfirmationOutcome::Confirmed)
        return {.step = RequestStep::Finish, .outcome = Outcome::Done};
    if (outcome == ConfirmationOutcome::NotDurableInTime)
        return finish(reasonOf(outcome), false);
    return endAttempt(reasonOf(outcome), false);
}

RequestVerdict RequestLifecycle::endAttempt(Reason reason, bool closeConnection)
{
    const bool isAllowed = isRepeatable() || !m_wasSent;
    if (!isAllowed || m_attempts >= m_options.maximumAttempts)
        return finish(reason, closeConnection);
    if (m_options.mayRetry && !m_options.mayRetry())
        return finish(Reason::RetryBudgetSpent, closeConnection);
    m_mayHaveRunBefore = m_mayHaveRunBefore || m_mayHaveRun;
    ++m_attempts;
    m_position = firstPosition();
    m_statement = 0;
    m_isCallOpen = false;
    m_hasBegun = false;
    m_wasSent = false;
    m_mayHaveRun = false;
    return {.step = RequestStep::Retry, .reason = reason, .closeConnection = closeConnection};
}

RequestVerdict RequestLifecycle::finish(Reason reason, bool closeConnection) const
{
    const bool mayHaveRun = m_mayHaveRun || m_mayHaveRunBefore;
    return {.step = RequestStep::Finish,
            .outcome = mayHaveRun ? Outcome::Unknown : Outcome::NotRun,
            .reason = reason,
            .closeConnection = closeConnection};
}

} // namespace fescuespring
