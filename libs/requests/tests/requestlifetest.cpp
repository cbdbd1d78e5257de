#include "requests/requestlife.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;

namespace {

StatementAnswer done(bool repeated = false)
{
    StatementAnswer answer;
    answer.outcome = CallOutcome::Done;
    answer.repeated = repeated;
    return answer;
}

StatementAnswer refused(CallRefusal refusal)
{
    StatementAnswer answer;
    answer.outcome = CallOutcome::Refused;
    answer.refusal = refusal;
    return answer;
}

StatementAnswer failed()
{
    return {};
}

constexpr RequestTraits nonIdempotentWrite{.access = Access::Write, .idempotent = false};
constexpr RequestTraits idempotentWrite{.access = Access::Write, .idempotent = true};
constexpr RequestTraits transaction{.access = Access::Write, .idempotent = false, .statements = 2};

} // namespace

class RequestLifeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestLifeTest);
    CPPUNIT_TEST(doneOnlyAfterConfirmation);
    CPPUNIT_TEST(notSentIsNotRunAndMayBeRetried);
    CPPUNIT_TEST(nonIdempotentWriteIsNeverSentTwice);
    CPPUNIT_TEST(refusalAfterALostAttemptIsUnknown);
    CPPUNIT_TEST(lostTransactionIsUnknownAndClosesTheConnection);
    CPPUNIT_TEST(beginWithoutStatementsIsNotRun);
    CPPUNIT_TEST(failedStatementHadNoEffect);
    CPPUNIT_TEST(repeatedBeginAnswersTheWholeTransaction);
    CPPUNIT_TEST(deadlineWithAnOpenCallClosesTheConnection);
    CPPUNIT_TEST(retryBudgetIsChecked);
    CPPUNIT_TEST(unconfirmedWriteIsUnknown);
    CPPUNIT_TEST_SUITE_END();

public:
    void doneOnlyAfterConfirmation()
    {
        RequestLifecycle life(nonIdempotentWrite);
        life.sending();
        assertStep(RequestStep::Confirm, life.answered(done()));
        assertFinish(Outcome::Done, Reason::None, life.confirmed(ConfirmationOutcome::Confirmed));
    }

    void notSentIsNotRunAndMayBeRetried()
    {
        RequestLifecycle life(nonIdempotentWrite, {.maximumAttempts = 2});
        assertStep(RequestStep::Retry, life.notSent(Reason::ConnectionLimit));
        assertFinish(Outcome::NotRun, Reason::ConnectionLimit,
                     life.notSent(Reason::ConnectionLimit));
    }

    void nonIdempotentWriteIsNeverSentTwice()
    {
        RequestLifecycle lost(nonIdempotentWrite);
        lost.sending();
        assertFinish(Outcome::Unknown, Reason::ConnectionLost, lost.connectionLost());

        RequestLifecycle rejected(nonIdempotentWrite);
        rejected.sending();
        assertFinish(Outcome::NotRun, Reason::PrimaryReplaced,
                     rejected.answered(refused(CallRefusal::LowerTerm)));
    }

    void refusalAfterALostAttemptIsUnknown()
    {
        RequestLifecycle life(idempotentWrite, {.maximumAttempts = 2});
        life.sending();
        assertStep(RequestStep::Retry, life.connectionLost());
        life.sending();
        assertFinish(Outcome::Unknown, Reason::PrimaryReplaced,
                     life.answered(refused(CallRefusal::NotPrimary)));
    }

    void lostTransactionIsUnknownAndClosesTheConnection()
    {
        RequestLifecycle life(transaction);
        life.sending();
        assertStep(RequestStep::SendNext, life.answered(done()));
        CPPUNIT_ASSERT(life.nextCall() == CallKind::Statement);
        life.sending();
        const RequestVerdict verdict = life.connectionLost();
        assertFinish(Outcome::Unknown, Reason::ConnectionLost, verdict);
        CPPUNIT_ASSERT(verdict.closeConnection);
    }

    void beginWithoutStatementsIsNotRun()
    {
        RequestLifecycle life(transaction);
        life.sending();
        assertFinish(Outcome::NotRun, Reason::ConnectionLost, life.connectionLost());
    }

    void failedStatementHadNoEffect()
    {
        RequestLifecycle life(nonIdempotentWrite);
        life.sending();
        assertFinish(Outcome::NotRun, Reason::StatementFailed, life.answered(failed()));

        RequestLifecycle second(idempotentWrite);
        second.sending();
        second.connectionLost();
        second.sending();
        assertFinish(Outcome::Unknown, Reason::StatementFailed, second.answered(failed()));
    }

    void repeatedBeginAnswersTheWholeTransaction()
    {
        RequestLifecycle life(transaction);
        life.sending();
        assertStep(RequestStep::Confirm, life.answered(done(true)));
        assertFinish(Outcome::Unknown, Reason::NotDurableInTime,
                     life.confirmed(ConfirmationOutcome::NotDurableInTime));
        const std::vector<std::string> results = splitRecordedResults("ok\n7", 2);
        CPPUNIT_ASSERT((results == std::vector<std::string>{"ok", "7"}));
    }

    void deadlineWithAnOpenCallClosesTheConnection()
    {
        RequestLifecycle life(nonIdempotentWrite);
        assertFinish(Outcome::NotRun, Reason::DeadlinePassed, life.deadlinePassed());
        life.sending();
        const RequestVerdict verdict = life.deadlinePassed();
        assertFinish(Outcome::Unknown, Reason::DeadlinePassed, verdict);
        CPPUNIT_ASSERT(verdict.closeConnection);
    }

    void retryBudgetIsChecked()
    {
        RequestLifecycle life(idempotentWrite, {.mayRetry = [] {
                                  return false;
                              }});
        assertFinish(Outcome::NotRun, Reason::RetryBudgetSpent,
                     life.notSent(Reason::UpstreamUnreachable));
    }

    void unconfirmedWriteIsUnknown()
    {
        RequestLifecycle life(nonIdempotentWrite);
        life.sending();
        life.answered(done());
        assertFinish(Outcome::Unknown, Reason::TermNotConfirmed,
                     life.confirmed(ConfirmationOutcome::TermNotConfirmed));
    }

private:
    void assertStep(RequestStep step, const RequestVerdict &verdict)
    {
        CPPUNIT_ASSERT_EQUAL(std::string(toString(step)), std::string(toString(verdict.step)));
    }

    void assertFinish(Outcome outcome, Reason reason, const RequestVerdict &verdict)
    {
        assertStep(RequestStep::Finish, verdict);
        CPPUNIT_ASSERT_EQUAL(std::string(toString(outcome)),
                             std::string(toString(verdict.outcome)));
        CPPUNIT_ASSERT_EQUAL(std::string(toString(reason)), std::string(toString(verdict.reason)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestLifeTest);
