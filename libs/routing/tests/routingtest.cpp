#include "routing/readrouter.h"
#include "routing/writerouter.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;
using std::chrono::milliseconds;

namespace {

const DataCentreId andong("andong");
const Instant start = Instant() + std::chrono::seconds(100);
const ReadRouter router({.dataCentre = andong});

constexpr LogPoint at(std::uint64_t term, std::uint64_t position)
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

// d1 is the primary at 100, d2 and d3 are replicas at 90 and 60.
GroupView sampleView()
{
    GroupView view(GroupId("herd"));
    view.setSites({{.database = DatabaseId("d1"), .dataCentre = andong},
                   {.database = DatabaseId("d2"), .dataCentre = andong},
                   {.database = DatabaseId("d3"), .dataCentre = andong}});
    view.heard(statusOf("d1", Role::Primary, at(2, 100)), start, start + milliseconds(1));
    DatabaseStatus second = statusOf("d2", Role::Replica, at(2, 90));
    second.age = milliseconds(40);
    view.heard(second, start, start + milliseconds(1));
    DatabaseStatus third = statusOf("d3", Role::Replica, at(2, 60));
    third.age = milliseconds(4000);
    view.heard(third, start, start + milliseconds(1));
    return view;
}

ReadRequirements needPoint(LogPoint point)
{
    return {.point = point, .receivedAt = start, .deadline = start + std::chrono::seconds(2)};
}

ReadRequirements needAge(milliseconds age)
{
    return {.maximumAge = age, .receivedAt = start, .deadline = start + std::chrono::seconds(2)};
}

} // namespace

class RoutingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RoutingTest);
    CPPUNIT_TEST(tokenGoesToAReplicaThatHoldsIt);
    CPPUNIT_TEST(noTokenGoesToThePrimaryUnderConfirmation);
    CPPUNIT_TEST(newestWritesGoToThePrimary);
    CPPUNIT_TEST(fullPrimaryMakesReadsWaitForReplicas);
    CPPUNIT_TEST(lastHopStaysInTheDataCentre);
    CPPUNIT_TEST(longReadsLeaveThePrimaryAlone);
    CPPUNIT_TEST(patientReadsWaitForAReplica);
    CPPUNIT_TEST(refusesDiscardedHistory);
    CPPUNIT_TEST(learnsOfANewerTerm);
    CPPUNIT_TEST(ageMustBeKnownAndSmallEnough);
    CPPUNIT_TEST(ageCountsFromTheLastEvidenceOfTheTerm);
    CPPUNIT_TEST(leavingReplicaGetsNothing);
    CPPUNIT_TEST(replacedPrimaryGetsNothing);
    CPPUNIT_TEST(answersAreCheckedAgainstTheToken);
    CPPUNIT_TEST_SUITE_END();

public:
    void tokenGoesToAReplicaThatHoldsIt()
    {
        const ReadDecision decision = route(sampleView(), needPoint(at(2, 85)));
        assertServe("d2", decision);
        CPPUNIT_ASSERT(decision.byReplica && !decision.needsConfirmation);
        CPPUNIT_ASSERT(route(sampleView(), needPoint(at(1, 49))).byReplica);
    }

    void noTokenGoesToThePrimaryUnderConfirmation()
    {
        const ReadDecision decision = route(sampleView(), needPoint({}));
        assertServe("d1", decision);
        CPPUNIT_ASSERT(decision.needsConfirmation && decision.term == Term(2));
        CPPUNIT_ASSERT(routeWrite(sampleView(), {}).database == DatabaseId("d1"));
    }

    void newestWritesGoToThePrimary()
    {
        assertServe("d1", route(sampleView(), needPoint(at(2, 105))));
        GroupView view = sampleView();
        view.showed(DatabaseId("d3"), at(2, 105));
        assertServe("d3", route(view, needPoint(at(2, 105))));
    }

    void lastHopStaysInTheDataCentre()
    {
        GroupView view = sampleView();
        view.setSites({{.database = DatabaseId("d1"), .dataCentre = andong},
                       {.database = DatabaseId("d2"), .dataCentre = DataCentreId("sangju")},
                       {.database = DatabaseId("d3"), .dataCentre = DataCentreId("sangju")}});
        ReadRequirements need = needPoint(at(2, 85));
        need.localOnly = true;
        assertServe("d1", route(view, need));
    }

    void longReadsLeaveThePrimaryAlone()
    {
        GroupView view = sampleView();
        for (int i = 0; i < 50; ++i)
            view.sent(DatabaseId("d2"));
        assertServe("d1", route(view, needAge(milliseconds(1000))));
        ReadRequirements need = needAge(milliseconds(1000));
        need.isLong = true;
        assertServe("d2", route(view, need));
        need.maximumAge = milliseconds(1);
        assertServe("d1", route(view, need));
    }

    void patientReadsWaitForAReplica()
    {
        const ReadRequirements need = needPoint(at(2, 100));
        assertServe("d1", route(sampleView(), need));
        const ReadRouter patient(
                {.dataCentre = andong, .maximumCatchUpWait = std::chrono::milliseconds(120)});
        const ReadDecision decision = patient.route(sampleView(), need, start + milliseconds(2));
        CPPUNIT_ASSERT(decision.action == ReadAction::Wait);
    }

    void fullPrimaryMakesReadsWaitForReplicas()
    {
        GroupView view = sampleView();
        view.sent(DatabaseId("d1"));
        const ReadDecision decision = route(view, needPoint(at(2, 99)));
        CPPUNIT_ASSERT(decision.action == ReadAction::Wait);
        view.notHeard(DatabaseId("d2"), start);
        view.notHeard(DatabaseId("d3"), start);
        assertServe("d1", route(view, needPoint(at(2, 99))));
    }

    void refusesDiscardedHistory()
    {
        assertRefused(Reason::HistoryDiscarded, route(sampleView(), needPoint(at(1, 50))));
        ReadRequirements aged = needAge(milliseconds(100));
        aged.point = at(1, 50);
        assertRefused(Reason::HistoryDiscarded, route(sampleView(), aged));
        CPPUNIT_ASSERT(routeWrite(sampleView(), {}, at(1, 50)).reason == Reason::HistoryDiscarded);
        CPPUNIT_ASSERT(routeWrite(sampleView(), {}, at(3, 1)).reason == Reason::NoPrimary);
        CPPUNIT_ASSERT(routeWrite(sampleView(), {}, at(1, 49)).action == WriteAction::Serve);
    }

    void learnsOfANewerTerm()
    {
        CPPUNIT_ASSERT(route(sampleView(), needPoint(at(3, 101))).action == ReadAction::ProbeFirst);
    }

    void ageMustBeKnownAndSmallEnough()
    {
        assertServe("d2", route(sampleView(), needAge(milliseconds(100))));
        assertServe("d1", route(sampleView(), needAge(milliseconds(20))));
        GroupView view = sampleView();
        view.notHeard(DatabaseId("d1"), start);
        assertRefused(Reason::TooOld, route(view, needAge(milliseconds(20))));
    }

    void ageCountsFromTheLastEvidenceOfTheTerm()
    {
        GroupView view = sampleView();
        const Instant later = start + std::chrono::seconds(10);
        view.heard(statusOf("d2", Role::Replica, at(2, 90)), later, later + milliseconds(1));
        const auto bound = view.ageBound(*view.find(DatabaseId("d2")), later);
        CPPUNIT_ASSERT(bound == std::chrono::seconds(10));
        view.heard(statusOf("d3", Role::Replica, at(2, 90)), later, later + milliseconds(1));
        CPPUNIT_ASSERT(view.ageBound(*view.find(DatabaseId("d2")), later) == Duration::zero());
    }

    void leavingReplicaGetsNothing()
    {
        GroupView view = sampleView();
        view.setSites({{.database = DatabaseId("d1"), .dataCentre = andong},
                       {.database = DatabaseId("d2"), .dataCentre = andong, .leaving = true},
                       {.database = DatabaseId("d3"), .dataCentre = andong}});
        assertServe("d1", route(view, needPoint(at(2, 85))));
    }

    void replacedPrimaryGetsNothing()
    {
        GroupView view = sampleView();
        for (const char *name : {"d2", "d3"}) {
            DatabaseStatus status = statusOf(name, Role::Replica, at(2, 90));
            status.term = Term(3);
            view.heard(status, start, start + milliseconds(1));
        }
        assertRefused(Reason::NoPrimary, route(view, needPoint({})));
        CPPUNIT_ASSERT(routeWrite(view, {}).reason == Reason::NoPrimary);
        assertServe("d2", route(view, needPoint(at(2, 85))));
    }

    void answersAreCheckedAgainstTheToken()
    {
        const GroupView view = sampleView();
        StatementAnswer answer;
        answer.point = at(2, 90);
        CPPUNIT_ASSERT(checkRead(view, at(2, 90), answer) == ReadCheck::Accept);
        CPPUNIT_ASSERT(checkRead(view, at(1, 49), answer) == ReadCheck::Accept);
        CPPUNIT_ASSERT(checkRead(view, at(2, 91), answer) == ReadCheck::RouteAgain);
        CPPUNIT_ASSERT(checkRead(view, at(1, 60), answer) == ReadCheck::Discarded);
        answer.point = at(1, 70);
        CPPUNIT_ASSERT(checkRead(view, at(1, 49), answer) == ReadCheck::Accept);
    }

private:
    static ReadDecision route(const GroupView &view, const ReadRequirements &need)
    {
        return router.route(view, need, start + milliseconds(2));
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
