#include "explorer/promotionworld.h"
#include "explorer/explorer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

using namespace fescuespring;

namespace {

constexpr std::size_t unlimited = 1000;

ExplorationResult explore(const PromotionWorldOptions &options, std::size_t depth)
{
    return Explorer<PromotionWorld>({.depth = depth}).run(PromotionWorld(options));
}

std::string pathOf(const ExplorationResult &result)
{
    std::string text = result.violation.value_or("no violation") + "\n";
    for (const std::string &line : result.path)
        text += line + "\n";
    return text;
}

} // namespace

// Every interleaving of the real promoters, confirmers and views with the model's databases, and
// the same with the protocol broken in each way that matters.
class PromotionWorldTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PromotionWorldTest);
    CPPUNIT_TEST(writeDuringChangeByTheSameVm);
    CPPUNIT_TEST(writeDuringChangeByAnotherVm);
    CPPUNIT_TEST(writeAcknowledgedByThePrimaryAlone);
    CPPUNIT_TEST(plannedChangeLosesNothing);
    CPPUNIT_TEST(primaryIsPassedOver);
    CPPUNIT_TEST(twoPromoters);
    CPPUNIT_TEST(twoPromotersAndAWrite);
    CPPUNIT_TEST(twoPromotersWithoutTheStore);
    CPPUNIT_TEST(returnedPrimaryWithLongerTail);
    CPPUNIT_TEST(killedPromoter);
    CPPUNIT_TEST(storeThatFailsOrLosesAnswers);
    CPPUNIT_TEST(answersThatOvertakeEachOther);
    CPPUNIT_TEST(findsSkippedFence);
    CPPUNIT_TEST(findsSkippedEvidence);
    CPPUNIT_TEST(findsStaleEvidence);
    CPPUNIT_TEST(findsPositionsWithoutTerms);
    CPPUNIT_TEST(findsContinuationUnderAnothersTerm);
    CPPUNIT_TEST(findsEqualDraws);
    CPPUNIT_TEST_SUITE_END();

public:
    void writeDuringChangeByTheSameVm()
    {
        assertAllHolds("same VM", {.starts = {1, 0}, .writes = {1, 0}}, unlimited);
    }

    void writeDuringChangeByAnotherVm()
    {
        assertAllHolds("another VM", {.starts = {1, 0}, .writes = {0, 1}}, unlimited);
    }

    void writeAcknowledgedByThePrimaryAlone()
    {
        assertAllHolds("durability primary",
                       {.durability = Durability::Primary, .starts = {1, 0}, .writes = {0, 1}},
                       unlimited);
    }

    void plannedChangeLosesNothing()
    {
        assertAllHolds("planned",
                       {.durability = Durability::Primary,
                        .kind = PromotionKind::Planned,
                        .starts = {1, 0},
                        .writes = {0, 1}},
                       unlimited);
    }

    void primaryIsPassedOver()
    {
        assertAllHolds("passed over", {.avoidsPrimary = true, .starts = {1, 0}, .writes = {0, 1}},
                       unlimited);
    }

    void twoPromoters()
    {
        assertAllHolds("two promoters", {.starts = {1, 1}, .writes = {0, 0}}, unlimited);
    }

    void twoPromotersAndAWrite()
    {
        assertAllHolds("two promoters, a write", {.starts = {1, 1}, .writes = {1, 0}}, 14);
    }

    void twoPromotersWithoutTheStore()
    {
        assertAllHolds("two promoters, timers", {.starts = {1, 1}, .writes = {0, 0}, .timers = 2},
                       13);
    }

    void returnedPrimaryWithLongerTail()
    {
        const PromotionScenario scenario = PromotionScenario::ReturnedPrimary;
        assertAllHolds("returned primary",
                       {.scenario = scenario, .starts = {1, 0}, .writes = {1, 0}}, unlimited);
        assertAllHolds("returned primary, two promoters",
                       {.scenario = scenario, .starts = {1, 1}, .writes = {0, 0}}, unlimited);
    }

    // The first run of this found that a VM that had just started, with no record in the store,
    // took the term that the group had begun with.
    void killedPromoter()
    {
        assertAllHolds("killed VM", {.starts = {1, 0}, .writes = {1, 0}, .crashes = 1}, 12);
        assertAllHolds("killed VM, change only", {.starts = {2, 0}, .writes = {0, 0}, .crashes = 1},
                       15);
    }

    void storeThatFailsOrLosesAnswers()
    {
        assertAllHolds("store",
                       {.starts = {1, 1}, .writes = {0, 0}, .storeFailures = 1, .timers = 1}, 11);
    }

    void answersThatOvertakeEachOther()
    {
        assertAllHolds("answers travel",
                       {.starts = {1, 0}, .writes = {1, 0}, .answersTravel = true}, 14);
    }

    void findsSkippedFence()
    {
        assertFound("an acknowledged write is lost",
                    {.protocolBreak = ProtocolBreak::SkipFence, .writes = {1, 0}});
    }

    void findsSkippedEvidence()
    {
        assertFound("a write was acknowledged under a replaced term",
                    {.protocolBreak = ProtocolBreak::SkipEvidence, .writes = {1, 0}});
    }

    void findsStaleEvidence()
    {
        assertFound("a write was acknowledged under a replaced term",
                    {.protocolBreak = ProtocolBreak::StaleEvidence,
                     .durability = Durability::Primary,
                     .starts = {1, 0},
                     .writes = {0, 1}});
    }

    void findsPositionsWithoutTerms()
    {
        assertFound("an acknowledged write is lost",
                    {.scenario = PromotionScenario::ReturnedPrimary,
                     .protocolBreak = ProtocolBreak::PositionsWithoutTerms,
                     .writes = {0, 0}});
    }

    void findsContinuationUnderAnothersTerm()
    {
        assertFound("two databases were promoted at one term",
                    {.protocolBreak = ProtocolBreak::ContinueUnderAnothersTerm, .writes = {0, 0}});
    }

    void findsEqualDraws()
    {
        assertFound("two databases were promoted at one term",
                    {.protocolBreak = ProtocolBreak::EqualDraws, .writes = {0, 0}, .timers = 2});
    }

private:
    void assertAllHolds(const char *name, const PromotionWorldOptions &options, std::size_t depth)
    {
        const ExplorationResult result = explore(options, depth);
        std::cout << "\n  " << name << ": " << result.states << " states, " << result.steps
                  << " steps, depth " << result.depth
                  << (result.isComplete ? ", complete" : ", cut there");
        CPPUNIT_ASSERT_MESSAGE(pathOf(result), !result.violation);
        CPPUNIT_ASSERT_EQUAL(depth == unlimited, result.isComplete);
    }

    void assertFound(const std::string &violation, const PromotionWorldOptions &options)
    {
        const ExplorationResult result = explore(options, 14);
        std::cout << "\n  found after " << result.states << " states, in " << result.path.size()
                  << " steps: " << result.violation.value_or("nothing");
        CPPUNIT_ASSERT_EQUAL(violation, result.violation.value_or("nothing"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromotionWorldTest);
