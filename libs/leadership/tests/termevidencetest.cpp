#include "leadership/termevidence.h"

#include "support/virtualtimers.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

const DatabaseId primary("a");
const DatabaseId replica("b");
const DatabaseId other("c");

UpstreamStatus status(Role role, std::uint64_t term, std::uint64_t position)
{
    return {.role = role, .term = Term(term), .received = {Term(term), LogPosition(position)}};
}

// A group whose databases answer with their entry in statuses after 1 ms; those without an entry do
// not answer.
struct Group
{
    Group()
        : evidence(
                {.timers = timers,
                 .electorate = [this] { return electorate; },
                 .requestStatus =
                         [this](const DatabaseId &database, const TermEvidence::StatusDone &done) {
                             ++requests;
                             if (!statuses.contains(database))
                                 return;
                             timers.after(1ms,
                                          [answer = statuses.at(database), done] { done(answer); });
                         }})
    {}

    TermEvidence::Outcome confirm(Term term)
    {
        std::optional<TermEvidence::Outcome> outcome;
        evidence.confirm(primary, term,
                         [&outcome](const TermEvidence::Outcome &end) { outcome = end; });
        timers.advance(1s);
        CPPUNIT_ASSERT(outcome);
        return *outcome;
    }

    VirtualTimers timers;
    int requests = 0;
    std::map<DatabaseId, UpstreamStatus> statuses{{primary, status(Role::Primary, 1, 9)},
                                                  {replica, status(Role::Replica, 1, 8)},
                                                  {other, status(Role::Replica, 1, 9)}};
    TermEvidence::Electorate electorate{.voters = {{primary}, {replica}, {other}}, .size = 3};
    TermEvidence evidence;
};

} // namespace

class TermEvidenceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TermEvidenceTest);
    CPPUNIT_TEST(replicasOfTheSameTermConfirmACommit);
    CPPUNIT_TEST(laterTermDeniesACommit);
    CPPUNIT_TEST(pausedMajorityDeniesACommit);
    CPPUNIT_TEST(majorityConfirmsDespiteAnUnresponsiveReplica);
    CPPUNIT_TEST(minorityDoesNotConfirm);
    CPPUNIT_TEST(demotedPrimaryDoesNotConfirm);
    CPPUNIT_TEST(leavingDatabaseDoesNotConfirm);
    CPPUNIT_TEST(lostDatabaseCountsTowardsTheMajority);
    CPPUNIT_TEST(outdatedListNeedsAllDatabases);
    CPPUNIT_TEST(previousPrimaryThatFollowsIsNotConfirmed);
    CPPUNIT_TEST(outcomeHasTermAndPositionOfThePrimary);
    CPPUNIT_TEST(oneRoundServesAllWaitingCallers);
    CPPUNIT_TEST_SUITE_END();

public:
    void replicasOfTheSameTermConfirmACommit()
    {
        Group group;
        CPPUNIT_ASSERT(group.confirm(Term(1)).isConfirmed);
    }

    void laterTermDeniesACommit()
    {
        Group group;
        group.statuses[replica] = status(Role::Primary, 2, 8);
        CPPUNIT_ASSERT(!group.confirm(Term(1)).isConfirmed);
    }

    // A change of primary pauses a majority before it requests the promotion.
    void pausedMajorityDeniesACommit()
    {
        Group group;
        group.statuses[replica].heldTerm = Term(2);
        CPPUNIT_ASSERT(group.confirm(Term(1)).isConfirmed);
        group.statuses[other].heldTerm = Term(2);
        CPPUNIT_ASSERT(!group.confirm(Term(1)).isConfirmed);
    }

    void majorityConfirmsDespiteAnUnresponsiveReplica()
    {
        Group group;
        group.statuses.erase(other);
        CPPUNIT_ASSERT(group.confirm(Term(1)).isConfirmed);
        CPPUNIT_ASSERT(group.confirm(Term()).isConfirmed);
    }

    void minorityDoesNotConfirm()
    {
        Group group;
        group.statuses.erase(other);
        group.statuses.erase(replica);
        CPPUNIT_ASSERT(!group.confirm(Term(1)).isConfirmed);
        CPPUNIT_ASSERT(!group.confirm(Term()).isConfirmed);
    }

    // It was stopped by a change of primary, which counts it among the paused databases.
    void demotedPrimaryDoesNotConfirm()
    {
        Group group;
        group.statuses[primary] = status(Role::Replica, 1, 9);
        group.statuses.erase(other);
        CPPUNIT_ASSERT(!group.confirm(Term(1)).isConfirmed);
    }

    void leavingDatabaseDoesNotConfirm()
    {
        Group group;
        group.statuses.erase(other);
        group.electorate.voters[1].counts = false;
        CPPUNIT_ASSERT(!group.confirm(Term(1)).isConfirmed);
    }

    void lostDatabaseCountsTowardsTheMajority()
    {
        Group group;
        group.electorate = {.voters = {{primary}, {replica}}, .size = 4};
        CPPUNIT_ASSERT(!group.confirm(Term(1)).isConfirmed);
    }

    void outdatedListNeedsAllDatabases()
    {
        Group group;
        group.electorate.needsAllVotes = true;
        CPPUNIT_ASSERT(group.confirm(Term(1)).isConfirmed);
        group.statuses.erase(other);
        CPPUNIT_ASSERT(!group.confirm(Term(1)).isConfirmed);
    }

    // Guards against a read at a replaced primary, sent by a VM that cannot read the store: the log
    // of that database is at the new term by now, and no database reports a later one.
    void previousPrimaryThatFollowsIsNotConfirmed()
    {
        Group group;
        group.statuses[primary] = status(Role::Replica, 2, 86);
        group.statuses[replica] = status(Role::Primary, 2, 87);
        group.statuses[other] = status(Role::Replica, 2, 87);
        CPPUNIT_ASSERT(!group.confirm(Term()).isConfirmed);
    }

    void outcomeHasTermAndPositionOfThePrimary()
    {
        Group group;
        const TermEvidence::Outcome outcome = group.confirm(Term());
        CPPUNIT_ASSERT(outcome.isConfirmed);
        CPPUNIT_ASSERT(outcome.primaryTerm == Term(1));
        CPPUNIT_ASSERT(outcome.primaryPosition == LogPoint({Term(1), LogPosition(9)}));
    }

    void oneRoundServesAllWaitingCallers()
    {
        Group group;
        int confirmed = 0;
        const auto count = [&confirmed](const TermEvidence::Outcome &end) {
            confirmed += end.isConfirmed ? 1 : 0;
        };
        for (int i = 0; i < 10; ++i)
            group.evidence.confirm(primary, Term(1), count);
        group.timers.advance(1s);
        CPPUNIT_ASSERT_EQUAL(10, confirmed);
        CPPUNIT_ASSERT_EQUAL(6, group.requests);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TermEvidenceTest);
