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

// Explores every interleaving of the real promoters, confirmers and views with the model's
// databases, with the correct protocol and with each deliberate defect.
class PromotionWorldTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PromotionWorldTest);
    CPPUNIT_TEST(writeDuringChangeByTheSameVm);
    CPPUNIT_TEST(writeDuringChangeByAnotherVm);
    CPPUNIT_TEST(writeAcknowledgedByThePrimaryAlone);
    CPPUNIT_TEST(plannedChangeLosesNothing);
    CPPUNIT_TEST(primaryIsAvoided);
    CPPUNIT_TEST(twoPromoters);
    CPPUNIT_TEST(twoPromotersAndAWrite);
    CPPUNIT_TEST(twoPromotersWithoutTheStore);
    CPPUNIT_TEST(returnedPrimaryWithLongerTail);
    CPPUNIT_TEST(restartedPromoter);
    CPPUNIT_TEST(failingStoreCalls);
    CPPUNIT_TEST(reorderedAnswers);
    CPPUNIT_TEST(findsSkippedFence);
    CPPUNIT_TEST(findsSkippedEvidence);
    CPPUNIT_TEST(findsStaleEvidence);
    CPPUNIT_TEST(findsPositionsWithoutTerms);
    CPPUNIT_TEST(findsContinuationUnderForeignTerm);
    CPPUNIT_TEST(findsEqualDraws);
    CPPUNIT_TEST_SUITE_END();

public:
    void writeDuringChangeByTheSameVm()
    {
        assertNoViolation("same VM", {.starts = {1, 0}, .writes = {1, 0}}, unlimited);
    }

    void writeDuringChangeByAnotherVm()
    {
        assertNoViolation("another VM", {.starts = {1, 0}, .writes = {0, 1}}, unlimited);
    }

    void writeAcknowledgedByThePrimaryAlone()
    {
        assertNoViolation("durability primary",
                          {.durability = Durability::Primary, .starts = {1, 0}, .writes = {0, 1}},
                          unlimited);
    }

    void plannedChangeLosesNothing()
    {
        assertNoViolation("planned",
                          {.durability = Durability::Primary,
                           .kind = PromotionKind::Planned,
                           .starts = {1, 0},
                           .writes = {0, 1}},
                          unlimited);
    }

    void primaryIsAvoided()
    {
        assertNoViolation("primary avoided",
                          {.avoidsPrimary = true, .starts = {1, 0}, .writes = {0, 1}}, unlimited);
    }

    void twoPromoters()
    {
        assertNoViolation("two promoters", {.starts = {1, 1}, .writes = {0, 0}}, unlimited);
    }

    void twoPromotersAndAWrite()
    {
        assertNoViolation("two promoters, a write", {.starts = {1, 1}, .writes = {1, 0}}, 14);
    }

    void twoPromotersWithoutTheStore()
    {
        assertNoViolation("two promoters, timers",
                          {.starts = {1, 1}, .writes = {0, 0}, .timers = 2}, 13);
    }

    void returnedPrimaryWithLongerTail()
    {
        const PromotionScenario scenario = PromotionScenario::ReturnedPrimary;
        assertNoViolation("returned primary",
                          {.scenario = scenario, .starts = {1, 0}, .writes = {1, 0}}, unlimited);
        assertNoViolation("returned primary, two promoters",
                          {.scenario = scenario, .starts = {1, 1}, .writes = {0, 0}}, unlimited);
    }

    // Guards against a restarted VM that finds no record in the store and reuses the group's
    // initial term.
    void restartedPromoter()
    {
        assertNoViolation("killed VM", {.starts = {1, 0}, .writes = {1, 0}, .crashes = 1}, 12);
        assertNoViolation("killed VM, change only",
                          {.starts = {2, 0}, .writes = {0, 0}, .crashes = 1}, 15);
    }

    void failingStoreCalls()
    {
        assertNoViolation(
                "store", {.starts = {1, 1}, .writes = {0, 0}, .storeFailures = 1, .timers = 1}, 11);
    }

    void reorderedAnswers()
    {
        assertNoViolation("answers delayed",
                          {.starts = {1, 0}, .writes = {1, 0}, .delaysAnswers = true}, 14);
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

    void findsContinuationUnderForeignTerm()
    {
        assertFound("two databases were promoted at one term",
                    {.protocolBreak = ProtocolBreak::ContinueUnderForeignTerm, .writes = {0, 0}});
    }

    void findsEqualDraws()
    {
        assertFound("two databases were promoted at one term",
                    {.protocolBreak = ProtocolBreak::EqualDraws, .writes = {0, 0}, .timers = 2});
    }

private:
    void assertNoViolation(const char *name, const PromotionWorldOptions &options,
                           std::size_t depth)
    {
        const ExplorationResult result = explore(options, depth);
        std::cout << "\n  " << name << ": " << result.states << " states, " << result.steps
                  << " steps, depth " << result.depth
                  << (result.isComplete ? ", complete" : ", stopped at the limit");
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
