#include "history.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

using namespace fescuespring;

namespace {

constexpr std::uint64_t firstSeed = 1;
constexpr std::uint64_t seeds = 40;
constexpr std::uint64_t seedsPerBreak = 12;

struct Total
{
    std::uint64_t histories = 0;
    std::size_t requests = 0;
    std::size_t done = 0;
    std::size_t reads = 0;
    std::size_t readsByReplicas = 0;
    std::size_t promotions = 0;
    std::array<std::size_t, guaranteeCount> violations{};
    std::size_t violated = 0;
    std::string first = {};
};

Total runAll(Policy policy, std::uint64_t seeds, ProductBreak productBreak = ProductBreak::None)
{
    Total total{.histories = seeds};
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        const HistoryResult result =
                History({.policy = policy, .productBreak = productBreak, .seed = seed}).run();
        total.requests += result.requests;
        total.done += result.done;
        total.reads += result.reads;
        total.readsByReplicas += result.readsByReplicas;
        total.promotions += result.promotions;
        total.violated += result.violations.empty() ? 0 : 1;
        for (const Violation &violation : result.violations) {
            ++total.violations[static_cast<std::size_t>(violation.guarantee)];
            if (total.first.empty())
                total.first = "seed " + std::to_string(seed) + ": " + toString(violation.guarantee)
                              + " " + violation.id.value();
        }
    }
    return total;
}

void print(const char *name, const Total &total)
{
    std::cout << "\n  " << name << ": " << total.histories << " histories, " << total.requests
              << " requests, " << total.done << " done, " << total.promotions << " promotions, "
              << total.readsByReplicas << " of " << total.reads << " reads by replicas, "
              << total.violated << " histories with violations";
    for (int i = 0; i < guaranteeCount; ++i) {
        const auto guarantee = static_cast<ViolatedGuarantee>(i);
        const std::size_t count = total.violations[static_cast<std::size_t>(i)];
        if (count > 0)
            std::cout << "\n    " << toString(guarantee) << ": " << count;
    }
}

} // namespace

// Runs the product and the naive proxy under the same seeded faults and checks their histories.
class DifferentialTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DifferentialTest);
    CPPUNIT_TEST(productViolatesNoGuarantee);
    CPPUNIT_TEST(naiveProxyViolatesGuarantees);
    CPPUNIT_TEST(isolatedPrimaryIsReplaced);
    CPPUNIT_TEST(writeDoesNotHideDiscardedHistory);
    CPPUNIT_TEST(findsSkippedEvidence);
    CPPUNIT_TEST(findsIgnoredTokens);
    CPPUNIT_TEST(findsGuessedOutcome);
    CPPUNIT_TEST(findsOmittedRequestId);
    CPPUNIT_TEST_SUITE_END();

public:
    void productViolatesNoGuarantee()
    {
        const Total total = runAll(Policy::Product, seeds);
        print("product", total);
        CPPUNIT_ASSERT_EQUAL(std::string(), total.first);
        CPPUNIT_ASSERT(total.promotions > 0 && total.readsByReplicas > 0);
    }

    void naiveProxyViolatesGuarantees()
    {
        const Total total = runAll(Policy::Naive, seeds);
        print("naive", total);
        const auto count = [&](ViolatedGuarantee guarantee) {
            return total.violations[static_cast<std::size_t>(guarantee)];
        };
        CPPUNIT_ASSERT(count(ViolatedGuarantee::ReadYourWrites) > 0);
        CPPUNIT_ASSERT(count(ViolatedGuarantee::LostWrite) > 0);
        CPPUNIT_ASSERT(count(ViolatedGuarantee::ReplacedPrimary) > 0);
    }

    void isolatedPrimaryIsReplaced()
    {
        const HistoryResult result =
                History({.seed = firstSeed, .faults = 0, .isolatesPrimary = true}).run();
        CPPUNIT_ASSERT(result.violations.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), result.promotions);
    }

    // Guards against an unreported step back in time: a session read a tail that was then
    // discarded, and its next write advanced the token past that tail.
    void writeDoesNotHideDiscardedHistory()
    {
        constexpr std::uint64_t failingSeed = 1712;
        CPPUNIT_ASSERT(History({.seed = failingSeed}).run().violations.empty());
    }

    void findsSkippedEvidence()
    {
        assertFound(ProductBreak::SkipEvidence, ViolatedGuarantee::LostWrite);
    }

    void findsIgnoredTokens()
    {
        assertFound(ProductBreak::IgnoreToken, ViolatedGuarantee::ReadYourWrites);
    }

    void findsGuessedOutcome()
    {
        assertFound(ProductBreak::GuessNotRun, ViolatedGuarantee::NotRunButRan);
    }

    void findsOmittedRequestId()
    {
        assertFound(ProductBreak::OmitRequestId, ViolatedGuarantee::RanTwice);
    }

private:
    void assertFound(ProductBreak productBreak, ViolatedGuarantee guarantee)
    {
        const Total total = runAll(Policy::Product, seedsPerBreak, productBreak);
        print("deliberately broken", total);
        CPPUNIT_ASSERT(total.violations[static_cast<std::size_t>(guarantee)] > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DifferentialTest);
