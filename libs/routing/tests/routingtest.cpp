#include "routing/readrouter.h"
#include "routing/writerouter.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;
using std::chrono::milliseconds;

namespace {

const DataCentreId andong("andong");
const Instant start = Instant() + std::chrono::seconds(100);
const ReadRouter router({.dataCentre = andong});

constexpr LogPoint logPoint(std::uint64_t term, std::uint64_t position)
{
    return {Term(term), LogPosition(position)};
}

DatabaseStatus statusOf(const char *name, Role role, LogPoint applied)
{
    DatabaseStatus status;
    status.database = DatabaseId(name);
    status.role = role;
    status.term = Term(2);
    status.received = applied;
    status.applied = applied;
    status.history = {{Term(1), LogPosition(1)}, {Term(2), LogPosition(50)}};
    return status;
}

// d1 is the primary at position 100; d2 and d3 are replicas at positions 90 and 60.
GroupView sampleView()
{
    GroupView view(GroupId("herd"));
    view.setSites({{.database = DatabaseId("d1"), .dataCentre = andong},
                   {.database = DatabaseId("d2"), .dataCentre = andong},
                   {.database = DatabaseId("d3"), .dataCentre = andong}});
    view.heard(statusOf("d1", Role::Primary, logPoint(2, 100)), start, start + milliseconds(1));
    DatabaseStatus second = statusOf("d2", Role::Replica, logPoint(2, 90));
    second.age = milliseconds(40);
    view.heard(second, start, start + milliseconds(1));
    DatabaseStatus third = statusOf("d3", Role::Replica, logPoint(2, 60));
    third.age = milliseconds(4000);
    view.heard(third, start, start + milliseconds(1));
    return view;
}

ReadRequirements requirePoint(LogPoint point)
{
    return {.point = point, .receivedAt = start, .deadline = start + std::chrono::seconds(2)};
}

ReadRequirements requireAge(milliseconds age)
{
    return {.maximumAge = age, .receivedAt = start, .deadline = start + std::chrono::seconds(2)};
}

} // namespace

class RoutingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RoutingTest);
    CPPUNIT_TEST(readWithTokenRunsOnAReplicaThatHoldsIt);
    CPPUNIT_TEST(readWithoutTokenRunsOnThePrimaryWithConfirmation);
    CPPUNIT_TEST(newestPointIsReadOnThePrimary);
    CPPUNIT_TEST(readsWaitForReplicasWhenThePrimaryIsFull);
    CPPUNIT_TEST(localOnlyReadStaysInTheDataCentre);
    CPPUNIT_TEST(longReadsAvoidThePrimary);
    CPPUNIT_TEST(readsWaitForReplicasUpToTheMaximumCatchUpWait);
    CPPUNIT_TEST(refusesDiscardedHistory);
    CPPUNIT_TEST(unknownTermProbesFirst);
    CPPUNIT_TEST(ageMustBeKnownAndSmallEnough);
    CPPUNIT_TEST(ageIsBoundedByTheLastTermEvidence);
    CPPUNIT_TEST(leavingReplicaGetsNoReads);
    CPPUNIT_TEST(replacedPrimaryGetsNoStatements);
    CPPUNIT_TEST(answersAreCheckedAgainstTheRequiredPoint);
    CPPUNIT_TEST_SUITE_END();

public:
    void readWithTokenRunsOnAReplicaThatHoldsIt()
    {
        const ReadDecision decision = route(sampleView(), requirePoint(logPoint(2, 85)));
        assertServe("d2", decision);
        CPPUNIT_ASSERT(decision.byReplica && !decision.needsConfirmation);
        CPPUNIT_ASSERT(route(sampleView(), requirePoint(logPoint(1, 49))).byReplica);
    }

    void readWithoutTokenRunsOnThePrimaryWithConfirmation()
    {
        const ReadDecision decision = route(sampleView(), requirePoint({}));
        assertServe("d1", decision);
        CPPUNIT_ASSERT(decision.needsConfirmation && decision.term == Term(2));
        CPPUNIT_ASSERT(routeWrite(sampleView(), {}).database == DatabaseId("d1"));
    }

    void newestPointIsReadOnThePrimary()
    {
        assertServe("d1", route(sampleView(), requirePoint(logPoint(2, 105))));
        GroupView view = sampleView();
        view.showed(DatabaseId("d3"), logPoint(2, 105));
        assertServe("d3", route(view, requirePoint(logPoint(2, 105))));
    }

    void localOnlyReadStaysInTheDataCentre()
    {
        GroupView view = sampleView();
        view.setSites({{.database = DatabaseId("d1"), .dataCentre = andong},
                       {.database = DatabaseId("d2"), .dataCentre = DataCentreId("sangju")},
                       {.database = DatabaseId("d3"), .dataCentre = DataCentreId("sangju")}});
        ReadRequirements requirements = requirePoint(logPoint(2, 85));
        requirements.localOnly = true;
        assertServe("d1", route(view, requirements));
    }

    void longReadsAvoidThePrimary()
    {
        GroupView view = sampleView();
        for (int i = 0; i < 50; ++i)
            view.sent(DatabaseId("d2"));
        assertServe("d1", route(view, requireAge(milliseconds(1000))));
        ReadRequirements requirements = requireAge(milliseconds(1000));
        requirements.isLong = true;
        assertServe("d2", route(view, requirements));
        requirements.maximumAge = milliseconds(1);
        assertServe("d1", route(view, requirements));
    }

    void readsWaitForReplicasUpToTheMaximumCatchUpWait()
    {
        const ReadRequirements requirements = requirePoint(logPoint(2, 100));
        assertServe("d1", route(sampleView(), requirements));
        const ReadRouter waitingRouter(
                {.dataCentre = andong, .maximumCatchUpWait = std::chrono::milliseconds(120)});
        const ReadDecision decision =
                waitingRouter.route(sampleView(), requirements, start + milliseconds(2));
        CPPUNIT_ASSERT(decision.action == ReadAction::Wait);
    }

    void readsWaitForReplicasWhenThePrimaryIsFull()
    {
        GroupView view = sampleView();
        view.sent(DatabaseId("d1"));
        const ReadDecision decision = route(view, requirePoint(logPoint(2, 99)));
        CPPUNIT_ASSERT(decision.action == ReadAction::Wait);
        view.notHeard(DatabaseId("d2"), start);
        view.notHeard(DatabaseId("d3"), start);
        assertServe("d1", route(view, requirePoint(logPoint(2, 99))));
    }

    void refusesDiscardedHistory()
    {
        assertRefused(Reason::HistoryDiscarded, route(sampleView(), requirePoint(logPoint(1, 50))));
        ReadRequirements agedRequirements = requireAge(milliseconds(100));
        agedRequirements.point = logPoint(1, 50);
        assertRefused(Reason::HistoryDiscarded, route(sampleView(), agedRequirements));
        CPPUNIT_ASSERT(routeWrite(sampleView(), {}, logPoint(1, 50)).reason
                       == Reason::HistoryDiscarded);
        CPPUNIT_ASSERT(routeWrite(sampleView(), {}, logPoint(3, 1)).reason == Reason::NoPrimary);
        CPPUNIT_ASSERT(routeWrite(sampleView(), {}, logPoint(1, 49)).action == WriteAction::Serve);
    }

    void unknownTermProbesFirst()
    {
        CPPUNIT_ASSERT(route(sampleView(), requirePoint(logPoint(3, 101))).action
                       == ReadAction::ProbeFirst);
    }

    void ageMustBeKnownAndSmallEnough()
    {
        assertServe("d2", route(sampleView(), requireAge(milliseconds(100))));
        assertServe("d1", route(sampleView(), requireAge(milliseconds(20))));
        GroupView view = sampleView();
        view.notHeard(DatabaseId("d1"), start);
        assertRefused(Reason::TooOld, route(view, requireAge(milliseconds(20))));
    }

    void ageIsBoundedByTheLastTermEvidence()
    {
        GroupView view = sampleView();
        const Instant later = start + std::chrono::seconds(10);
        view.heard(statusOf("d2", Role::Replica, logPoint(2, 90)), later, later + milliseconds(1));
        const auto bound = view.ageBound(*view.find(DatabaseId("d2")), later);
        CPPUNIT_ASSERT(bound == std::chrono::seconds(10));
        view.heard(statusOf("d3", Role::Replica, logPoint(2, 90)), later, later + milliseconds(1));
        CPPUNIT_ASSERT(view.ageBound(*view.find(DatabaseId("d2")), later) == Duration::zero());
    }

    void leavingReplicaGetsNoReads()
    {
        GroupView view = sampleView();
        view.setSites({{.database = DatabaseId("d1"), .dataCentre = andong},
                       {.database = DatabaseId("d2"), .dataCentre = andong, .leaving = true},
                       {.database = DatabaseId("d3"), .dataCentre = andong}});
        assertServe("d1", route(view, requirePoint(logPoint(2, 85))));
    }

    void replacedPrimaryGetsNoStatements()
    {
        GroupView view = sampleView();
        for (const char *name : {"d2", "d3"}) {
            DatabaseStatus status = statusOf(name, Role::Replica, logPoint(2, 90));
            status.term = Term(3);
            view.heard(status, start, start + milliseconds(1));
        }
        assertRefused(Reason::NoPrimary, route(view, requirePoint({})));
        CPPUNIT_ASSERT(routeWrite(view, {}).reason == Reason::NoPrimary);
        assertServe("d2", route(view, requirePoint(logPoint(2, 85))));
    }

    void answersAreCheckedAgainstTheRequiredPoint()
    {
        const GroupView view = sampleView();
        StatementAnswer answer;
        answer.point = logPoint(2, 90);
        CPPUNIT_ASSERT(checkRead(view, logPoint(2, 90), answer) == ReadCheck::Accept);
        CPPUNIT_ASSERT(checkRead(view, logPoint(1, 49), answer) == ReadCheck::Accept);
        CPPUNIT_ASSERT(checkRead(view, logPoint(2, 91), answer) == ReadCheck::RouteAgain);
        CPPUNIT_ASSERT(checkRead(view, logPoint(1, 60), answer) == ReadCheck::Discarded);
        answer.point = logPoint(1, 70);
        CPPUNIT_ASSERT(checkRead(view, logPoint(1, 49), answer) == ReadCheck::Accept);
    }

private:
    static ReadDecision route(const GroupView &view, const ReadRequirements &requirements)
    {
        return router.route(view, requirements, start + milliseconds(2));
    }

    void assertServe(const std::string &database, const ReadDecision &decision)
    {
        CPPUNIT_ASSERT(decision.action == ReadAction::Serve);
        CPPUNIT_ASSERT_EQUAL(database, decision.database.value());
    }

    void assertRefused(Reason reason, const ReadDecision &decision)
    {
        CPPUNIT_ASSERT(decision.action == ReadAction::Refuse);
        CPPUNIT_ASSERT_EQUAL(std::string(toString(reason)), std::string(toString(decision.reason)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingTest);
