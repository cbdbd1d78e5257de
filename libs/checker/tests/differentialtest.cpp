#include "history.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

using namespace fescuespring;

namespace {

constexpr std::uint64_t firstSeed = 1;
constexpr std::uint64_t seeds = 40;
constexpr std::uint64_t seedsOfBreaks = 12;

struct Total
{
    std::uint64_t histories = 0;
    std::size_t requests = 0;
    std::size_t done = 0;
    std::size_t reads = 0;
    std::size_t readsByReplicas = 0;
    std::size_t promotions = 0;
    std::array<std::size_t, promiseCount> violations{};
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
            ++total.violations[static_cast<std::size_t>(violation.promise)];
            if (total.first.empty())
                total.first = "seed " + std::to_string(seed) + ": " + toString(violation.promise)
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
    for (int i = 0; i < promiseCount; ++i) {
        const auto promise = static_cast<ViolatedPromise>(i);
        const std::size_t count = total.violations[static_cast<std::size_t>(i)];
        if (count > 0)
            std::cout << "\n    " << toString(promise) << ": " << count;
    }
}

} // namespace

// The product and the naive proxy under the same seeded faults, judged by the checker.
class DifferentialTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DifferentialTest);
    CPPUNIT_TEST(productKeepsItsPromises);
    CPPUNIT_TEST(naiveProxyIsSeenToFail);
    CPPUNIT_TEST(findsSkippedEvidence);
    CPPUNIT_TEST(findsIgnoredTokens);
    CPPUNIT_TEST(findsGuessedOutcome);
    CPPUNIT_TEST(findsForgottenRequestId);
    CPPUNIT_TEST_SUITE_END();

public:
    void productKeepsItsPromises()
    {
        const Total total = runAll(Policy::Product, seeds);
        print("product", total);
        CPPUNIT_ASSERT_EQUAL(std::string(), total.first);
        CPPUNIT_ASSERT(total.promotions > 0 && total.readsByReplicas > 0);
    }

    void naiveProxyIsSeenToFail()
    {
        const Total total = runAll(Policy::Naive, seeds);
        print("naive", total);
        const auto count = [&](ViolatedPromise promise) {
            return total.violations[static_cast<std::size_t>(promise)];
        };
        CPPUNIT_ASSERT(count(ViolatedPromise::ReadYourWrites) > 0);
        CPPUNIT_ASSERT(count(ViolatedPromise::LostWrite) > 0);
        CPPUNIT_ASSERT(count(ViolatedPromise::ReplacedPrimary) > 0);
    }

    void findsSkippedEvidence()
    {
        assertFound(ProductBreak::SkipEvidence, ViolatedPromise::LostWrite);
    }

    void findsIgnoredTokens()
    {
        assertFound(ProductBreak::IgnoreToken, ViolatedPromise::ReadYourWrites);
    }

    void findsGuessedOutcome()
    {
        assertFound(ProductBreak::GuessNotRun, ViolatedPromise::NotRunButRan);
    }

    void findsForgottenRequestId()
    {
        assertFound(ProductBreak::ForgetRequestId, ViolatedPromise::RanTwice);
    }

private:
    void assertFound(ProductBreak productBreak, ViolatedPromise promise)
    {
        const Total total = runAll(Policy::Product, seedsOfBreaks, productBreak);
        print("broken on purpose", total);
        CPPUNIT_ASSERT(total.violations[static_cast<std::size_t>(promise)] > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DifferentialTest);
