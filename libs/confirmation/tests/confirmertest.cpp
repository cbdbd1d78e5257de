#include "confirmation/confirmer.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;
using std::chrono::milliseconds;

namespace {

const Instant answered = Instant() + std::chrono::seconds(10);
const Instant deadline = answered + milliseconds(100);
constexpr LogPoint written{Term(1), LogPosition(10)};

GroupView newView()
{
    GroupView view(GroupId("herd"));
    view.setSites({{.database = DatabaseId("d1")},
                   {.database = DatabaseId("d2")},
                   {.database = DatabaseId("d3")}});
    return view;
}

void hear(GroupView &view, const char *name, Term term, LogPosition received, Instant askedAt)
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
                     .since = answered,
                     .deadline = deadline,
                     .durablePoint = durablePoint});
    return confirmer;
}

} // namespace

class ConfirmerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfirmerTest);
    CPPUNIT_TEST(needsAMajorityAskedAfterTheAnswer);
    CPPUNIT_TEST(needsACopy);
    CPPUNIT_TEST(overtakenTermFailsAtOnce);
    CPPUNIT_TEST(deadlineEndsTheWait);
    CPPUNIT_TEST(oneRoundServesAll);
    CPPUNIT_TEST(repeatedWriteOfAnOlderTermNeedsTheTermsFirstEntry);
    CPPUNIT_TEST_SUITE_END();

public:
    void needsAMajorityAskedAfterTheAnswer()
    {
        Confirmer confirmer = waitingConfirmer(std::nullopt);
        GroupView view = newView();
        hear(view, "d1", Term(1), written.position, answered);
        hear(view, "d2", Term(1), LogPosition(9), answered - milliseconds(1));
        hear(view, "d3", Term(2), LogPosition(9), answered);
        CPPUNIT_ASSERT(confirmer.advance(view, answered).empty());
        hear(view, "d2", Term(1), LogPosition(9), answered);
        assertOutcome(ConfirmationOutcome::Confirmed, confirmer.advance(view, answered));
        CPPUNIT_ASSERT(!confirmer.nextEvent());
    }

    void needsACopy()
    {
        Confirmer confirmer = waitingConfirmer(written);
        GroupView view = newView();
        hear(view, "d1", Term(1), written.position, answered);
        hear(view, "d2", Term(1), LogPosition(9), answered);
        CPPUNIT_ASSERT(confirmer.advance(view, answered).empty());
        hear(view, "d3", Term(1), written.position, answered);
        assertOutcome(ConfirmationOutcome::Confirmed, confirmer.advance(view, answered));

        Confirmer late = waitingConfirmer(LogPoint{Term(1), LogPosition(11)});
        assertOutcome(ConfirmationOutcome::NotDurableInTime, late.advance(view, deadline));
    }

    void overtakenTermFailsAtOnce()
    {
        Confirmer confirmer = waitingConfirmer(written);
        GroupView view = newView();
        hear(view, "d2", Term(2), written.position, answered);
        CPPUNIT_ASSERT(confirmer.advance(view, answered).empty());
        hear(view, "d3", Term(2), written.position, answered);
        assertOutcome(ConfirmationOutcome::TermNotConfirmed, confirmer.advance(view, answered));
    }

    void deadlineEndsTheWait()
    {
        Confirmer confirmer = waitingConfirmer(written);
        const GroupView view = newView();
        CPPUNIT_ASSERT(confirmer.startRound(answered));
        CPPUNIT_ASSERT(confirmer.advance(view, deadline - milliseconds(1)).empty());
        assertOutcome(ConfirmationOutcome::TermNotConfirmed, confirmer.advance(view, deadline));
    }

    void oneRoundServesAll()
    {
        Confirmer confirmer = waitingConfirmer(std::nullopt);
        confirmer.await({.id = ConfirmationId(2),
                         .term = Term(1),
                         .since = answered + milliseconds(1),
                         .deadline = deadline});
        CPPUNIT_ASSERT(confirmer.startRound(answered + milliseconds(2)));
        CPPUNIT_ASSERT(!confirmer.startRound(answered + milliseconds(3)));
        CPPUNIT_ASSERT(confirmer.nextEvent() == answered + milliseconds(22));
        GroupView view = newView();
        hear(view, "d1", Term(1), written.position, answered + milliseconds(2));
        hear(view, "d2", Term(1), LogPosition(9), answered + milliseconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                             confirmer.advance(view, answered + milliseconds(4)).size());
    }

    void repeatedWriteOfAnOlderTermNeedsTheTermsFirstEntry()
    {
        GroupView view = newView();
        view.learnHistory({{Term(1), LogPosition(1)}, {Term(2), LogPosition(20)}});
        hear(view, "d1", Term(2), LogPosition(19), answered);
        hear(view, "d2", Term(2), LogPosition(19), answered);
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
