#include "promotion/lossdetector.h"
#include "promotion/promoter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace fescuespring;
using std::chrono::milliseconds;

namespace {

const Instant start = Instant() + std::chrono::seconds(100);

DatabaseStatus statusOf(const std::string &name, Role role, Term term, LogPosition position)
{
    DatabaseStatus status;
    status.database = DatabaseId(name);
    status.role = role;
    status.term = term;
    status.received = {Term(1), position};
    status.applied = status.received;
    status.age = milliseconds(5);
    status.history = {{Term(1), LogPosition(1)}};
    return status;
}

GroupView viewAt(Instant now)
{
    GroupView view(GroupId("herd"));
    view.setSites({{.database = DatabaseId("d1")},
                   {.database = DatabaseId("d2")},
                   {.database = DatabaseId("d3")}});
    view.applyStatus(statusOf("d1", Role::Primary, Term(1), LogPosition(10)), now, now);
    view.applyStatus(statusOf("d2", Role::Replica, Term(1), LogPosition(9)), now, now);
    view.applyStatus(statusOf("d3", Role::Replica, Term(1), LogPosition(8)), now, now);
    return view;
}

std::size_t countOf(const PromotionActions &actions, PromotionActionKind kind)
{
    return static_cast<std::size_t>(
            std::count_if(actions.begin(), actions.end(),
                          [&](const PromotionAction &action) { return action.kind == kind; }));
}

Promoter newPromoter()
{
    return Promoter({.vm = VmId("vm1"), .random = [] {
                         return std::uint64_t{5};
                     }});
}

} // namespace

class PromotionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PromotionTest);
    CPPUNIT_TEST(majorityOfVantagePointsIsSufficient);
    CPPUNIT_TEST(singleDissentingVantagePointIsNotSufficient);
    CPPUNIT_TEST(lossWithoutPeerReportsTakesLonger);
    CPPUNIT_TEST(replicaContactDelaysTheVerdict);
    CPPUNIT_TEST(pauseOfTheVmRestartsTheTimeout);
    CPPUNIT_TEST(isolatedVmNeverPromotes);
    CPPUNIT_TEST(groupWithoutPrimaryIsTakenOver);
    CPPUNIT_TEST(isolatedPrimaryIsAvoided);
    CPPUNIT_TEST(laggingReplicasDoNotMakeThePrimaryIsolated);
    CPPUNIT_TEST(reportContainsTheTimeOfEachPart);
    CPPUNIT_TEST(unavailableStoreLeadsToADistantTerm);
    CPPUNIT_TEST(nextChangeStartsBeforeTheRecordIsWritten);
    CPPUNIT_TEST(claimIsReadBackAfterALostReply);
    CPPUNIT_TEST(yieldsOnceToAnotherPromoter);
    CPPUNIT_TEST(plannedChangeHoldsWritesUntilCaughtUp);
    CPPUNIT_TEST(plannedChangeTimesOutIfNoReplicaCatchesUp);
    CPPUNIT_TEST(recordRoundTrips);
    CPPUNIT_TEST_SUITE_END();

public:
    void majorityOfVantagePointsIsSufficient()
    {
        assertVerdictAfter(milliseconds(500), LossVerdict::Alive, true);
        assertVerdictAfter(milliseconds(700), LossVerdict::Lost, true);
    }

    void singleDissentingVantagePointIsNotSufficient()
    {
        LossDetector detector;
        GroupView view = viewAt(start);
        const Instant now = runWithoutPrimary(detector, view, milliseconds(5000), [&](Instant at) {
            detector.report({VmId("vm2"), Term(1), true, at});
        });
        CPPUNIT_ASSERT(detector.examine(view, now) == LossVerdict::Suspected);
    }

    void lossWithoutPeerReportsTakesLonger()
    {
        assertVerdictAfter(milliseconds(1400), LossVerdict::Suspected, false);
        assertVerdictAfter(milliseconds(1600), LossVerdict::Lost, false);
    }

    void replicaContactDelaysTheVerdict()
    {
        m_replicaAge = milliseconds(5);
        assertVerdictAfter(milliseconds(2400), LossVerdict::Suspected, true);
        assertVerdictAfter(milliseconds(2600), LossVerdict::Lost, true);
    }

    void pauseOfTheVmRestartsTheTimeout()
    {
        LossDetector detector;
        GroupView view = viewAt(start);
        detector.examine(view, start);
        const Instant resumed = start + std::chrono::seconds(30);
        CPPUNIT_ASSERT(detector.examine(view, resumed) == LossVerdict::Alive);
    }

    void isolatedVmNeverPromotes()
    {
        LossDetector detector;
        const GroupView view = viewAt(start);
        Instant now = start;
        for (int i = 0; i < 100; ++i) {
            now += milliseconds(100);
            CPPUNIT_ASSERT(detector.examine(view, now) != LossVerdict::Lost);
        }
    }

    void groupWithoutPrimaryIsTakenOver()
    {
        LossDetector detector;
        GroupView view = viewAt(start);
        Instant now = start;
        LossVerdict verdict = LossVerdict::Alive;
        for (int i = 0; i < 7; ++i) {
            now += milliseconds(100);
            for (const char *name : {"d2", "d3"})
                view.applyStatus(statusOf(name, Role::Replica, Term(2), LogPosition(9)), now, now);
            verdict = detector.examine(view, now);
        }
        CPPUNIT_ASSERT(verdict == LossVerdict::Lost);
    }

    void isolatedPrimaryIsAvoided()
    {
        CPPUNIT_ASSERT(verdictForReplicasOutOfContact(false, true) == LossVerdict::Isolated);
        CPPUNIT_ASSERT(verdictForReplicasOutOfContact(false, false) == LossVerdict::Alive);

        Promoter promoter = newPromoter();
        promoter.start({.avoid = DatabaseId("d1")}, viewAt(start), start);
        promoter.recordRead(1, std::nullopt, start);
        promoter.recordWritten(2, ObjectVersion(1), start);
        receive(promoter, statusOf("d1", Role::Replica, Term(2), LogPosition(10)), start);
        receive(promoter, statusOf("d2", Role::Replica, Term(2), LogPosition(9)), start);
        const PromotionActions promote =
                receive(promoter, statusOf("d3", Role::Replica, Term(2), LogPosition(8)), start);
        CPPUNIT_ASSERT_EQUAL(std::string("d2"), promote.at(0).database.value());
    }

    void laggingReplicasDoNotMakeThePrimaryIsolated()
    {
        CPPUNIT_ASSERT(verdictForReplicasOutOfContact(true, true) == LossVerdict::Alive);
    }

    void reportContainsTheTimeOfEachPart()
    {
        Promoter promoter = newPromoter();
        promoter.start({.silentSince = start, .foundAt = start + milliseconds(600)}, viewAt(start),
                       start + milliseconds(610));
        const Instant claimed = start + milliseconds(614);
        promoter.recordRead(1, std::nullopt, claimed);
        const PromotionActions fences = promoter.recordWritten(2, ObjectVersion(1), claimed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), countOf(fences, PromotionActionKind::Fence));
        const Instant fenced = start + milliseconds(616);
        receive(promoter, statusOf("d2", Role::Replica, Term(2), LogPosition(9)), fenced);
        receive(promoter, statusOf("d3", Role::Replica, Term(2), LogPosition(8)), fenced);
        const PromotionActions promote = promoter.tick(fenced + milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(std::string("d2"), promote.at(0).database.value());
        const PromotionActions after =
                receive(promoter, newPrimary("d2"), fenced + milliseconds(11));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), countOf(after, PromotionActionKind::Follow));
        const PromotionReport report = promoter.takeReport().value();
        CPPUNIT_ASSERT(report.end == PromotionEnd::Promoted && report.term == Term(2));
        CPPUNIT_ASSERT(report.detect == milliseconds(600) && report.decide == milliseconds(10));
        CPPUNIT_ASSERT(report.store == milliseconds(4) && report.fence == milliseconds(12));
        CPPUNIT_ASSERT(report.promote == milliseconds(1));
    }

    void unavailableStoreLeadsToADistantTerm()
    {
        Promoter promoter = newPromoter();
        promoter.start({}, viewAt(start), start);
        const PromotionActions fences = promoter.tick(start + milliseconds(400));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), countOf(fences, PromotionActionKind::Fence));
        CPPUNIT_ASSERT(promoter.term() >= Term(1024));

        Promoter planned = newPromoter();
        planned.start({.kind = PromotionKind::Planned}, viewAt(start), start);
        CPPUNIT_ASSERT(planned.tick(start + milliseconds(400)).empty());
        CPPUNIT_ASSERT(planned.takeReport()->end == PromotionEnd::TimedOut);
    }

    void nextChangeStartsBeforeTheRecordIsWritten()
    {
        Promoter promoter = newPromoter();
        promoter.start({}, viewAt(start), start);
        const Instant now = start + milliseconds(400);
        promoter.tick(now);
        const Term term = promoter.term();
        for (const char *name : {"d1", "d2", "d3"})
            receive(promoter, statusOf(name, Role::Replica, term, LogPosition(9)), now);
        DatabaseStatus primary = statusOf("d1", Role::Primary, term, LogPosition(11));
        primary.history.push_back({term, LogPosition(11)});
        receive(promoter, primary, now);
        CPPUNIT_ASSERT(promoter.step() == PromotionStep::Recording);
        CPPUNIT_ASSERT(!promoter.isChanging());
        CPPUNIT_ASSERT(!promoter.start({}, viewAt(start), now).empty());
    }

    void claimIsReadBackAfterALostReply()
    {
        Promoter promoter = newPromoter();
        promoter.start({}, viewAt(start), start);
        const GroupRecord ownClaim = promoter.recordRead(1, std::nullopt, start).at(0).record;
        promoter.storeFailed(2, start);
        promoter.tick(start + milliseconds(50));
        const PromotionActions fences = promoter.recordRead(
                3, StoredRecord{ownClaim, ObjectVersion(1)}, start + milliseconds(51));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), countOf(fences, PromotionActionKind::Fence));
        CPPUNIT_ASSERT(promoter.term() == Term(2));
    }

    void yieldsOnceToAnotherPromoter()
    {
        const StoredRecord otherClaim{{.term = Term(2), .promoter = VmId("vm2")}, ObjectVersion(1)};
        Promoter promoter = newPromoter();
        promoter.start({}, viewAt(start), start);
        promoter.recordRead(1, otherClaim, start);
        CPPUNIT_ASSERT(promoter.takeReport()->end == PromotionEnd::Outbid);
        const Instant later = start + milliseconds(500);
        promoter.start({}, viewAt(start), later);
        const PromotionActions claim = promoter.recordRead(2, otherClaim, later);
        CPPUNIT_ASSERT(claim.at(0).record.term == Term(3));
    }

    void plannedChangeHoldsWritesUntilCaughtUp()
    {
        Promoter promoter = newPromoter();
        startPlanned(promoter);
        const PromotionActions probes = promoter.drained(start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), countOf(probes, PromotionActionKind::Probe));
        receive(promoter, statusOf("d1", Role::Primary, Term(1), LogPosition(10)), start);
        const PromotionActions behind =
                receive(promoter, statusOf("d2", Role::Replica, Term(1), LogPosition(9)), start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), countOf(behind, PromotionActionKind::Fence));
        const PromotionActions caughtUp =
                receive(promoter, statusOf("d2", Role::Replica, Term(1), LogPosition(10)), start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), countOf(caughtUp, PromotionActionKind::Fence));
        for (const char *name : {"d2", "d3"})
            receive(promoter, statusOf(name, Role::Replica, Term(2), LogPosition(10)), start);
        CPPUNIT_ASSERT(promoter.step() == PromotionStep::Fencing);
        const PromotionActions promote =
                receive(promoter, statusOf("d1", Role::Replica, Term(2), LogPosition(10)), start);
        CPPUNIT_ASSERT_EQUAL(std::string("d2"), promote.at(0).database.value());
        const PromotionActions after = receive(promoter, newPrimary("d2"), start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), countOf(after, PromotionActionKind::ReleaseWrites));
    }

    void plannedChangeTimesOutIfNoReplicaCatchesUp()
    {
        Promoter promoter = newPromoter();
        startPlanned(promoter);
        promoter.drained(start);
        const PromotionActions actions = promoter.tick(start + milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), countOf(actions, PromotionActionKind::ReleaseWrites));
        CPPUNIT_ASSERT(promoter.takeReport()->end == PromotionEnd::TimedOut);
    }

    void recordRoundTrips()
    {
        const GroupRecord record{.term = Term(7),
                                 .promoter = VmId("vm1"),
                                 .attempt = 99,
                                 .phase = RecordPhase::Stable,
                                 .primary = DatabaseId("d2"),
                                 .history = {{Term(1), LogPosition(1)}, {Term(7), LogPosition(9)}}};
        CPPUNIT_ASSERT(decodeRecord(encodeRecord(record)).value() == record);
        CPPUNIT_ASSERT(decodeRecord(encodeRecord(record) + "later 1\n").value() == record);
        CPPUNIT_ASSERT(decodeRecord("term x\n").has_error());
        CPPUNIT_ASSERT(decodeRecord("").has_error());
    }

private:
    template <typename Event>
    Instant runWithoutPrimary(LossDetector &detector, GroupView &view, Duration time,
                              const Event &event)
    {
        Instant now = start;
        while (now < start + time) {
            detector.examine(view, now);
            now += milliseconds(100);
            for (const char *name : {"d2", "d3"}) {
                DatabaseStatus status = statusOf(name, Role::Replica, Term(1), LogPosition(9));
                status.age = m_replicaAge;
                view.applyStatus(status, now, now);
            }
            event(now);
        }
        return now;
    }

    // The primary answers and writes; the replicas report no recent contact, and receive new
    // entries only if advance is set.
    static LossVerdict verdictForReplicasOutOfContact(bool advance, bool writesLackCopies)
    {
        LossDetector detector;
        GroupView view = viewAt(start);
        LossVerdict verdict = LossVerdict::Alive;
        for (std::uint64_t i = 1; i <= 40; ++i) {
            const Instant now = start + milliseconds(100 * i);
            view.applyStatus(statusOf("d1", Role::Primary, Term(1), LogPosition(100 + i)), now,
                             now);
            for (const char *name : {"d2", "d3"}) {
                const LogPosition position(advance ? 9 + i : 9);
                DatabaseStatus status = statusOf(name, Role::Replica, Term(1), position);
                status.age = milliseconds(100 * i);
                view.applyStatus(status, now, now);
            }
            if (writesLackCopies)
                detector.recordUnreplicatedWrite(now);
            verdict = detector.examine(view, now);
        }
        return verdict;
    }

    void assertVerdictAfter(Duration sinceLastAnswer, LossVerdict expected, bool peersAgree)
    {
        LossDetector detector;
        GroupView view = viewAt(start);
        const Instant now = runWithoutPrimary(detector, view, sinceLastAnswer, [&](Instant at) {
            if (peersAgree)
                detector.report({VmId("vm2"), Term(1), false, at});
        });
        CPPUNIT_ASSERT_EQUAL(std::string(toString(expected)),
                             std::string(toString(detector.examine(view, now))));
    }

    static PromotionActions receive(Promoter &promoter, const DatabaseStatus &status, Instant now)
    {
        return promoter.statusReceived(status, now, now);
    }

    static DatabaseStatus newPrimary(const std::string &name)
    {
        DatabaseStatus status = statusOf(name, Role::Primary, Term(2), LogPosition(11));
        status.history.push_back({Term(2), LogPosition(11)});
        return status;
    }

    static void startPlanned(Promoter &promoter)
    {
        promoter.start({.kind = PromotionKind::Planned, .leaving = DatabaseId("d1")}, viewAt(start),
                       start);
        promoter.recordRead(1, std::nullopt, start);
        const PromotionActions hold = promoter.recordWritten(2, ObjectVersion(1), start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), countOf(hold, PromotionActionKind::HoldWrites));
    }

    std::chrono::milliseconds m_replicaAge{2000};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromotionTest);
