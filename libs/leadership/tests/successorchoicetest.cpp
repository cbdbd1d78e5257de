#include "leadership/successorchoice.h"

#include <cppunit/extensions/HelperMacros.h>

#include <bit>
#include <string>

using namespace fescuespring;
using namespace fescuespring::detail;

namespace {

constexpr Term previousTerm{3};

LogPoint at(std::uint64_t position)
{
    return {previousTerm, LogPosition(position)};
}

DatabaseAnswer paused(const std::string &name, std::uint64_t position)
{
    return {.database = DatabaseId(name),
            .status = UpstreamStatus{.role = Role::Replica,
                                     .term = previousTerm,
                                     .received = at(position),
                                     .heldTerm = previousTerm.next()}};
}

DatabaseAnswer receiving(const std::string &name, std::uint64_t position)
{
    DatabaseAnswer answer = paused(name, position);
    answer.status->heldTerm = Term();
    return answer;
}

SuccessorChoice::Facts synchronousFacts(std::size_t otherMembers, std::uint32_t replicas)
{
    return {.previousPrimary = DatabaseId("a"),
            .previousTerm = previousTerm,
            .groupSize = otherMembers + 1,
            .otherMembers = otherMembers,
            .synchronousReplicas = replicas};
}

} // namespace

class SuccessorChoiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SuccessorChoiceTest);
    CPPUNIT_TEST(candidateHoldsEachCommitThatAnyReplicaMayHaveReceived);
    CPPUNIT_TEST(wholeLogOfTheStoppedPrimaryIsEnough);
    CPPUNIT_TEST(replicaThatStillReceivesIsNoEvidence);
    CPPUNIT_TEST(primaryThatRestartedWithoutItsLogIsNoEvidence);
    CPPUNIT_TEST_SUITE_END();

public:
    // Every placement of one commit on `replicas` of up to five replicas, and every set of replicas
    // that answer: guards against a candidate that counts as complete and lacks the commit.
    void candidateHoldsEachCommitThatAnyReplicaMayHaveReceived()
    {
        int complete = 0;
        for (unsigned members = 1; members <= 5; ++members) {
            for (unsigned replicas = 1; replicas <= members; ++replicas) {
                const SuccessorChoice choice(synchronousFacts(members, replicas));
                for (unsigned answering = 1; answering < 1U << members; ++answering) {
                    for (unsigned holding = 0; holding < 1U << members; ++holding) {
                        if (static_cast<unsigned>(std::popcount(holding)) != replicas)
                            continue;
                        const DatabaseAnswers answers = answersOf(members, answering, holding);
                        const DatabaseAnswer *best = choice.mostAdvanced(answers);
                        if (!choice.holdsAcknowledgedCommits(*best, answers))
                            continue;
                        CPPUNIT_ASSERT(best->status->received == at(7));
                        ++complete;
                    }
                }
            }
        }
        CPPUNIT_ASSERT(complete > 0);
    }

    void wholeLogOfTheStoppedPrimaryIsEnough()
    {
        SuccessorChoice::Facts facts = synchronousFacts(2, 1);
        facts.previousPosition = at(7);
        const SuccessorChoice choice(facts);
        const DatabaseAnswers answers{receiving("b", 7), {.database = DatabaseId("c")}};
        CPPUNIT_ASSERT(choice.holdsAcknowledgedCommits(answers[0], answers));
        const DatabaseAnswers behind{receiving("b", 6), {.database = DatabaseId("c")}};
        CPPUNIT_ASSERT(!choice.holdsAcknowledgedCommits(behind[0], behind));
    }

    void replicaThatStillReceivesIsNoEvidence()
    {
        const SuccessorChoice choice(synchronousFacts(2, 1));
        const DatabaseAnswers answers{paused("b", 7), receiving("c", 6)};
        CPPUNIT_ASSERT(!choice.holdsAcknowledgedCommits(answers[0], answers));
    }

    void primaryThatRestartedWithoutItsLogIsNoEvidence()
    {
        SuccessorChoice::Facts facts = synchronousFacts(2, 1);
        facts.previousPosition = at(0);
        const DatabaseAnswers answers{paused("b", 3), {.database = DatabaseId("c")}};
        CPPUNIT_ASSERT(!SuccessorChoice(facts).holdsAcknowledgedCommits(answers[0], answers));
    }

private:
    // Bits of answering and holding stand for replicas; those that hold the commit are at 7.
    static DatabaseAnswers answersOf(unsigned members, unsigned answering, unsigned holding)
    {
        DatabaseAnswers answers;
        for (unsigned member = 0; member < members; ++member) {
            const std::string name(1, static_cast<char>('b' + member));
            const bool holds = (holding >> member & 1U) != 0;
            answers.push_back(paused(name, holds ? 7 : 6));
            if ((answering >> member & 1U) == 0)
                answers.back().status.reset();
        }
        return answers;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuccessorChoiceTest);
