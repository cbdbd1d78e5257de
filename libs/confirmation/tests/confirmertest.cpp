#include "confirmation/confirmer.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;
using std::chrono::milliseconds;

namespace {

const Instant answeredAt = Instant() + std::chrono::seconds(10);
const Instant deadline = answeredAt + milliseconds(100);
constexpr LogPoint written{Term(1), LogPosition(10)};

GroupView unprobedView()
{
    GroupView view(GroupId("herd"));
    view.setSites({{.database = DatabaseId("d1")},
                   {.database = DatabaseId("d2")},
                   {.database = DatabaseId("d3")}});
    return view;
}

void reportStatus(GroupView &view, const char *name, Term term, LogPosition received,
                  Instant askedAt)
{
    DatabaseStatus status;
    status.database = DatabaseId(name);
    status.role = name == std::string("d1") ? Role::Primary : Role::Replica;
    status.term = term;
    status.received = {Term(1), received};
    status.history = {{Term(1), LogPosition(1)}};
    view.applyStatus(status, askedAt, askedAt + milliseconds(1));
}

Confirmer waitingConfirmer(std::optional<LogPoint> durablePoint)
{
    Confirmer confirmer;
    confirmer.await({.id = ConfirmationId(1),
                     .term = Term(1),
                     .since = answeredAt,
                     .deadline = deadline,
                     .durablePoint = durablePoint});
    return confirmer;
}

} // namespace

class ConfirmerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfirmerTest);
    CPPUNIT_TEST(needsAMajorityProbedAfterTheAnswer);
    CPPUNIT_TEST(durableWriteNeedsAMajorityOfCopies);
    CPPUNIT_TEST(supersededTermFailsAtOnce);
    CPPUNIT_TEST(deadlineEndsTheWait);
    CPPUNIT_TEST(oneRoundServesAllWaitingAnswers);
    CPPUNIT_TEST(repeatedWriteOfAnOlderTermNeedsTheFirstEntryOfTheTerm);
    CPPUNIT_TEST_SUITE_END();

public:
    void needsAMajorityProbedAfterTheAnswer()
    {
        Confirmer confirmer = waitingConfirmer(std::nullopt);
        GroupView view = unprobedView();
        reportStatus(view, "d1", Term(1), written.position, answeredAt);
        reportStatus(view, "d2", Term(1), LogPosition(9), answeredAt - milliseconds(1));
        reportStatus(view, "d3", Term(2), LogPosition(9), answeredAt);
        CPPUNIT_ASSERT(confirmer.advance(view, answeredAt).empty());
        reportStatus(view, "d2", Term(1), LogPosition(9), answeredAt);
        assertOutcome(ConfirmationOutcome::Confirmed, confirmer.advance(view, answeredAt));
        CPPUNIT_ASSERT(!confirmer.nextEvent());
    }

    void durableWriteNeedsAMajorityOfCopies()
    {
        Confirmer confirmer = waitingConfirmer(written);
        GroupView view = unprobedView();
        reportStatus(view, "d1", Term(1), written.position, answeredAt);
        reportStatus(view, "d2", Term(1), LogPosition(9), answeredAt);
        CPPUNIT_ASSERT(confirmer.advance(view, answeredAt).empty());
        reportStatus(view, "d3", Term(1), written.position, answeredAt);
        assertOutcome(ConfirmationOutcome::Confirmed, confirmer.advance(view, answeredAt));

        Confirmer uncopied = waitingConfirmer(LogPoint{Term(1), LogPosition(11)});
        assertOutcome(ConfirmationOutcome::NotDurableInTime, uncopied.advance(view, deadline));
    }

    void supersededTermFailsAtOnce()
    {
        Confirmer confirmer = waitingConfirmer(written);
        GroupView view = unprobedView();
        reportStatus(view, "d2", Term(2), written.position, answeredAt);
        CPPUNIT_ASSERT(confirmer.advance(view, answeredAt).empty());
        reportStatus(view, "d3", Term(2), written.position, answeredAt);
        assertOutcome(ConfirmationOutcome::TermNotConfirmed, confirmer.advance(view, answeredAt));
    }

    void deadlineEndsTheWait()
    {
        Confirmer confirmer = waitingConfirmer(written);
        const GroupView view = unprobedView();
        CPPUNIT_ASSERT(confirmer.startRound(answeredAt));
        CPPUNIT_ASSERT(confirmer.advance(view, deadline - milliseconds(1)).empty());
        assertOutcome(ConfirmationOutcome::TermNotConfirmed, confirmer.advance(view, deadline));
    }

    void oneRoundServesAllWaitingAnswers()
    {
        Confirmer confirmer = waitingConfirmer(std::nullopt);
        confirmer.await({.id = ConfirmationId(2),
                         .term = Term(1),
                         .since = answeredAt + milliseconds(1),
                         .deadline = deadline});
        CPPUNIT_ASSERT(confirmer.startRound(answeredAt + milliseconds(2)));
        CPPUNIT_ASSERT(!confirmer.startRound(answeredAt + milliseconds(3)));
        CPPUNIT_ASSERT(confirmer.nextEvent() == answeredAt + milliseconds(22));
        GroupView view = unprobedView();
        reportStatus(view, "d1", Term(1), written.position, answeredAt + milliseconds(2));
        reportStatus(view, "d2", Term(1), LogPosition(9), answeredAt + milliseconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                             confirmer.advance(view, answeredAt + milliseconds(4)).size());
    }

    void repeatedWriteOfAnOlderTermNeedsTheFirstEntryOfTheTerm()
    {
        GroupView view = unprobedView();
        view.mergeHistory({{Term(1), LogPosition(1)}, {Term(2), LogPosition(20)}});
        reportStatus(view, "d1", Term(2), LogPosition(19), answeredAt);
        reportStatus(view, "d2", Term(2), LogPosition(19), answeredAt);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), view.copiesOf(written, Term(2)));
    }

private:
    void assertOutcome(ConfirmationOutcome expected, const std::vector<ConfirmationResult> &results)
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), results.size());
        CPPUNIT_ASSERT_EQUAL(std::string(toString(expected)),
                             std::string(toString(results[0].outcome)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfirmerTest);
